#!/usr/bin/env bash
# Measures the latency that a host adds to a direct request to the target, and requests and look-ups per second and
# core, as ratios within one run. BENCH_SECONDS sets the length of each step.
set -uo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh >/dev/null || exit 1
. scripts/fleet.sh
trap stop_fleet EXIT
closed="build/release/bench/closed_load"
seconds="${BENCH_SECONDS:-3}"

copy_example examples/waitaha.yaml
sed -i 's/rate: [0-9]*$/rate: 1000000/; s/burst: [0-9]*$/burst: 100000/; s/slots: 10,/slots: 200,/' "$FLEET_DIR/config.yaml"
issue_keys
start_store
start_targets --slots 1000 --service-ms 0
start_host 1 1
wait_for 10 apply_config && wait_for 20 fleet_is_ready 1 || exit 1
sleep 6
host="127.$FLEET_NET.1.1:8080"
target="127.$FLEET_NET.1.151:9000"
key=$(grep -o '"counter-hornby": { "key": "[^"]*' "$FLEET_DIR/teams.json" | cut -d'"' -f6)

cpu_ticks() { awk '{ print $14 + $15 }' "/proc/${HOST_PIDS[1.1]}/stat"; }
field() { grep -o "\"$2\":[0-9.]*" <<<"$1" | cut -d: -f2; }

run() {
  local name="$1" before after result
  shift
  before=$(cpu_ticks)
  result=$("$closed" --seconds "$seconds" "$@")
  after=$(cpu_ticks)
  printf '%-34s %10.0f/s  p50 %7.3f ms  p99 %7.3f ms  failures %s' "$name" "$(field "$result" per_second)" \
    "$(field "$result" p50_ms)" "$(field "$result" p99_ms)" "$(field "$result" failures)"
  awk -v a="$before" -v b="$after" -v s="$seconds" -v r="$(field "$result" per_second)" \
    'BEGIN { cpu = (b - a) / 100 / s; if (cpu > 0.02) printf "  host cpu %.2f, %.0f/s per core", cpu, r / cpu; print "" }'
  LAST_P50=$(field "$result" p50_ms)
  LAST_P99=$(field "$result" p99_ms)
}

for connections in 1 16; do
  run "target directly, $connections at a time" --address "$target" --path /plans/1 --connections "$connections"
  direct50=$LAST_P50
  direct99=$LAST_P99
  run "through a host, $connections at a time" --address "$host" --path /plans/1 --key "$key" --connections "$connections"
  awk -v a="$LAST_P50" -v b="$direct50" -v c="$LAST_P99" -v d="$direct99" \
    'BEGIN { printf "  ratio to direct: p50 %.2f, p99 %.2f; added p50 %.3f ms\n", a / b, c / d, a - b }'
done
run "look-ups, 16 at a time" --address "$host" --path "/citronloft/v1/lookup?client=10.1.0.7" --connections 16
