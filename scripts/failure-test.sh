#!/usr/bin/env bash
# Failure tests with real processes on loopback addresses; the judge checks the recorded history of each case.
# usage: scripts/failure-test.sh [CASE...]      runs all cases if none is given
# FLEET_BIN is the directory of the programs; FLEET_KEEP=1 with FLEET_DIR keeps histories and logs.
set -uo pipefail
cd "$(dirname "$0")/.."

zones=6
hosts_per_zone=3
clients=(10.1.0.7 10.2.0.7 10.3.0.7 10.4.0.7 10.5.0.7 10.6.0.7)
failures=0

check() {
  local what="$1"
  shift
  if "$@"; then
    echo "  ok: $what"
  else
    echo "  FAILED: $what"
    failures=$(( failures + 1 ))
  fi
}

now_ns() { awk '{ printf "%.0f", $1 * 1e9 }' /proc/uptime; }

record() { echo "$1" >>"$FLEET_DIR/events.jsonl"; }

# Writes each team's rate and burst to the event history, for the judge.
record_teams() {
  awk '/^teams:/ { on = 1 } /^routes:/ { on = 0 } on && /name:/ { n = $3 } on && /rate:/ { r = $2 }
    on && /burst:/ { printf "{\"event\":\"team\",\"name\":\"%s\",\"rate\":%s,\"burst\":%s}\n", n, r, $2 }' \
    "$FLEET_DIR/config.yaml" >>"$FLEET_DIR/events.jsonl"
}

begin_fleet() {
  copy_example examples/waitaha.yaml
  issue_keys
  record_teams
  start_store
  start_targets --slots 10 --service-ms 5
  start_hosts "$zones" "$hosts_per_zone"
  wait_for 10 apply_config && wait_for 30 fleet_is_ready $(( zones * hosts_per_zone ))
}

# begin_load SECONDS [ARGUMENTS...]
begin_load() {
  local seconds="$1"
  shift
  "$FLEET_BIN/standin_load" --lookup "127.$FLEET_NET.1.1:8080" "127.$FLEET_NET.4.2:8080" "127.$FLEET_NET.6.3:8080" \
    --client "${clients[@]}" --teams "$FLEET_DIR/teams.json" --seconds "$seconds" --seed 11 \
    --history "$FLEET_DIR/callers.jsonl" --json "$FLEET_DIR/load.json" "$@" >"$FLEET_DIR/load.txt" 2>&1 &
  LOAD_PID=$!
}

end_load() {
  check "every answer belonged to its caller" wait "$LOAD_PID"
}

judge() {
  "$FLEET_BIN/citronloft_judge" "$FLEET_DIR"/callers.jsonl "$FLEET_DIR"/targets.jsonl "$FLEET_DIR"/events.jsonl \
    >"$FLEET_DIR/judge.txt"
  local verdict=$?
  sed 's/^/  /' "$FLEET_DIR/judge.txt" | head -5
  check "the history violates no rule" [ "$verdict" -eq 0 ]
}

# code_count CODE: prints the number of answers with this code.
code_count() { sed -n '/"codes"/,/}/p' "$FLEET_DIR/load.json" | grep -o "\"$1\": [0-9]*" | cut -d' ' -f2 | grep . || echo 0; }
cut_count() { sed -n '/"codes"/,/}/p' "$FLEET_DIR/load.json" | grep -o '"cut-[0-9]": [0-9]*' | awk '{ s += $2 } END { print s + 0 }'; }

# Prints the hosts and kinds of cut requests, if any.
check_no_cut() {
  check "no request was cut" [ "$(cut_count)" -eq 0 ]
  grep -h '"code":"cut-' "$FLEET_DIR/callers.jsonl" | grep -o '"code":"cut-[0-9]"\|"host":"[0-9.:]*"' | paste - - |
    sort | uniq -c | sed 's/^/  /'
  [ "$(cut_count)" -eq 0 ] || grep -hE 'event=(host-leaving|service-closed|host-drained|steward-)' "$FLEET_DIR"/host-*.log
}

