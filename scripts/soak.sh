#!/usr/bin/env bash
# Randomized soak test with real processes: a loopback proxy injects faults into connections to targets and the store,
# hosts are stopped, paused, killed and restarted, the store fails, and crowds of hostile clients come. The judge checks the
# callers' and targets' histories; no host may end by itself or need more memory or descriptors than its settings allow.
# usage: scripts/soak.sh SEED...      SOAK_SECONDS (20) is the length of one run, SOAK_HOSTS (2) the hosts of each zone.
# For a failed seed, histories and logs are kept in the printed directory.
set -uo pipefail
cd "$(dirname "$0")/.."

zones=6
hosts_per_zone="${SOAK_HOSTS:-2}"
seconds="${SOAK_SECONDS:-20}"
clients=(10.1.0.7 10.2.0.7 10.3.0.7 10.4.0.7 10.5.0.7 10.6.0.7)

# draw N: sets DRAWN to a random number below N. A subshell would lose the state of the generator.
draw() { DRAWN=$(( RANDOM % $1 )); }

say() { echo "$(awk '{ print $1 }' /proc/uptime) $*" >>"$FLEET_DIR/faults.txt"; }

draw_host() {
  local zone
  draw "$zones"; zone=$(( DRAWN + 1 ))
  draw "$hosts_per_zone"; HOST="$zone.$(( DRAWN + 1 ))"
}

draw_target() { draw "${#targets[@]}"; TARGET="${targets[DRAWN]}"; }

harm() { curl -s -m 2 "http://127.$FLEET_NET.0.2:7100/control?address=$1&$2" >/dev/null; }

# later SECONDS COMMAND...: runs a command in the background after a delay; the run waits for all of them at its end.
later() { local time="$1"; shift; ( sleep "$time"; "$@" ) & pending+=($!); }

fault_kill() { draw_host; say kill "$HOST"; kill -KILL "${HOST_PIDS[$HOST]}" 2>/dev/null; sleep 0.3; start_host "${HOST%.*}" "${HOST#*.}"; }
fault_stop() {
  draw_host; say stop "$HOST"
  local pid="${HOST_PIDS[$HOST]}"
  kill -TERM "$pid" 2>/dev/null
  # The address is reused once the old process has exited; a stop that hangs fails the run.
  for _ in $(seq 1 300); do kill -0 "$pid" 2>/dev/null || break; sleep 0.1; done
  if kill -0 "$pid" 2>/dev/null; then say "HUNG $HOST"; hung=1; else start_host "${HOST%.*}" "${HOST#*.}"; fi
}
fault_pause() { draw_host; draw 5; say pause "$HOST" "$DRAWN"; local pid="${HOST_PIDS[$HOST]}"; kill -STOP "$pid" 2>/dev/null; later "$DRAWN.4" kill -CONT "$pid"; }
fault_target_late() { draw_target; say late "$TARGET"; harm "$TARGET" delay_ms=120; later 3 harm "$TARGET" delay_ms=0; }
fault_target_reset() { draw_target; say reset "$TARGET"; harm "$TARGET" reset=1; }
fault_target_answers_lost() { draw_target; say answers-lost "$TARGET"; harm "$TARGET" drop_answers=1; later 2 harm "$TARGET" "drop_answers=0&reset=1"; }
fault_target_requests_lost() { draw_target; say requests-lost "$TARGET"; harm "$TARGET" drop_requests=1; later 2 harm "$TARGET" "drop_requests=0&reset=1"; }
fault_store_down() { draw 2; say store-outage "$(( DRAWN + 1 ))"; curl -s "http://$fleet_store/control?outage=$(( DRAWN + 1 ))" >/dev/null; later 3 curl -s "http://$fleet_store/control?outage=0"; }
fault_store_loses() { say store-loses; curl -s "http://$fleet_store/control?lose_replies=10" >/dev/null; }
fault_store_late() { say store-late; harm "$platform" delay_ms=200; later 3 harm "$platform" delay_ms=0; }
fault_store_reset() { say store-reset; harm "$platform" reset=1; }
# The crowd has no key, since the judge knows the requests of the load alone: nothing of it may run.
fault_crowd() {
  draw_host; draw 3
  local ports=(8080 8090 8070) paths=(/plans/1 /nowhere /metrics)
  local port="${ports[DRAWN]}"
  draw 3
  say crowd "$HOST" "$port" "${paths[DRAWN]}"
  "$FLEET_BIN/standin_crowd" --address "127.$FLEET_NET.$HOST:$port" --path "${paths[DRAWN]}" \
    --clients 150 --seconds 3 & pending+=($!)
}
fault_change() {
  say change
  draw 900
  sed -i "s/lookup_ttl_ms: [0-9]*/lookup_ttl_ms: $(( 1000 + DRAWN ))/" "$FLEET_DIR/config.yaml"
  "$FLEET_BIN/citronloft" apply "$FLEET_DIR/config.yaml" --platform "$fleet_store" --operator soak >/dev/null 2>&1
}
faults=($(declare -F | awk '{ print $3 }' | grep '^fault_'))

