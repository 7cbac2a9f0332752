#!/usr/bin/env bash
# Measures what callers of reads see while two of 36 targets stop responding on open connections.
set -uo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh >/dev/null || exit 1
. scripts/fleet.sh
trap stop_fleet EXIT
copy_example examples/waitaha.yaml
issue_keys
start_store
start_targets --slots 10 --service-ms 5
start_hosts 6 3
wait_for 10 apply_config && wait_for 30 fleet_is_ready 18 || exit 1
"$FLEET_BIN/standin_load" --lookup "127.$FLEET_NET.1.1:8080" --client 10.1.0.7 10.2.0.7 10.3.0.7 10.4.0.7 10.5.0.7 10.6.0.7 \
  --teams "$FLEET_DIR/teams.json" --seconds 10 --payment-share 0 --seed 4 --json "$FLEET_DIR/load.json" >"$FLEET_DIR/load.txt" &
load=$!
sleep 3
curl -s "http://127.$FLEET_NET.1.151:9000/control?silent=1" >/dev/null
curl -s "http://127.$FLEET_NET.2.151:9000/control?silent=1" >/dev/null
wait "$load"
sed -n '/^code/,$p' "$FLEET_DIR/load.txt"
for zone in 1 2; do
  for host in 1 2 3; do curl -s "http://127.$FLEET_NET.$zone.$host:8090/metrics" | grep retries_total; done
done | awk '{ n[$1] += $2 } END { for (s in n) print s, n[s] }'
