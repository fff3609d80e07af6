#!/bin/bash
# An accepted batch job comes again after a version has added a route with a longer prefix.
# Exit: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0: without that version.
set -u
cd "$(dirname "$0")/../.."
here=review/7
net=127.86.7
folder=$(mktemp -d)
. review/support-2/fleet.sh
trap 'stop_fleet; rm -rf "$folder"' EXIT
call=target/review-2/call
record=$here/record.txt
: > "$record"
[ -x "$call" ] && [ -x target/bin/platform-gateway ] || { echo "not built" >> "$record"; exit 2; }
note() { printf '%s  %s\n' "$(date +%s.%3N)" "$*" >> "$record"; }

route() { # NAME PREFIX
    printf '{"name":"%s","host":"lots.example","pathPrefix":"%s","kind":"batch","timeoutMs":15000,"sloMs":400,"priority":2,"service":"revisor","maxAttempts":3,"sticky":true,"resultDueMs":18000,"maxWaitS":60,"maxQueued":1900000}' "$1" "$2"
}
configuration() { # VERSION ROUTES
    printf '{"version":%s,"routes":[%s],"services":[{"name":"revisor","healthPath":"/healthz","maxConns":360,"protocol":"h1","tls":false,"engine":{"slots":8,"kvCapacity":106377,"models":[{"name":"m"}]}}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}' "$1" "$2"
}
put() { # FILE: to any node, again without a clear response, following a 307, as the operator does
    local i status
    for i in $(seq 1 120); do
        status=$("$call" "$net.$((i % 3 + 1)):9000" POST /cassiarouter/Config.Put -b "$1" -t 1000 | head -1)
        [ "$status" = 200 ] && return 0
        sleep 0.25
    done
    return 1
}
submit() { # GATEWAY
    "$call" "$net.2$1:9200" POST /lots/north/7c41e0 -h "Host: lots.example" \
        -h "X-Cassiarouter-Request-Id: 7c41e09b52d6a3f8" -b "$folder/job.json" | head -1
}

start_fleet
configuration 10 "$(route cohort-summary /lots/)" > "$folder/v10.json"
configuration 17 "$(route cohort-summary /lots/),$(route north-summary /lots/north/)" > "$folder/v17.json"
printf '{"items":[{"id":"e5b2907c14da6f38","path":"/lots/north/3/91c4","headers":{"X-Cassiarouter-Model":"m","X-Cassiarouter-Tokens":"540,400","X-Cassiarouter-Prompt-Prefix":"9c2e41:300,5d07b8:240"},"body":"q83vEjRWeJA=","tokens":940}]}' > "$folder/job.json"
put "$folder/v10.json" || { note "version 10 was never acknowledged"; exit 2; }
note "version 10 acknowledged: route cohort-summary at /lots/"
sleep 4

accepted=
for i in $(seq 1 20); do
    status=$(submit $((i % 2 + 1)))
    note "job 7c41e09b52d6a3f8 sent to front-$((i % 2 + 1)): $status"
    [ "$status" = 202 ] && { accepted=1; break; }
    sleep 0.5
done
[ -n "$accepted" ] || { note "the job was never accepted"; exit 2; }

if [ "${TROUBLE:-1}" != 0 ]; then
    put "$folder/v17.json" || { note "version 17 was never acknowledged"; exit 2; }
    note "version 17 acknowledged: beside it route north-summary at /lots/north/"
fi
sleep 4.5 # configApplyMs (2 s), settleMs (1 s), and contactMs (3 s) after the start are over

refused=0
for i in 1 2 3 4 5 6; do
    status=$(submit $((i % 2 + 1)))
    note "the same job sent again to front-$((i % 2 + 1)): $status"
    case $status in 4??) refused=$((refused + 1)) ;; esac
    sleep 0.5
done
for i in 1 2; do
    note "read at front-$i: $("$call" "$net.2$i:9200" GET "/cassiarouter/lots/7c41e09b52d6a3f8?after=0" -h "Host: lots.example" | tr '\n' ' ')"
done
note "turned away with 4xx: $refused of 6"
[ "$refused" -ge 3 ] && exit 1
exit 0