# check_hosts: prints each host that has ended by itself, or has needed more than its settings allow.
check_hosts() {
  local host pid kilobytes
  for host in "${!HOST_PIDS[@]}"; do
    pid="${HOST_PIDS[$host]}"
    kilobytes=$(awk '/VmHWM/ { print $2 }' "/proc/$pid/status" 2>/dev/null)
    if [ -z "$kilobytes" ]; then
      echo "host $host has ended"
    elif (( kilobytes * 1024 > FLEET_MEMORY_MB * 1000000 )); then
      echo "host $host needed $kilobytes kB"
    fi
    (( $(ls "/proc/$pid/fd" 2>/dev/null | wc -l) <= FLEET_MAX_FDS )) || echo "host $host has too many descriptors"
  done
}

begin() {
  # Hosts connect to the proxies, which forward to the ports on which the targets and the store listen.
  copy_example examples/waitaha.yaml
  issue_keys
  awk '/^teams:/ { on = 1 } /^routes:/ { on = 0 } on && /name:/ { n = $3 } on && /rate:/ { r = $2 }
    on && /burst:/ { printf "{\"event\":\"team\",\"name\":\"%s\",\"rate\":%s,\"burst\":%s}\n", n, r, $2 }' \
    "$FLEET_DIR/config.yaml" >>"$FLEET_DIR/events.jsonl"
  platform="127.$FLEET_NET.0.1:7001"
  mapfile -t targets < <(grep -o '127\.[0-9.]*:9000' "$FLEET_DIR/config.yaml")
  start_store
  start_process targets "$FLEET_BIN/standin_target" --listen "${targets[@]/%:9000/:9001}" \
    --history "$FLEET_DIR/targets.jsonl" --slots 10 --service-ms 5
  start_process proxy "$FLEET_BIN/standin_proxy" --listen "${targets[@]}" --server-port 9001 --control "127.$FLEET_NET.0.2:7100"
  start_process store-proxy "$FLEET_BIN/standin_proxy" --listen "$platform" --server-port 7000 --control "127.$FLEET_NET.0.3:7100"
  local store="$fleet_store"
  fleet_store="$platform"
  start_hosts "$zones" "$hosts_per_zone"
  fleet_store="$store"
  wait_for 10 apply_config && wait_for 30 fleet_is_ready $(( zones * hosts_per_zone ))
}

# judge SEED: checks the histories of one run and prints a one-line summary.
judge() {
  local verdict=0 answered
  "$FLEET_BIN/citronloft_judge" "$FLEET_DIR"/callers.jsonl "$FLEET_DIR"/targets.jsonl "$FLEET_DIR"/events.jsonl \
    >"$FLEET_DIR/judge.txt" || verdict=1
  answered=$(sed -n '/"codes"/,/}/p' "$FLEET_DIR/load.json" | grep -o '"1000": [0-9]*' | cut -d' ' -f2)
  [ "${answered:-0}" -gt $(( seconds * 100 )) ] || verdict=1
  [ "$load_ok" = 0 ] || verdict=1
  [ "${hung:-0}" = 0 ] || verdict=1
  check_hosts >"$FLEET_DIR/hosts.txt"
  [ ! -s "$FLEET_DIR/hosts.txt" ] || verdict=1
  echo "seed $1: $(wc -l <"$FLEET_DIR/faults.txt") faults, ${answered:-0} answers, $(head -1 "$FLEET_DIR/judge.txt")"
  return "$verdict"
}

run_seed() (
  RANDOM=$1
  pending=()
  FLEET_DIR=$(mktemp -d)
  FLEET_NET=$(( $1 % 180 + 40 ))
  FLEET_KEEP=1
  FLEET_MEMORY_MB="${SOAK_MEMORY_MB:-64}"
  FLEET_MAX_FDS="${SOAK_MAX_FDS:-512}"
  . scripts/fleet.sh
  begin || { echo "seed $1: the fleet did not start; kept in $FLEET_DIR"; stop_fleet; exit 1; }
  trap stop_fleet EXIT
  : >"$FLEET_DIR/faults.txt"
  "$FLEET_BIN/standin_load" --lookup "127.$FLEET_NET.1.1:8080" "127.$FLEET_NET.4.2:8080" "127.$FLEET_NET.6.1:8080" \
    --client "${clients[@]}" --teams "$FLEET_DIR/teams.json" --seconds "$seconds" --seed "$1" --idempotency-keys \
    --double-payments --history "$FLEET_DIR/callers.jsonl" --json "$FLEET_DIR/load.json" >"$FLEET_DIR/load.txt" 2>&1 &
  load=$!
  sleep 1
  fault_crowd
  while kill -0 "$load" 2>/dev/null; do
    draw "${#faults[@]}"
    "${faults[DRAWN]}"
    draw 15
    sleep "$(awk "BEGIN { print $DRAWN / 10 }")"
  done
  wait "$load"; load_ok=$?
  [ ${#pending[@]} -eq 0 ] || wait "${pending[@]}" 2>/dev/null
  if judge "$1"; then rm -rf "$FLEET_DIR"; exit 0; fi
  echo "  FAILED; kept in $FLEET_DIR"
  sed 's/^/  /' "$FLEET_DIR/judge.txt" "$FLEET_DIR/hosts.txt" | head -10
  exit 1
)

failed=()
for seed in "$@"; do
  run_seed "$seed" || failed+=("$seed")
done
[ ${#failed[@]} -eq 0 ] || { echo "failed seeds: ${failed[*]}"; exit 1; }
