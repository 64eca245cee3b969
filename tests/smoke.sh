#!/usr/bin/env bash
# Starts the real program as it is deployed and checks that it becomes ready, rejects bad configuration with exit
# status 2, follows SIGHUP, keeps its configuration when the new one is invalid, and exits with 0 after SIGTERM.
#
#   tests/smoke.sh PROGRAM
set -euo pipefail

readonly CANDIDATE_PORTS=(21731 22731 23731 24731)
readonly POLLS=100 POLL_INTERVAL_S=0.1
program=$1
folder=$(mktemp -d)
config=$folder/config.json
log=$folder/log
pid=
trap '[ -z "$pid" ] || kill -9 "$pid" 2>/dev/null || true; rm -rf "$folder"' EXIT

# expect_rejected CONFIG TEXT [OPTION...]: with NODE_CONFIG=CONFIG the program exits with 2 and its error has TEXT.
expect_rejected() {
    local path=$1 text=$2 status=0
    shift 2
    NODE_CONFIG=$path "$program" "$@" 2>"$folder/error" || status=$?
    [ "$status" = 2 ] && grep -q "$text" "$folder/error"
}

# Writes a configuration that listens on the given port.
write_config() {
    cat >"$config" <<JSON
{"name":"n0","listen":"127.0.0.1:$1","discovery":"127.0.0.1:1","seed":"1f",
 "known":{"seq":1,"whole":true,"hosts":[{"host":"s-1","dial":"127.0.0.1:1","health":"SERVING"}]},
 "settings":{"classes":[{"name":"listen","effect":"repeatable","on-time-ms":400}]}}
JSON
}

# Starts the program on the first candidate port that is free; file descriptor 3 is then connected to it.
start_program() {
    for port in "${CANDIDATE_PORTS[@]}"; do
        write_config "$port"
        NODE_CONFIG="$config" "$program" 2>"$log" &
        pid=$!
        for _ in $(seq $POLLS); do
            if exec 3<>"/dev/tcp/127.0.0.1/$port"; then break; fi 2>/dev/null
            kill -0 "$pid" 2>/dev/null || break
            sleep $POLL_INTERVAL_S
        done
        kill -0 "$pid" 2>/dev/null && break
        wait "$pid" || true # the port was taken: try another
    done
}

# Checks that /healthz answers 200 on file descriptor 3, and closes it.
expect_healthy() {
    printf 'GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n' >&3
    head -1 <&3 | grep -q '^HTTP/1.1 200'
    exec 3>&-
}

# Waits until the log has the given text.
expect_logged() {
    for _ in $(seq $POLLS); do
        grep -q "$1" "$log" && break
        sleep $POLL_INTERVAL_S
    done
    grep -q "$1" "$log"
}

expect_rejected '' NODE_CONFIG
start_program
expect_healthy

sed -i 's/"discovery":"127.0.0.1:1"/"discovery":"127.0.0.1:2"/' "$config"
kill -HUP "$pid"
expect_logged 'discovery address changed: requesting the list from the new address'

# Ten signals in a row with a truncated file: the program continues with the configuration that it had.
cp "$config" "$folder/good.json"
head -c 200 "$folder/good.json" >"$config"
for _ in 1 2 3 4 5 6 7 8 9 10; do kill -HUP "$pid"; done
expect_logged 'configuration rejected, the current one stays in force: NODE_CONFIG is not JSON'
exec 3<>"/dev/tcp/127.0.0.1/$port"
expect_healthy

expect_rejected "$config" 'NODE_CONFIG is not JSON' --check
NODE_CONFIG="$folder/good.json" "$program" --check

kill -TERM "$pid"
wait "$pid"
pid=
echo "$program: starts, is ready, and stops"
