#!/usr/bin/env bash
# Randomized fault soak over real processes: a loopback proxy harms connections to targets and to the store, signals stop,
# pause, kill and restart hosts, the store misbehaves. The judge checks what callers and targets saw.
# usage: scripts/soak.sh SEED...      SOAK_SECONDS (20) is the length of one run, SOAK_HOSTS (2) the hosts of each zone.
# A seed that fails keeps its histories and logs in the folder that is printed.
set -uo pipefail
cd "$(dirname "$0")/.."

zones=6
hosts_per_zone="${SOAK_HOSTS:-2}"
seconds="${SOAK_SECONDS:-20}"
clients=(10.1.0.7 10.2.0.7 10.3.0.7 10.4.0.7 10.5.0.7 10.6.0.7)

# draw N: a number below N into DRAWN. Not in a subshell: the generator's state would be lost.
draw() { DRAWN=$(( RANDOM % $1 )); }

say() { echo "$(awk '{ print $1 }' /proc/uptime) $*" >>"$FLEET_DIR/faults.txt"; }

draw_host() {
  local zone
  draw "$zones"; zone=$(( DRAWN + 1 ))
  draw "$hosts_per_zone"; HOST="$zone.$(( DRAWN + 1 ))"
}

draw_target() { draw "${#targets[@]}"; TARGET="${targets[DRAWN]}"; }

harm() { curl -s -m 2 "http://127.$FLEET_NET.0.2:7100/control?address=$1&$2" >/dev/null; }

# later SECONDS COMMAND...: runs it in the background; the run waits for all of them at its end.
later() { local time="$1"; shift; ( sleep "$time"; "$@" ) & pending+=($!); }

fault_kill() { draw_host; say kill "$HOST"; kill -KILL "${HOST_PIDS[$HOST]}" 2>/dev/null; sleep 0.3; start_host "${HOST%.*}" "${HOST#*.}"; }
fault_stop() {
  draw_host; say stop "$HOST"
  local pid="${HOST_PIDS[$HOST]}"
  kill -TERM "$pid" 2>/dev/null
  # The next process of the address starts when the old one has gone; a stop that hangs ends the run as failed.
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
fault_change() {
  say change
  draw 900
  sed -i "s/lookup_ttl_ms: [0-9]*/lookup_ttl_ms: $(( 1000 + DRAWN ))/" "$FLEET_DIR/config.yaml"
  "$FLEET_BIN/citronloft" apply "$FLEET_DIR/config.yaml" --platform "$fleet_store" --operator soak >/dev/null 2>&1
}
faults=($(declare -F | awk '{ print $3 }' | grep '^fault_'))

begin() {
  # Targets and store listen one port above the addresses that the hosts know; the proxy is in between.
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

# Judges one run; prints one line.
judge() {
  local verdict=0 answered
  "$FLEET_BIN/citronloft_judge" "$FLEET_DIR"/callers.jsonl "$FLEET_DIR"/targets.jsonl "$FLEET_DIR"/events.jsonl \
    >"$FLEET_DIR/judge.txt" || verdict=1
  answered=$(sed -n '/"codes"/,/}/p' "$FLEET_DIR/load.json" | grep -o '"1000": [0-9]*' | cut -d' ' -f2)
  [ "${answered:-0}" -gt $(( seconds * 100 )) ] || verdict=1
  [ "$load_ok" = 0 ] || verdict=1
  [ "${hung:-0}" = 0 ] || verdict=1
  echo "seed $1: $(wc -l <"$FLEET_DIR/faults.txt") faults, ${answered:-0} answers, $(head -1 "$FLEET_DIR/judge.txt")"
  return "$verdict"
}

run_seed() (
  RANDOM=$1
  pending=()
  FLEET_DIR=$(mktemp -d)
  FLEET_NET=$(( $1 % 180 + 40 ))
  FLEET_KEEP=1
  . scripts/fleet.sh
  begin || { echo "seed $1: the fleet did not start; kept in $FLEET_DIR"; stop_fleet; exit 1; }
  trap stop_fleet EXIT
  : >"$FLEET_DIR/faults.txt"
  "$FLEET_BIN/standin_load" --lookup "127.$FLEET_NET.1.1:8080" "127.$FLEET_NET.4.2:8080" "127.$FLEET_NET.6.1:8080" \
    --client "${clients[@]}" --teams "$FLEET_DIR/teams.json" --seconds "$seconds" --seed "$1" --idempotency-keys \
    --double-payments --history "$FLEET_DIR/callers.jsonl" --json "$FLEET_DIR/load.json" >"$FLEET_DIR/load.txt" 2>&1 &
  load=$!
  sleep 1
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
  sed 's/^/  /' "$FLEET_DIR/judge.txt" | head -10
  exit 1
)

failed=()
for seed in "$@"; do
  run_seed "$seed" || failed+=("$seed")
done
[ ${#failed[@]} -eq 0 ] || { echo "failed seeds: ${failed[*]}"; exit 1; }
