#!/bin/bash
# A batch job with its tenant's key is sent to a route that a version has made public, and is read with the same key.
# Exit: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0: without that version.
set -u
cd "$(dirname "$0")/../.."
here=review/6
net=127.86.6
folder=$(mktemp -d)
. review/support-2/fleet.sh
trap 'stop_fleet; rm -rf "$folder"' EXIT
call=target/review-2/call
record=$here/record.txt
: > "$record"
[ -x "$call" ] && [ -x target/bin/platform-gateway ] || { echo "not built" >> "$record"; exit 2; }
note() { printf '%s  %s\n' "$(date +%s.%3N)" "$*" >> "$record"; }
key="X-Api-Key: r26tta828m82thhkmgjq"

configuration() { # VERSION PUBLIC
    printf '{"version":%s,"routes":[{"name":"cohort-summary","host":"lots.example","pathPrefix":"/lots/","kind":"batch","timeoutMs":15000,"sloMs":600,"priority":2,"service":"revisor","maxAttempts":3,"sticky":true,"resultDueMs":18000,"maxWaitS":60,"maxQueued":2300000,"public":%s}],"services":[{"name":"revisor","healthPath":"/healthz","maxConns":480,"protocol":"h1","tls":false,"engine":{"slots":8,"kvCapacity":101495,"models":[{"name":"m"}]}}],"tenants":[{"name":"lira","apiKeys":["r26tta828m82thhkmgjq"],"priority":0,"ratePerS":50,"burst":20},{"name":"moro","apiKeys":["9d11kk02lq7p5s3x8c4v"],"priority":0,"ratePerS":50,"burst":20}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}' "$1" "$2"
}
put() { # FILE: to any node, again without a clear response, as the operator does
    local i
    for i in $(seq 1 120); do
        [ "$("$call" "$net.$((i % 3 + 1)):9000" POST /cassiarouter/Config.Put -b "$1" -t 1000 | head -1)" = 200 ] && return 0
        sleep 0.25
    done
    return 1
}

start_fleet
configuration 10 false > "$folder/v10.json"
configuration 17 true > "$folder/v17.json"
printf '{"items":[{"id":"e5b2907c14da6f38","path":"/lots/3/91c4","headers":{"X-Cassiarouter-Model":"m","X-Cassiarouter-Tokens":"540,400","X-Cassiarouter-Prompt-Prefix":"9c2e41:300,5d07b8:240"},"body":"q83vEjRWeJA=","tokens":940}]}' > "$folder/job.json"
put "$folder/v10.json" || { note "version 10 was never acknowledged"; exit 2; }
note "version 10 acknowledged: batch route cohort-summary, not public, two tenants"
if [ "${TROUBLE:-1}" != 0 ]; then
    sleep 1
    put "$folder/v17.json" || { note "version 17 was never acknowledged"; exit 2; }
    note "version 17 acknowledged: the route is public"
fi
sleep 4 # configApplyMs (2.5 s) is over, and contactMs (4 s) after the start too

accepted=
for i in $(seq 1 20); do
    status=$("$call" "$net.2$((i % 2 + 1)):9200" POST /lots/7c41e0 -h "Host: lots.example" -h "$key" \
        -h "X-Cassiarouter-Request-Id: 7c41e09b52d6a3f8" -b "$folder/job.json" | head -1)
    note "tenant lira sends job 7c41e09b52d6a3f8 with its key to front-$((i % 2 + 1)): $status"
    [ "$status" = 202 ] && { accepted=1; break; }
    sleep 0.5
done
[ -n "$accepted" ] || { note "the job was never accepted"; exit 2; }
sleep 1.5 # settleMs (1 s) is over

missing=0
for i in 1 2 3 4 5 6; do
    answer=$("$call" "$net.2$((i % 2 + 1)):9200" GET "/cassiarouter/lots/7c41e09b52d6a3f8?after=0" -h "Host: lots.example" -h "$key" | tr '\n' ' ')
    note "lira reads it with the same key at front-$((i % 2 + 1)): $answer"
    case $answer in 404* | 410*) missing=$((missing + 1)) ;; esac
    sleep 0.5
done
note "the body of its item: $("$call" "$net.21:9200" GET "/cassiarouter/items/7c41e09b52d6a3f8?id=e5b2907c14da6f38" -h "Host: lots.example" -h "$key" | head -1)"
note "lira ends it: $("$call" "$net.22:9200" DELETE "/cassiarouter/lots/7c41e09b52d6a3f8" -h "Host: lots.example" -h "$key" | head -1)"
note "sent again by lira: $("$call" "$net.21:9200" POST /lots/7c41e0 -h "Host: lots.example" -h "$key" -h "X-Cassiarouter-Request-Id: 7c41e09b52d6a3f8" -b "$folder/job.json" | head -1)"
note "$missing of 6 reads answered 404 or 410"
[ "$missing" -gt 0 ] && exit 1
exit 0