store_control() { curl -s "http://$fleet_store/control?$1" >/dev/null; }
target_control() { curl -s "http://$1/control?$2" >/dev/null; }

# steward_of ZONE_NAME: prints "Z.H" of the zone leader.
steward_of() {
  "$FLEET_BIN/citronloft" status --status-from "$fleet_status" --json | tr -d '\n ' | sed 's/},{"address"/}\n{"address"/g' |
    grep "\"zone\":\"$1\"" | grep -v '"steward_epoch":0' | grep -o '"address":"[0-9.]*' | cut -d. -f3,4 | head -1
}

case_kill_host() {
  begin_load 8
  sleep 2
  kill -KILL "${HOST_PIDS[2.2]}"
  end_load
  judge
  check "most requests were answered" [ "$(code_count 1000)" -gt 2000 ]
}

case_pause_host() {
  begin_load 12
  sleep 2
  kill -STOP "${HOST_PIDS[3.1]}"
  sleep 6
  kill -CONT "${HOST_PIDS[3.1]}"
  end_load
  judge
}

case_pause_steward() {
  local steward
  steward=$(steward_of auckland-a)
  check "zone auckland-a has a steward" [ -n "$steward" ]
  begin_load 20
  sleep 2
  kill -STOP "${HOST_PIDS[$steward]}"
  sleep 14
  kill -CONT "${HOST_PIDS[$steward]}"
  end_load
  judge
}

case_store_outage() {
  begin_load 14 --idempotency-keys
  sleep 2
  store_control outage=1
  sed -i 's/lookup_ttl_ms: 2000/lookup_ttl_ms: 1900/' "$FLEET_DIR/config.yaml"
  apply_config >"$FLEET_DIR/apply.txt"
  check "an apply during the outage is reported as not accepted" [ $? -eq 5 ]
  sleep 6
  store_control outage=0
  check "an apply after the outage is active on all hosts" apply_config --wait --status-from "$fleet_status"
  end_load
  judge
  check "payments without a claim were refused as not run" [ "$(code_count 2009)" -gt 0 ]
  check "reads continued" [ "$(code_count 1000)" -gt 4000 ]
}

case_store_silent() {
  begin_load 10
  sleep 2
  store_control outage=2
  sleep 6
  store_control outage=0
  end_load
  judge
  check "no request needed the store" [ "$(code_count 1000)" -gt 4000 ]
}

case_lost_reply() {
  store_control lose_replies=1
  sed -i 's/lookup_ttl_ms: 2000/lookup_ttl_ms: 1800/' "$FLEET_DIR/config.yaml"
  check "an apply whose replies are lost is settled as accepted" apply_config --wait --status-from "$fleet_status"
  begin_load 8 --idempotency-keys
  sleep 1
  store_control lose_replies=20
  end_load
  judge
}

case_stop_host() {
  begin_load 10
  sleep 2
  local pid="${HOST_PIDS[2.1]}"
  kill -TERM "$pid"
  check "the stopped host exits with 0" wait "$pid"
  end_load
  judge
  check_no_cut
  grep -o 'event=host-drained.*' "$FLEET_DIR/host-2.1.log" | sed 's/^/  /'
}

# If the zone leader stops too, callers learn of the stop late, so look-ups in this case outlive their TTL.
case_stop_host_late_callers() {
  begin_load 14 --lookup-overuse-ms 4000
  sleep 2
  kill -TERM "${HOST_PIDS[5.1]}"
  check "the stopped host exits with 0" wait "${HOST_PIDS[5.1]}"
  end_load
  judge
  check_no_cut
}

case_stop_half_zone() {
  begin_load 12
  sleep 2
  kill -TERM "${HOST_PIDS[5.1]}" "${HOST_PIDS[5.2]}"
  check "the first stopped host exits with 0" wait "${HOST_PIDS[5.1]}"
  check "the second stopped host exits with 0" wait "${HOST_PIDS[5.2]}"
  end_load
  judge
  check_no_cut
}

