#!/usr/bin/env bash
# Measures the control cost per host process, idle and at one change per second: bytes sent per second, CPU, memory and
# store calls. Sizes are zones x hosts; BENCH_SECONDS sets the length of each step.
set -uo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh >/dev/null || exit 1
seconds="${BENCH_SECONDS:-10}"

measure() {
  local hosts="$1" what="$2" pid bytes0 bytes1 cpu0 cpu1 memory calls0 calls1
  total_bytes() { local z h; for z in 1 2 3 4 5 6; do for h in $(seq 1 "$per_zone"); do
    curl -s "http://127.$FLEET_NET.$z.$h:8090/metrics" | grep 'peer_bytes_total{direction="sent"' | awk '{ print $2 }'; done; done |
    awk '{ s += $1 } END { print s + 0 }'; }
  total_cpu() { for pid in "${HOST_PIDS[@]}"; do awk '{ print $14 + $15 }' "/proc/$pid/stat"; done | awk '{ s += $1 } END { print s }'; }
  total_memory() { for pid in "${HOST_PIDS[@]}"; do awk '/VmRSS/ { print $2 }' "/proc/$pid/status"; done | awk '{ s += $1 } END { print s }'; }
  total_calls() { curl -s "http://$fleet_store/stats" | grep -o '[a-z]*":[0-9]*' | grep -v objects | cut -d: -f2 | awk '{ s += $1 } END { print s }'; }
  bytes0=$(total_bytes); cpu0=$(total_cpu); calls0=$(total_calls)
  if [ "$what" = idle ]; then
    sleep "$seconds"
  else
    for i in $(seq 1 "$seconds"); do
      sed -i "s/lookup_ttl_ms: .*/lookup_ttl_ms: $(( 2000 + i ))/" "$FLEET_DIR/config.yaml"
      apply_config >/dev/null
      sleep 0.95
    done
  fi
  bytes1=$(total_bytes); cpu1=$(total_cpu); calls1=$(total_calls); memory=$(total_memory)
  awk -v h="$hosts" -v w="$what" -v s="$seconds" -v b="$(( bytes1 - bytes0 ))" -v c="$(( cpu1 - cpu0 ))" -v m="$memory" \
    -v k="$(( calls1 - calls0 ))" 'BEGIN { printf "%5d hosts  %-18s %7.0f B/s  cpu %5.2f %%  memory %5.1f MB  store %5.1f calls/s\n",
      h, w, b / h / s, c / h / s, m / h / 1024, k / s }'
}

for per_zone in 1 2 4 8; do
  (
    . scripts/fleet.sh
    trap stop_fleet EXIT
    copy_example examples/waitaha.yaml
    start_store
    start_hosts 6 "$per_zone"
    wait_for 10 apply_config
    wait_for 30 fleet_is_ready $(( 6 * per_zone )) || echo "not ready"
    sleep 8
    measure $(( 6 * per_zone )) idle
    measure $(( 6 * per_zone )) "a change a second"
  )
done
