#!/bin/bash
# The control keepers all lose power right after a configuration was acknowledged and come back; the operator reads.
# Exit: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0: nothing loses power.
set -u
cd "$(dirname "$0")/../.."
here=review/9
net=127.86.9
folder=$(mktemp -d)
. review/support-2/fleet.sh
trap 'stop_fleet; rm -rf "$folder"' EXIT
call=target/review-2/call
record=$here/record.txt
: > "$record"
[ -x "$call" ] && [ -x target/review-2/read_config ] && [ -x target/bin/platform-keeper ] ||
    { echo "not built" >> "$record"; exit 2; }
began=$(date +%s)
note() { printf '%s  %s\n' "$(date +%s.%3N)" "$*" >> "$record"; }

write_configuration() { # VERSION
    printf '{"version":%s,"routes":[{"name":"form-fetch","host":"forms.example","pathPrefix":"/forms/","kind":"safe","timeoutMs":%s,"sloMs":200,"priority":2,"service":"expediente","maxAttempts":2}],"services":[{"name":"expediente","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}' \
        "$1" $((1000 + $1)) > "$folder/v$1.json"
}
leader=1
put() { # VERSION: to any node, again without a clear response, as the operator does
    local i n
    write_configuration "$1"
    for i in $(seq 1 60); do
        for n in $leader 1 2 3; do
            if [ "$("$call" "$net.$n:9000" POST /cassiarouter/Config.Put -b "$folder/v$1.json" -t 1000 | head -1)" = 200 ]; then
                leader=$n
                return 0
            fi
        done
        sleep 0.1
    done
    return 1
}
start_control() { # BOOTSTRAP
    local i
    pids=()
    for i in 1 2 3; do
        start control platform-keeper "core-$i" "$net.$i" "z$i" "$1"
    done
}

start_control true
put 1 || { note "the first configuration was never acknowledged"; exit 2; }
sleep 2
version=1
rounds=0
stale=0
while [ $(($(date +%s) - began)) -lt 105 ] && [ "$rounds" -lt 25 ]; do
    rounds=$((rounds + 1))
    # Two versions in quick succession, as in a storm of configurations.
    put $((version + 1)) && sleep 0.05 && put $((version + 2)) || { note "a configuration was never acknowledged"; exit 2; }
    acknowledged=$(date +%s%3N)
    version=$((version + 2))
    note "version $version acknowledged"
    if [ "${TROUBLE:-1}" != 0 ]; then
        kill -KILL "${pids[@]}"
        wait "${pids[@]}" 2> /dev/null
        note "all three control keepers killed"
    fi
    sleep 2.0
    target/review-2/read_config 1 60 1 "$net.1:9000" "$net.2:9000" "$net.3:9000" > "$folder/reads" &
    reading=$!
    if [ "${TROUBLE:-1}" != 0 ]; then
        start_control false
        note "started again"
    fi
    wait "$reading"
    # Only reads that were sent later than configApplyMs (2,000) after the acknowledgement count.
    found=$(awk -v v="$version" -v t="$acknowledged" '!/^#/ && $4 < v && $1 - t > 2000 { n++ } END { print n + 0 }' "$folder/reads")
    awk -v v="$version" -v t="$acknowledged" '/^#/ { next } { n++ } n == 1 { first = $2 - t }
        $4 < v && $1 - t > 2000 { printf "    read sent %d ms after the acknowledgement of %d, answered by %s: version %d\n", $1 - t, v, $3, $4 }
        END { printf "    %d whole answers, the first %d ms after the acknowledgement\n", n, first }' "$folder/reads" >> "$record"
    stale=$((stale + found))
    sleep 0.3
done
note "$rounds rounds, $stale reads answered with an older version"
[ "$stale" -gt 0 ] && exit 1
exit 0
