#!/usr/bin/env bash
# Compares the fair queue with FIFO in one run: service of the worst-served team while one team sends five times the
# capacity of the target.
set -uo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh >/dev/null || exit 1
for queue in fifo fair; do
  (
    FLEET_QUEUE="$queue"
    . scripts/fleet.sh
    trap stop_fleet EXIT
    copy_example examples/waitaha.yaml
    # Rate limits are not reached, so only the queue decides. One target with 4 slots and 20 ms per request can serve
    # 200 requests per second.
    sed -i 's/rate: [0-9]*$/rate: 100000/; s/burst: [0-9]*$/burst: 10000/; s/slots: 10,/slots: 4,/' "$FLEET_DIR/config.yaml"
    sed -i '/\.1\.10[2-4]:9000\|\.1\.15[2-4]:9000\|\.[2-6]\.[0-9]*:9000/d' "$FLEET_DIR/config.yaml"
    issue_keys
    awk 'BEGIN { OFS = "" } /"key"/ { split($0, p, "\"rate\": "); r = ($0 ~ /households-north/) ? 1000 : 8; sub(/"rate": [0-9.e+]*/, "\"rate\": " r) } { print }' \
      "$FLEET_DIR/teams.json" >"$FLEET_DIR/t.json" && mv "$FLEET_DIR/t.json" "$FLEET_DIR/teams.json"
    start_store
    start_targets --slots 4 --service-ms 20
    start_hosts 1 3
    wait_for 10 apply_config && wait_for 30 fleet_is_ready 3 || exit 1
    sleep 8
    "$FLEET_BIN/standin_load" --lookup "127.$FLEET_NET.1.1:8080" --client 10.1.0.7 --teams "$FLEET_DIR/teams.json" \
      --seconds 8 --payment-share 0 --seed 3 >"$FLEET_DIR/load.txt"
    echo "queue: $queue"
    sed -n '/^team/,/^$/p;/^all/p' "$FLEET_DIR/load.txt"
  )
done
