#!/usr/bin/env bash
# Runs two gateways on the loopback address with a simulated users' platform of
# five services of three servers, and sends a search over all shards and a
# request that must run once. Exits with 0 only if every answer is as expected.
# BIN is the directory of the programs, HR_DEMO_PORT the first of 100 ports.
set -uo pipefail
bin=${BIN:?set BIN to the directory of the programs}
base=${HR_DEMO_PORT:-23900}
dir=$(mktemp -d)
pids=()

stop_all() {
    local pid
    for pid in "${pids[@]}"; do
        kill "$pid" 2>/dev/null
    done
    wait 2>/dev/null
    rm -r "$dir"
}
trap stop_all EXIT

fail() {
    echo "demo-gateway: $*" >&2
    tail -n 5 "$dir"/*.log >&2
    exit 1
}

write_settings() {
    local ports=$((base + 10 * $1))
    cat >"$dir/gateway$1.json" <<JSON
{"gateway":{"name":"gateway-$1","data_centre":"a","region":"r",
"caller_listen":"127.0.0.1:$ports","readiness_listen":"127.0.0.1:$((ports + 1))",
"directory_listen":"127.0.0.1:$((ports + 2))",
"control_listen":"127.0.0.1:$((ports + 3))",
"metrics_listen":"127.0.0.1:$((ports + 4))",
"peer_address":"127.0.0.1:$((ports + 5))","peer_seeds":[],
"store_address":"127.0.0.1:$base","max_connections":1024,"cpu_share":1,
"cpu_cores":1,"repeat_ratio":0.2,"repeat_slack":52,"repeat_window_s":10,
"stop_grace_s":6,"directory_keep_max_s":5,"lease_min_ms":1000}}
JSON
}

# Sends one request and prints the answer.
# Arguments: PORT METHOD TARGET [ID]
request() {
    exec 3<>"/dev/tcp/127.0.0.1/$1" || return 1
    printf '%s %s HTTP/1.1\r\nHost: site.example\r\nConnection: close\r\nContent-Length: 0\r\nHickoryrouter-Request-Id: %s\r\n\r\n' \
        "$2" "$3" "${4:-demo}" >&3
    cat <&3 | tr -d '\r'
    exec 3>&-
}

# Repeats a command until it succeeds, 100 times at most, with pauses of 0.1 s
# (10 s in total).
retry() {
    local i
    for ((i = 0; i < 100; i++)); do
        "$@" 2>/dev/null && return 0
        sleep 0.1
    done
    return 1
}

is_ready() {
    request $((base + 10 * $1 + 1)) GET /api/readiness | grep -q '^HTTP/1.1 200'
}

both_listed() {
    request $((base + 12)) GET '/api/resolution?name=x&region=r&zone=a' |
        grep -q "127.0.0.1:$((base + 10)).*127.0.0.1:$((base + 20))"
}

echo "starting the simulated users' platform, 15 servers, two gateways"
"$bin/fake-site" "127.0.0.1:$base" 5 3 >"$dir/site.log" 2>&1 &
pids+=($!)
for i in 1 2; do
    write_settings "$i"
    "$bin/hickoryrouterd" --check-settings "$dir/gateway$i.json" >/dev/null ||
        fail "the settings of gateway $i are not valid"
    "$bin/hickoryrouterd" -s "$dir/gateway$i.json" >"$dir/gateway$i.log" 2>&1 &
    pids+=($!)
done
for i in 1 2; do
    retry is_ready "$i" || fail "gateway $i does not become ready"
done
retry both_listed || fail "the directory does not list both gateways"

echo "a search over four shards:"
request $((base + 10)) GET '/wide/granite?yard=%2F' search1 >"$dir/wide.txt"
grep -q '^HTTP/1.1 200' "$dir/wide.txt" || fail "$(cat "$dir/wide.txt")"
[ "$(grep -c '^Hickoryrouter-Part-Seals: ' "$dir/wide.txt")" -eq 4 ] ||
    fail "the answer does not contain every shard: $(cat "$dir/wide.txt")"
grep '^Hickoryrouter-Missing-Parts' "$dir/wide.txt"

echo "a request that must run once:"
request $((base + 20)) POST /once/print job1 >"$dir/once.txt"
grep -q '^HTTP/1.1 200' "$dir/once.txt" || fail "$(cat "$dir/once.txt")"
request "$base" GET '/test/runs?id=job1' | tail -n 1 | grep '"runs":1' ||
    fail "the request did not run exactly once"
echo
echo "demo-gateway: ok"
