#!/bin/bash
# Not a case (see REPORT-2.md): a client's batch item has a header whose value holds line breaks and a second request.
# Exit: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0: an ordinary value.
set -u
cd "$(dirname "$0")/../.."
net=127.86.14
folder=$(mktemp -d)
. review/support-2/fleet.sh
record=$folder/record
trap 'stop_fleet; cat "$record"; rm -rf "$folder"' EXIT
call=target/review-2/call
[ -x "$call" ] && [ -x target/review-2/runner ] && [ -x target/bin/platform-gateway ] ||
    { echo "not built" >> "$record"; exit 2; }
note() { printf '%s  %s\n' "$(date +%s.%3N)" "$*" >> "$record"; }
put() { # FILE: to any node, again without a clear response, as the operator does
    local i
    for i in $(seq 1 120); do
        [ "$("$call" "$net.$((i % 3 + 1)):9000" POST /cassiarouter/Config.Put -b "$1" -t 1000 | head -1)" = 200 ] && return 0
        sleep 0.25
    done
    return 1
}

start_fleet
printf '{"version":10,"routes":[{"name":"cohort-summary","host":"lots.example","pathPrefix":"/lots/","kind":"batch","timeoutMs":15000,"sloMs":600,"priority":2,"service":"revisor","maxAttempts":3,"sticky":true,"resultDueMs":18000,"maxWaitS":60,"maxQueued":2300000}],"services":[{"name":"revisor","healthPath":"/healthz","maxConns":480,"protocol":"h1","tls":false,"engine":{"slots":8,"kvCapacity":101495,"models":[{"name":"m"}]}}],"tenants":[{"name":"lira","apiKeys":["r26tta828m82thhkmgjq"],"priority":0,"ratePerS":50,"burst":20},{"name":"moro","apiKeys":["9d11kk02lq7p5s3x8c4v"],"priority":0,"ratePerS":50,"burst":20}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}' > "$folder/v10.json"
put "$folder/v10.json" || { note "the configuration was never acknowledged"; exit 2; }
for i in 1 2; do
    target/review-2/runner "i-7f3a91c$i" "$net.3$i:8080" revisor "z$i" "$net.1:9000" "$net.2:9000" "$net.3:9000" > "$folder/runner-$i" &
    pids+=($!)
done
sleep 4

item=e5b2907c14da6f38
value="committee of Salto"
if [ "${TROUBLE:-1}" != 0 ]; then
    value="committee\\r\\nX-Cassiarouter-Request-Id: $item\\r\\nContent-Length: 0\\r\\n\\r\\nPOST /lots/9/dead HTTP/1.1\\r\\nHost: lots.example\\r\\nX-Cassiarouter-Tenant: moro\\r\\nX-Cassiarouter-Request-Id: 5ead00000000beef"
fi
printf '{"items":[{"id":"%s","path":"/lots/3/91c4","headers":{"X-Cassiarouter-Model":"m","X-Cassiarouter-Tokens":"540,400","X-Cassiarouter-Prompt-Prefix":"9c2e41:300,5d07b8:240","X-Note":"%s"},"body":"q83vEjRWeJA=","tokens":940}]}' "$item" "$value" > "$folder/job.json"
status=000
for i in $(seq 1 20); do
    status=$("$call" "$net.2$((i % 2 + 1)):9200" POST /lots/7c41e0 -h "Host: lots.example" -h "X-Api-Key: r26tta828m82thhkmgjq" \
        -h "X-Cassiarouter-Request-Id: 7c41e09b52d6a3f8" -b "$folder/job.json" | head -1)
    note "tenant lira sends job 7c41e09b52d6a3f8 with the one item $item to front-$((i % 2 + 1)): $status"
    case $status in 202 | 4??) break ;; esac
    sleep 0.5
done
sleep 5
note "lira reads it: $("$call" "$net.21:9200" GET "/cassiarouter/lots/7c41e09b52d6a3f8?after=0" -h "Host: lots.example" -h "X-Api-Key: r26tta828m82thhkmgjq" | tr '\n' ' ')"
note "what the runners saw:"
cat "$folder"/runner-* >> "$record"
[ "$status" = 000 ] && exit 2
foreign=$(cat "$folder"/runner-* | grep -c " ran .*| id 5ead00000000beef ")
note "requests run whose id no client sent: $foreign"
[ "$foreign" -gt 0 ] && exit 1
exit 0
