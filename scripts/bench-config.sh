#!/usr/bin/env bash
# Measures the time until a change is active on 18 hosts (50 changes), and the time from the acceptance of a key's
# withdrawal to the key's last accepted use on open connections (20 keys).
set -uo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh >/dev/null || exit 1
. scripts/fleet.sh
trap stop_fleet EXIT
copy_example examples/waitaha.yaml
issue_keys
start_store
start_targets --slots 10 --service-ms 2
start_hosts 6 3
wait_for 10 apply_config && wait_for 30 fleet_is_ready 18 || exit 1
for i in $(seq 1 "${BENCH_CHANGES:-50}"); do
  sed -i "s/lookup_ttl_ms: .*/lookup_ttl_ms: $(( 2000 + i ))/" "$FLEET_DIR/config.yaml"
  apply_config --wait --status-from "$fleet_status" --json | grep -o '"in_force_ms": [0-9.]*' | cut -d' ' -f2
done | sort -n | awk '{ v[NR] = $1 } END { printf "%d changes active on 18 hosts: p50 %.1f ms, max %.1f ms\n", NR, v[int((NR + 1) / 2)], v[NR] }'
for i in $(seq 1 "${BENCH_KEYS:-20}"); do
  key=$("$FLEET_BIN/citronloft" key new --team households-north --file "$FLEET_DIR/config.yaml" | head -1)
  apply_config --wait --status-from "$fleet_status" >/dev/null
  echo "{ \"households-north\": { \"key\": \"$key\", \"rate\": 150 } }" >"$FLEET_DIR/one.json"
  "$FLEET_BIN/standin_load" --lookup "127.$FLEET_NET.2.1:8080" --client 10.1.0.7 10.2.0.7 10.4.0.7 10.6.0.7 \
    --teams "$FLEET_DIR/one.json" --seconds 1.5 --payment-share 0 --seed "$i" --history "$FLEET_DIR/one-$i.jsonl" >/dev/null &
  load=$!
  sleep 0.7
  "$FLEET_BIN/citronloft" key withdraw "$key" --file "$FLEET_DIR/config.yaml" >/dev/null
  accepted=$(apply_config --json | grep -o '"accepted_at_ns": [0-9]*' | cut -d' ' -f2)
  wait "$load"
  last=$(grep '"code":"1000"' "$FLEET_DIR/one-$i.jsonl" | grep -o '"t":[0-9]*' | cut -d: -f2 | sort -n | tail -1)
  awk -v a="$accepted" -v l="$last" 'BEGIN { printf "%.1f\n", (l - a) / 1e6 }'
done | sort -n | awk '{ v[NR] = $1 } END { printf "%d withdrawn keys: last accepted use after acceptance p50 %.1f ms, max %.1f ms\n", NR, v[int((NR + 1) / 2)], v[NR] }'
