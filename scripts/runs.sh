#!/usr/bin/env bash
# Runs the whole system on loopback once for each fault, with real processes, under a
# load that checks every answer. Prints a line for each run: fault, verdict, and the
# counts of request outcomes. Fails when a request was broken, doubled, misdelivered or
# falsely refused, or when more outcomes are unknown than the fault allows.
#
# Usage: scripts/runs.sh [FAULT...]        (or make runs)
# The environment variables REQUESTS, FLOWS, RATE (requests per second) and SEED change
# the load. KEEP=1 keeps the logs.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly requests=${REQUESTS:-800} flows=${FLOWS:-40} rate=${RATE:-100} seed=${SEED:-1}
readonly warmup_seconds=2  # load time before the fault
readonly settle_seconds=10 # within which all instances must have a new configuration

# load UNKNOWN runs the load, of which at most UNKNOWN outcomes may be unknown (-1: any
# number).
load() {
  local name ledgers=""
  for name in orders-1 orders-2 gallery-1 gallery-2; do ledgers+=,$(address "$name" control); done
  bin/tanagerdock load -fabric "$(address fabric listen)" -service orders=orders.example,gallery=gallery.example \
    -requests "$requests" -flows "$flows" -rate "$rate" -once 0.5 -sizes 1-100000 -answers 1-100000 \
    -seed "$seed" -ledger "${ledgers#,}" -unknown "$1" -o values
}

# fault NAME BODY replaces the active faults of a stand-in by those in BODY (JSON).
fault() { put "$(address "$1" control)" /fault "$2"; }

# revisions prints the configuration revision that each instance has.
revisions() {
  local name
  for name in entry-1 entry-2 entry-3; do metric "$name" records.revision; done
}

# in_force REVISION waits until every instance has at least that revision, and prints
# how long it took.
in_force() {
  local began=$SECONDS tries=$((settle_seconds * 20)) name
  for name in entry-1 entry-2 entry-3; do
    until [ "$(metric "$name" records.revision)" -ge "$1" ]; do
      ((tries-- > 0)) || { echo "$name has revision $(metric "$name" records.revision), not $1"; return 1; }
      sleep 0.05
    done
  done
  echo "revision $1 in force everywhere within $((SECONDS - began + 1)) s"
}

# change QUEUE sets a field of a service that does not affect the load, its queue length,
# and prints the new revision.
change() {
  sed "s/queue: 256/queue: $1/" "$work/records/services.yaml" >"$work/change.yaml"
  bin/tanagerdock apply -force -platform "http://$(address platform listen)" "$work/change.yaml" |
    sed -n 's/.*orders .*revision //p'
}

# busiest prints the name of the instance that has sent the most answer packets.
busiest() {
  local name
  for name in entry-1 entry-2 entry-3; do echo "$(metric "$name" packets.out.answer) $name"; done | sort -rn | sed -n '1s/.* //p'
}

# Each fault is a function run_NAME that disturbs the system while the load runs.
# unknown_NAME is the number of outcomes that may be unknown: -1 is any number, and the
# default is 0.

run_none() { :; }

unknown_instance_killed=-1
run_instance_killed() { kill -KILL "${pid[$(busiest)]}"; }

unknown_instance_paused=-1
run_instance_paused() {
  local name
  name=$(busiest)
  kill -STOP "${pid[$name]}"
  sleep 4
  kill -CONT "${pid[$name]}"
}

run_instances_replaced() {
  local name
  for name in entry-1 entry-2 entry-3; do
    kill -TERM "${pid[$name]}"
    ended "$name" 20
    entry "$name"
    put "$(address fabric control)" /entries "[\"$(address entry-1 packets)\",\"$(address entry-2 packets)\",\"$(address entry-3 packets)\"]"
    sleep 1
  done
}

run_instance_joins() {
  entry entry-4
  put "$(address fabric control)" /entries "[\"$(address entry-1 packets)\",\"$(address entry-2 packets)\",\"$(address entry-3 packets)\",\"$(address entry-4 packets)\"]"
}

# The stand-in resets its connections and refuses new ones, but still serves its ledger,
# so that the load can check it.
unknown_backend_dead=-1
run_backend_dead() { fault orders-1 '{"down":true}'; }

run_backend_drained() {
  sed 's/state: active/state: draining/' "$work/records/orders-1.yaml" >"$work/draining.yaml"
  apply "$work/draining.yaml"
  fault orders-1 '{"drain":true}'
}

run_backend_drains_unannounced() { fault orders-1 '{"drain":true}'; }

run_backend_sheds() { fault orders-1 '{"shed":true}'; }

run_address_reused() { fault orders-1 '{"host":"gallery.example"}'; }

run_health_lies() { fault orders-1 '{"lie":"bad"}'; }

unknown_connections_silent=-1
run_connections_silent() { fault orders-1 '{"silent":"open"}'; }

run_platform_down() {
  fault platform '{"down":true}'
  sleep 5
  fault platform '{}'
}

run_platform_slow() { fault platform '{"slow":3000}'; }

run_list_stale() {
  fault platform '{"stale":true}'
  kill -TERM "${pid[entry-2]}"
}

run_network_poor() { fault fabric '{"loss":0.02,"duplicate":0.02,"reorder":0.05}'; }

# The loss that occurs while one of three instances is gone and the fabric still sends
# packets to it.
run_network_third_lost() { fault fabric '{"loss":0.33}'; }

# Makes one change while the platform's answers are lost after writes took effect, and
# another after an outage of the platform.
run_configuration() {
  local revision
  fault platform '{"lose":1}'
  revision=$(change 300)
  in_force "$revision"
  fault platform '{"down":true}'
  sleep 3
  fault platform '{}'
  revision=$(change 301)
  in_force "$revision"
}

# An instance that cannot reach the platform must get a change from the other instances.
run_configuration_cut() {
  fault platform '{"cut":["entry-2"]}'
  in_force "$(change 302)"
}

# run_one FAULT runs one fault on a fresh system and prints its line.
run_one() (
  # shellcheck source=scripts/system.sh
  . scripts/system.sh
  start_all
  wait_for_peers
  unknown=unknown_$1
  verdict=passed
  load "${!unknown:-0}" >"$work/load" 2>"$work/load.log" &
  loader=$!
  sleep "$warmup_seconds"
  "run_$1" >"$work/run.log" 2>&1 || verdict=failed
  wait "$loader" || verdict=failed
  echo "$1 $verdict $(grep -E '^(whole|refused[.a-z]*|unknown[.a-z]*|broken|doubled|misdelivered|false_refusals|owner_changes)=' "$work/load" | tr '\n' ' ')$(tail -n 1 "$work/run.log")"
  [ "$verdict" = passed ] || { tail -n 5 "$work/load.log" "$work/run.log" >&2; exit 1; }
)

faults=("$@")
if [ ${#faults[@]} -eq 0 ]; then mapfile -t faults < <(compgen -A function run_ | sed 's/^run_//' | grep -v '^one$'); fi
make --no-print-directory build
passed=0 failed=0
for name in "${faults[@]}"; do
  if run_one "$name"; then passed=$((passed + 1)); else failed=$((failed + 1)); fi
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