case_stop_host_without_store() {
  begin_load 24
  store_control outage=2
  sleep 11
  local pid="${HOST_PIDS[2.1]}"
  kill -TERM "$pid"
  check "the stopped host exits with 0" wait "$pid"
  end_load
  judge
  check_no_cut
  grep -o 'event=host-drained.*' "$FLEET_DIR/host-2.1.log" | sed 's/^/  /'
}

case_drain_host() {
  local host="127.$FLEET_NET.1.2:8080"
  begin_load 12
  sleep 1
  "$FLEET_BIN/citronloft" drain "$host" --host --file "$FLEET_DIR/config.yaml" >/dev/null
  check "the drain is accepted" apply_config --wait --status-from "$fleet_status"
  check "look-ups omit the host" wait_for 5 bash -c \
    "! curl -s 'http://127.$FLEET_NET.1.1:8080/citronloft/v1/lookup?client=10.1.0.7' | grep -q '$host'"
  check "the drained host still serves requests" bash -c "curl -s 'http://$host/citronloft/v1/lookup' | grep -q hosts"
  end_load
  judge
  check_no_cut
}

case_drain_target() {
  local target="127.$FLEET_NET.1.101:9000"
  begin_load 12
  sleep 2
  "$FLEET_BIN/citronloft" drain "$target" --file "$FLEET_DIR/config.yaml" >/dev/null
  check "the drain is accepted" apply_config
  record "{\"event\":\"drained\",\"target\":\"$target\",\"t\":$(now_ns)}"
  end_load
  judge
}

case_withdraw_key() {
  local key
  key=$(grep -o '"counter-hornby": { "key": "[^"]*' "$FLEET_DIR/teams.json" | cut -d'"' -f6)
  begin_load 12
  sleep 2
  "$FLEET_BIN/citronloft" key withdraw "$key" --file "$FLEET_DIR/config.yaml" >/dev/null
  check "the withdrawal is accepted" apply_config
  record "{\"event\":\"withdrawn\",\"key\":\"$(printf %s "$key" | sha256sum | cut -d' ' -f1)\",\"t\":$(now_ns)}"
  end_load
  judge
  check "the withdrawn key was refused" [ "$(code_count 2002)" -gt 0 ]
  check "no log holds a key" bash -c "! grep -rq clk_ '$FLEET_DIR'/*.log '$FLEET_DIR'/targets.jsonl '$FLEET_DIR'/status.json"
  check "no metric holds a key" bash -c "! curl -s http://$fleet_status/metrics | grep -q clk_"
}

case_operators_race() {
  local round accepted conflicts
  for round in 1 2 3 4 5; do
    sed "s/lookup_ttl_ms: 2000/lookup_ttl_ms: $(( 1000 + round ))/" "$FLEET_DIR/config.yaml" >"$FLEET_DIR/one.yaml"
    sed "s/lookup_ttl_ms: 2000/lookup_ttl_ms: $(( 1500 + round ))/" "$FLEET_DIR/config.yaml" >"$FLEET_DIR/two.yaml"
    for name in one two; do
      "$FLEET_BIN/citronloft" apply "$FLEET_DIR/$name.yaml" --platform "$fleet_store" --operator "$name" \
        --expect "$round" >"$FLEET_DIR/$name.txt" &
    done
    wait %- %+
    accepted=$(cat "$FLEET_DIR"/one.txt "$FLEET_DIR"/two.txt | grep -c '^accepted')
    conflicts=$(cat "$FLEET_DIR"/one.txt "$FLEET_DIR"/two.txt | grep -c 'came first')
    check "round $round: one of two applies is accepted, the other is told of the conflict" \
      [ "$accepted $conflicts" = "1 1" ]
  done
}

