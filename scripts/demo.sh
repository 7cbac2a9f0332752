#!/usr/bin/env bash
# Runs Waitaha's layout on loopback addresses under a few seconds of load and prints the callers' results.
# DEMO_SECONDS sets the length of the load, FLEET_NET the second octet of the network 127.NET.0.0/16.
# DEMO_LAYOUT=fascia selects the Fascia Quotations Unit's layout.
set -uo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh >/dev/null || exit 1
. scripts/fleet.sh
trap stop_fleet EXIT

zones=6
hosts_per_zone=3
seconds="${DEMO_SECONDS:-8}"
clients=(10.1.0.7 10.2.0.7 10.3.0.7 10.4.0.7 10.5.0.7 10.6.0.7)

layout="${DEMO_LAYOUT:-waitaha}"
paths=(--read-path /plans/1 --payment-path /payments)
slots=10
if [ "$layout" = fascia ]; then
  paths=(--read-path /specifications/1 --payment-path /acceptances)
  slots=3
fi
copy_example "examples/$layout.yaml"
issue_keys
withdrawn=$("$FLEET_BIN/citronloft" key new --team auditors --file "$FLEET_DIR/config.yaml" | head -1)
start_store
start_targets --slots "$slots" --service-ms 5
start_hosts "$zones" "$hosts_per_zone"
wait_for 10 apply_config || exit 1
wait_for 20 fleet_is_ready $(( zones * hosts_per_zone )) || exit 1
echo "$(( zones * hosts_per_zone )) hosts are serving"

"$FLEET_BIN/standin_load" --lookup "127.$FLEET_NET.1.1:8080" "127.$FLEET_NET.4.2:8080" --client "${clients[@]}" \
  --teams "$FLEET_DIR/teams.json" --seconds "$seconds" --seed 1 --idempotency-keys "${paths[@]}" \
  --history "$FLEET_DIR/callers.jsonl" --json "$FLEET_DIR/load.json" >"$FLEET_DIR/load.txt" &
load=$!

echo "{ \"auditors\": { \"key\": \"$withdrawn\", \"rate\": 2 } }" >"$FLEET_DIR/withdrawn.json"
"$FLEET_BIN/standin_load" --lookup "127.$FLEET_NET.2.1:8080" --teams "$FLEET_DIR/withdrawn.json" \
  --seconds "$seconds" --seed 2 "${paths[@]}" --history "$FLEET_DIR/withdrawn.jsonl" >/dev/null &
withdrawn_load=$!

sleep 2
sed -i 's/lookup_ttl_ms: 2000/lookup_ttl_ms: 1500/' "$FLEET_DIR/config.yaml"
change=$(apply_config --wait --status-from "$fleet_status" --json)
"$FLEET_BIN/citronloft" key withdraw "$withdrawn" --file "$FLEET_DIR/config.yaml" >/dev/null
withdrawal=$(apply_config --json)
wait "$load"
result=$?
wait "$withdrawn_load"

cat "$FLEET_DIR/load.txt"
in_force=$(grep -o '"in_force_ms": [0-9.]*' <<<"$change" | cut -d' ' -f2)
accepted_at=$(grep -o '"accepted_at_ns": [0-9]*' <<<"$withdrawal" | cut -d' ' -f2)
last_use=$(grep '"code":"1000"' "$FLEET_DIR/withdrawn.jsonl" | grep -o '"t":[0-9]*' | cut -d: -f2 | sort -n | tail -1)
echo "a change was active on all hosts after ${in_force:-?} ms"
awk -v a="$accepted_at" -v l="${last_use:-0}" \
  'BEGIN { printf "the withdrawn key was last accepted %.0f ms after its withdrawal (negative: before)\n", (l - a) / 1e6 }'
[ "$result" -eq 0 ] && [ -n "$in_force" ]
