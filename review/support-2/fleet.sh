# Starts the programs of deploy/system.toml on loopback, with settings rendered from platform/settings
# as utils/demo-platform does: three control keepers, three work keepers, two gateways in three zones.
# A script sets `net` (127.A.B) and `folder` (a temporary one), then calls start_fleet.

pids=()

render() { # TEMPLATE NODE IP ZONE BOOTSTRAP
    sed -e "s|{{#seeds}}.*{{/seeds}}|\"$net.1:9000\", \"$net.2:9000\", \"$net.3:9000\"|" \
        -e "s|{{node}}|$2|" -e "s|{{ip}}|$3|g" -e "s|{{zone}}|$4|" -e "s|{{region}}|uy-sur|" \
        -e "s|{{listen.control}}|$3:9000|" -e "s|{{listen.directory}}|$3:9001|" \
        -e "s|{{listen.front}}|$3:9200|" -e "s|{{listen.readyAddr}}|$3:9201|" \
        -e "s|{{portRange.0}}|9100|" -e "s|{{portRange.1}}|9101|" -e "s|{{dataDir}}|$folder/data/$2|" \
        -e '/{{#bounds.quotaWindowS}}/,/{{.bounds.quotaWindowS}}/d' \
        -e '/{{[#\/]limits.memoryMb}}/d' -e "s|{{limits.memoryMb}}|260|" -e "s|{{bootstrap}}|$5|" \
        -e "s|{{bounds.graceS}}|8|" -e "s|{{bounds.statusS}}|120|" -e "s|{{tolerate.machines}}|1|" \
        "platform/settings/$1.toml" > "$folder/$2.toml"
}

start() { # TEMPLATE PROGRAM NODE IP ZONE [BOOTSTRAP]
    mkdir -p "$folder/data"
    render "$1" "$3" "$4" "$5" "${6:-true}"
    "target/bin/$2" --config "$folder/$3.toml" >> "$folder/$3.log" 2>&1 &
    last_pid=$!
    pids+=("$last_pid")
}

start_fleet() {
    local i
    for i in 1 2 3; do
        start control platform-keeper "core-$i" "$net.$i" "z$i"
        start work platform-keeper "store-$i" "$net.1$i" "z$i"
    done
    for i in 1 2; do
        start gateway platform-gateway "front-$i" "$net.2$i" "z$i"
    done
}

stop_fleet() {
    local pid
    for pid in "${pids[@]}"; do kill -CONT "$pid" 2> /dev/null; kill -KILL "$pid" 2> /dev/null; done
    wait 2> /dev/null
}
