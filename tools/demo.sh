#!/usr/bin/env bash
# Runs all programs together on the loopback address: the simulated platform,
# the simulated servers of four pools (135 servers), two daemons, an edit of
# the tables and three kinds of query. Exits with 0 only if every answer is as
# expected.
# BIN is the directory of the programs, HR_DEMO_PORT the first of 800 ports.
set -uo pipefail
bin=${BIN:?set BIN to the directory of the programs}
base=${HR_DEMO_PORT:-23000}
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
    echo "demo: $*" >&2
    for log in "$dir"/daemon*.log; do
        echo "last lines of $(basename "$log"):" >&2
        tail -n 5 "$log" >&2
    done
    exit 1
}

start() {
    local log=$1
    shift
    "$@" >"$dir/$log" 2>&1 &
    pids+=($!)
}

# Prints the JSON rows of the servers of a pool.
# Arguments: NAME FIRST-PORT GROUPS REPLICAS
print_servers() {
    local group replica separator=""
    for ((group = 0; group < $3; group++)); do
        for ((replica = 0; replica < $4; replica++)); do
            printf '%s{"name":"%s-%02d-%d","address":"127.0.0.1:%d",' \
                "$separator" "$1" "$group" "$replica" \
                $(($2 + group * $4 + replica))
            printf '"data_centre":"dc%d","group":"g%02d"}' \
                $((replica % 3 + 1)) "$group"
            separator=","
        done
    done
}

# Prints the JSON row of a pool.
# Arguments: NAME FIRST-PORT GROUPS REPLICAS SLOTS CONNECTIONS
print_pool() {
    printf '{"name":"%s","slots":%d,"connections":%d,"servers":[' "$1" "$5" \
        "$6"
    print_servers "$1" "$2" "$3" "$4"
    printf ']}'
}

write_settings() {
    cat >"$dir/daemon$1.json" <<SETTINGS
{
  "cluster": "demo",
  "data_centre": "dc$1",
  "region": "almaty",
  "caller": { "listen": "127.0.0.1:$((base + 10 * $1))" },
  "operator": {
    "listen": "127.0.0.1:$((base + 10 * $1 + 1))",
    "token": "demo-operator-token"
  },
  "peer": {
    "listen": "127.0.0.1:$((base + 10 * $1 + 2))",
    "key": "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f",
    "seeds": ["127.0.0.1:$((base + 12))", "127.0.0.1:$((base + 22))"]
  },
  "store": { "address": "127.0.0.1:$base" }
}
SETTINGS
}

ctl() {
    "$bin/hickoryctl" -d "127.0.0.1:$((base + 11))" -t "$dir/token" "$@"
}

# Repeats a command until it succeeds, 100 times at most, with pauses of 0.2 s
# (20 s in total).
retry() {
    local try
    for ((try = 0; try < 100; try++)); do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.2
    done
    return 1
}

# Fails unless the answer in a file contains every given text.
expect() {
    local file=$1 text
    shift
    for text in "$@"; do
        tr -d ' \n' <"$file" | grep -qF -- "$text" ||
            fail "the answer does not contain $text: $(cat "$file")"
    done
}

# Prints how often a text occurs in a file.
count() {
    tr -d ' \n' <"$1" | grep -oF -- "$2" | wc -l
}

echo "demo-operator-token" >"$dir/token"
{
    printf '{"routes":['
    printf '{"name":"template-search","kind":"template-search",'
    printf '"pool":"fitter-app","priority":0,"idempotent":true,'
    printf '"objective_latency_ms":100},'
    printf '{"name":"offcut-lookup","kind":"offcut-lookup",'
    printf '"pool":"showroom-desk","priority":1,"finish":"single",'
    printf '"idempotent":true},'
    printf '{"name":"job-card","kind":"job-card","pool":"office-print",'
    printf '"priority":5,"finish":"single","idempotent":false},'
    printf '{"name":"yard-stock","kind":"yard-*","pool":"yard-ledger",'
    printf '"priority":2,"idempotent":true}],"pools":['
    print_pool fitter-app $((base + 100)) 10 3 5 40
    printf ','
    print_pool showroom-desk $((base + 200)) 15 3 5 40
    printf ','
    print_pool office-print $((base + 300)) 1 40 2 100
    printf ','
    print_pool yard-ledger $((base + 400)) 1 20 2 100
    printf ']}'
} >"$dir/tables.json"

