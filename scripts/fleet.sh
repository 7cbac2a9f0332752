# Functions that start and stop a small fleet on loopback addresses; sourced by the other scripts.
#
# Each run has its own network 127.NET.0.0/16: the store is 127.NET.0.1, host H of zone Z is 127.NET.Z.H, and the
# targets are those of the configuration file. Processes are stopped by process id.

FLEET_BIN="${FLEET_BIN:-build/release/programs}"

# take_network FIRST: sets FLEET_NET to the first number, starting at FIRST, that no other run on this machine has
# locked. This shell and its child processes hold the lock; without it, concurrent runs would share hosts, targets and
# store.
take_network() {
  local number=$1
  for _ in $(seq 200); do
    exec 9>"${TMPDIR:-/tmp}/citronloft-network-$number.lock"
    if flock -n 9; then
      FLEET_NET=$number
      return 0
    fi
    number=$(( (number - 30 + 1) % 200 + 30 ))
  done
  echo "no free loopback network 127.NET.0.0/16: all are locked by other runs" >&2
  return 1
}
take_network "${FLEET_NET:-$(( $$ % 200 + 30 ))}" || exit 1
FLEET_DIR="${FLEET_DIR:-$(mktemp -d)}"
FLEET_SECRET="loopback-fleet-secret"
FLEET_PIDS=()

fleet_store="127.$FLEET_NET.0.1:7000"
fleet_status="127.$FLEET_NET.1.1:8090"

# start_process NAME COMMAND...: starts a background process and sets LAST_PID.
start_process() {
  local name="$1"
  shift
  "$@" >"$FLEET_DIR/$name.out" 2>&1 &
  LAST_PID=$!
  FLEET_PIDS+=("$LAST_PID")
}

# wait_for SECONDS COMMAND...: waits until the command succeeds.
wait_for() {
  local deadline=$(( SECONDS + $1 ))
  shift
  until "$@" >/dev/null 2>&1; do
    if (( SECONDS >= deadline )); then
      echo "gave up waiting for: $*" >&2
      return 1
    fi
    sleep 0.1
  done
}

# copy_example FILE: copies a configuration and moves its addresses into the run's network.
copy_example() {
  sed "s/127\.[0-9]*\./127.$FLEET_NET./" "$1" >"$FLEET_DIR/config.yaml"
}

# start_targets [ARGUMENTS...]: starts one process that serves all targets of the configuration.
start_targets() {
  local addresses
  mapfile -t addresses < <(grep -o '127\.[0-9.]*:9000' "$FLEET_DIR/config.yaml")
  start_process targets "$FLEET_BIN/standin_target" --listen "${addresses[@]}" \
    --history "$FLEET_DIR/targets.jsonl" "$@"
  TARGETS_PID=$LAST_PID
}

start_store() {
  start_process store "$FLEET_BIN/standin_store" --listen "$fleet_store"
  STORE_PID=$LAST_PID
}

# start_host ZONE_NUMBER HOST_NUMBER: starts a host and stores its process id in HOST_PIDS["Z.H"].
declare -A HOST_PIDS
start_host() {
  local ip="127.$FLEET_NET.$1.$2" zone
  zone=$(sed -n '/^zones:/,/^$/p' "$FLEET_DIR/config.yaml" | grep -o 'name: [a-z0-9-]*' | sed -n "$1p" | cut -d' ' -f2)
  cat >"$FLEET_DIR/host-$1.$2.yaml" <<YAML
ip: $ip
zone: $zone
platform: $fleet_store
fleet_secret: $FLEET_SECRET
seeds: ["127.$FLEET_NET.1.1:8070", "127.$FLEET_NET.2.1:8070", "127.$FLEET_NET.3.1:8070", "127.$FLEET_NET.$1.1:8070", "127.$FLEET_NET.$1.2:8070"]
queue: ${FLEET_QUEUE:-fair}
lending: ${FLEET_LENDING:-fleet}
memory_mb: ${FLEET_MEMORY_MB:-0}
max_fds: ${FLEET_MAX_FDS:-0}
log: { path: "$FLEET_DIR/host-$1.$2.log", level: info }
YAML
  start_process "host-$1.$2" "$FLEET_BIN/citronloftd" --settings "$FLEET_DIR/host-$1.$2.yaml"
  HOST_PIDS["$1.$2"]=$LAST_PID
}

# start_hosts ZONES HOSTS_PER_ZONE
start_hosts() {
  local zone host
  for zone in $(seq 1 "$1"); do
    for host in $(seq 1 "$2"); do
      start_host "$zone" "$host"
    done
  done
}

# issue_keys: creates a key for every team of the configuration and writes teams.json for the load generator.
# RATE_FACTOR is the ratio of each team's sending rate to its allowed rate.
issue_keys() {
  local team rate key
  echo "{" >"$FLEET_DIR/teams.json"
  while read -r team rate; do
    key=$("$FLEET_BIN/citronloft" key new --team "$team" --file "$FLEET_DIR/config.yaml" | head -1)
    rate=$(awk "BEGIN { print $rate * ${RATE_FACTOR:-0.5} }")
    echo "\"$team\": { \"key\": \"$key\", \"rate\": $rate }," >>"$FLEET_DIR/teams.json"
  done < <(awk '/^teams:/ { on = 1 } /^routes:/ { on = 0 } on && /name:/ { n = $3 } on && /rate:/ { print n, $2 }' \
    "$FLEET_DIR/config.yaml")
  sed -i '$ s/,$//' "$FLEET_DIR/teams.json"
  echo "}" >>"$FLEET_DIR/teams.json"
}

apply_config() {
  "$FLEET_BIN/citronloft" apply "$FLEET_DIR/config.yaml" --platform "$fleet_store" --operator demo "$@"
}

# fleet_is_ready HOSTS: succeeds if at least HOSTS hosts serve and all slots of their zones are held.
fleet_is_ready() {
  "$FLEET_BIN/citronloft" status --status-from "$fleet_status" --json >"$FLEET_DIR/status.json" || return 1
  [ "$(grep -c '"state": "serving"' "$FLEET_DIR/status.json")" -ge "$1" ] || return 1
  ! grep -q '"slots": 0,' "$FLEET_DIR/status.json"
}

stop_fleet() {
  local pid
  for pid in "${FLEET_PIDS[@]}"; do
    kill -CONT "$pid" 2>/dev/null
    kill -KILL "$pid" 2>/dev/null
  done
  wait 2>/dev/null
  FLEET_PIDS=()
  [ -n "${FLEET_KEEP:-}" ] || rm -rf "$FLEET_DIR"
}
