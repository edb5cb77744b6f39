#!/usr/bin/env bash
# Measure the overhead of the path through one router and one agent.
# Each component is a separate process; all are stopped when the script exits.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
pids=()
stop() {
    kill "${pids[@]}" 2>/dev/null || true
    wait "${pids[@]}" 2>/dev/null || true
    # Components should log only decisions: show errors and tracebacks.
    grep -h '"level":"error"\|Traceback' "$work"/*.err >&2 || true
    rm -rf "$work"
}
trap stop EXIT

start() {
    bulrushstream "$@" >"$work/${#pids[@]}.out" \
        2>"$work/${#pids[@]}.err" &
    pids+=($!)
}

start standin log --port 18100
start standin instances --port 18101
start standin engine --port 18102 --slots 2000 --model proofwriter \
    --first_token_s 0.01 --token_s "${TOKEN_S:-0.005}"
settings() {
    cat <<JSON
{
  "instance": "$1", "region": "region-1", "availability_zone": "zone-a",
  "platform": {
    "log_url": "http://127.0.0.1:18100",
    "instances_url": "http://127.0.0.1:18101"
  },
  "security": {"shared_secret": "a secret for measurements only"},
  "operators": {"port": $2},
JSON
}
{
    settings router-0 18111
    echo '"peers": {"port": 18112}, "callers": {"port": 18110}}'
} >"$work/router.json"
{
    settings agent-0 18121
    echo '"peers": {"port": 18122}, "endpoint": {"name": "engine-0",
      "service": "proofwriter", "kind": "model",
      "url": "http://127.0.0.1:18102"}}'
} >"$work/agent.json"
sed 's/"slots": 4,/"slots": 1000,/' \
    src/bulrushstream/local/demo-rules.json >"$work/rules.json"
sleep 2
start router "$work/router.json"
start agent "$work/agent.json"
bulrushstream rules publish "$work/rules.json" --log http://127.0.0.1:18100
sleep 4
bulrushstream measure path \
    --direct http://127.0.0.1:18102 --via http://127.0.0.1:18110 \
    --token demo-press --model proofwriter \
    --operators http://127.0.0.1:18111,http://127.0.0.1:18121 "$@"