echo "starting the simulated platform, 135 simulated servers, two daemons"
start platform.log "$bin/fake-platform" --port "$base"
start fitter.log "$bin/fake-backend" --pool fitter-app \
    --port $((base + 100)) --groups 10 --replicas 3 --slots 5 --connections 40
start showroom.log "$bin/fake-backend" --pool showroom-desk \
    --port $((base + 200)) --groups 15 --replicas 3 --slots 5 --connections 40
start print.log "$bin/fake-backend" --pool office-print \
    --port $((base + 300)) --replicas 40 --slots 2 --connections 100
start yard.log "$bin/fake-backend" --pool yard-ledger \
    --port $((base + 400)) --replicas 20 --slots 2 --connections 100
for i in 1 2; do
    write_settings "$i"
    "$bin/hickoryrouterd" --check-settings "$dir/daemon$i.json" >/dev/null ||
        fail "the settings of daemon $i are not valid"
    start "daemon$i.log" "$bin/hickoryrouterd" -s "$dir/daemon$i.json"
done
retry ctl status || fail "daemon 1 does not answer"

# "hickoryctl members" prints one line per daemon below its heading.
both_members() {
    [ "$(ctl members | grep -c alive)" -eq 2 ]
}
retry both_members || fail "daemon 1 does not list both daemons as alive"

echo "publishing routes and pools"
ctl --summary "demo tables" --wait routes apply "$dir/tables.json" ||
    fail "the tables were not accepted"

query() {
    local daemon=$1 file=$2
    shift 2
    "$bin/hickoryctl" --json query \
        --caller "127.0.0.1:$((base + 10 * daemon))" "$@" >"$dir/$file"
}
wide_is_complete() {
    query 1 wide.json --kind template-search --payload '{"slab":"granite"}' \
        --deadline-ms 2000 &&
        tr -d ' \n' <"$dir/wide.json" | grep -q '"status":"complete"'
}
# The daemon has the index maps only after the first status polls.
retry wide_is_complete || fail "no complete answer: $(cat "$dir/wide.json")"
echo "wide query:"
cat "$dir/wide.json"
expect "$dir/wide.json" '"status":"complete"' '"missing":[]' '"version":7'
[ "$(count "$dir/wide.json" '"latency_us"')" -eq 10 ] ||
    fail "the answer to the wide query does not contain exactly 10 shards"

echo "single-shard lookup:"
query 2 single.json --kind offcut-lookup --key yard-4/offcut-17 \
    --deadline-ms 2000 || fail "the lookup failed: $(cat "$dir/single.json")"
cat "$dir/single.json"
expect "$dir/single.json" '"status":"complete"' '"missing":[]'
[ "$(count "$dir/single.json" '"latency_us"')" -eq 1 ] ||
    fail "the answer to the lookup does not contain exactly 1 shard"

echo "job card print, sent to both daemons with one request id:"
expires=$((($(date +%s) + 120) * 1000))
for daemon in 1 2; do
    query "$daemon" "print$daemon.json" --kind job-card --deadline-ms 5000 \
        --request-id job-card-4711 --expires-ms "$expires" \
        --payload '{"request_id":"job-card-4711"}' ||
        fail "the print failed: $(cat "$dir/print$daemon.json")"
    cat "$dir/print$daemon.json"
    expect "$dir/print$daemon.json" '"status":"done"'
done
"$bin/fake-backend" --read-runs --port $((base + 300)) --pool office-print \
    >"$dir/runs.json" || fail "the simulated servers do not report their runs"
expect "$dir/runs.json" '"job-card-4711":1'
echo "the job card ran once"
echo "demo: ok"