case_silent_target() {
  begin_load 12
  sleep 2
  target_control "127.$FLEET_NET.1.101:9000" silent=1
  target_control "127.$FLEET_NET.2.151:9000" silent=1
  end_load
  judge
}

case_lying_target() {
  begin_load 10
  sleep 2
  target_control "127.$FLEET_NET.1.101:9000" 'shed=1&report_idle=1'
  end_load
  judge
  check "fewer than 20 requests were refused with 2016" [ "$(code_count 2016)" -lt 20 ]
}

case_zone_without_targets() {
  local address
  begin_load 12
  sleep 2
  for address in $(grep -o "127\.$FLEET_NET\.4\.[0-9]*:9000" "$FLEET_DIR/config.yaml"); do
    "$FLEET_BIN/citronloft" drain "$address" --file "$FLEET_DIR/config.yaml" >/dev/null
  done
  check "the drains are accepted" apply_config
  end_load
  judge
  check "the zone's requests ran in other zones" [ "$(code_count 1000)" -gt 5000 ]
  curl -s "http://127.$FLEET_NET.4.1:8090/metrics" | grep 'spills_total' | sed 's/^/  /'
}

case_new_host_without_store() {
  store_control outage=1
  sleep 1
  start_host 2 4
  check "a new host serves while the store is down" wait_for 10 curl -sf "http://127.$FLEET_NET.2.4:8090/healthz"
  store_control outage=0
}

case_double_submit() {
  begin_load 10 --idempotency-keys --double-payments --payment-share 0.5
  sleep 2
  kill -KILL "${HOST_PIDS[1.1]}"
  sleep 1
  store_control lose_replies=30
  sleep 1
  kill -STOP "${HOST_PIDS[3.2]}"
  sleep 2
  kill -CONT "${HOST_PIDS[3.2]}"
  end_load
  judge
  check "the second submission was refused as a duplicate" [ "$(code_count 3004)" -gt 500 ]
}

case_lost_region() {
  local zone host answer
  begin_load 14
  sleep 2
  for zone in 5 6; do
    for host in 1 2 3; do
      kill -KILL "${HOST_PIDS[$zone.$host]}"
    done
  done
  end_load
  judge
  check "the other regions were served" [ "$(code_count 1000)" -gt 4000 ]
  sleep 6
  answer="$(curl -s "http://127.$FLEET_NET.1.1:8080/citronloft/v1/lookup?client=10.5.0.7" || echo "none: curl status $?")"
  echo "  answer to the look-up: $answer"
  check "callers of the lost region are shifted within the cap or told to retry" \
    grep -qE 'shift-cap-reached|auckland|christchurch' <<<"$answer"
}

case_team_over_its_rate() {
  sed -i 's/\("households-north".*"rate": \)[0-9.]*/\11500/' "$FLEET_DIR/teams.json"
  begin_load 8
  end_load
  judge
  check "more than 4000 requests were refused by the team's rate" [ "$(code_count 2005)" -gt 4000 ]
  sed -n '/^team/,/^$/p' "$FLEET_DIR/load.txt" | sed 's/^/  /'
}

run_case() {
  (
    failures=0
    FLEET_DIR="${FLEET_DIR:-}"
    [ -n "$FLEET_DIR" ] || unset FLEET_DIR
    . scripts/fleet.sh
    trap stop_fleet EXIT
    echo "case $1"
    begin_fleet || { echo "  FAILED: the fleet did not start"; exit 1; }
    "case_${1//-/_}"
    exit $(( failures > 0 ))
  )
}

all_cases=$(grep -o '^case_[a-z_]*' "$0" | cut -d_ -f2- | tr _ -)
bad=()
for name in ${*:-$all_cases}; do
  run_case "$name" || bad+=("$name")
done
if [ ${#bad[@]} -gt 0 ]; then
  echo "failed: ${bad[*]}"
  exit 1
fi
echo "all cases passed"
