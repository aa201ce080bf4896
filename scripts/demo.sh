#!/usr/bin/env bash
# Runs the whole system on loopback: the platform's stand-in, 3 entry instances, 4
# backend servers of unequal speed for 2 services, and a fabric that distributes
# packets over the instances. Sends requests with bodies of 1 B to 2 MiB, half of which
# must not be repeated, while one instance stops gracefully and one backend server drains.
# Prints a table and fails unless broken, doubled, misdelivered and falsely refused
# requests are 0.
#
# Usage: scripts/demo.sh        (or make demo)
# The environment variables REQUESTS, FLOWS, RATE (requests per second) and SEED change
# the load. KEEP=1 keeps the logs.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly requests=${REQUESTS:-1200} flows=${FLOWS:-60} rate=${RATE:-120} seed=${SEED:-1}
readonly warmup_seconds=2 # load time before the instance stops and the backend server drains
readonly stop_timeout=20  # seconds within which the instance must have ended after SIGTERM
# shellcheck source=scripts/system.sh
. scripts/system.sh

# disturb stops one instance gracefully and drains one backend server while the
# load runs. The fabric goes on sending packets to the instance for another second.
disturb() {
  sleep "$warmup_seconds"
  echo "entry-2 stops gracefully"
  kill -TERM "${pid[entry-2]}"
  sleep 1
  put "$(address fabric control)" /entries "[\"$(address entry-1 packets)\",\"$(address entry-3 packets)\"]"
  sleep 1
  echo "gallery-1 drains"
  sed 's/state: active/state: draining/' "$work/records/gallery-1.yaml" >"$work/draining.yaml"
  apply "$work/draining.yaml"
  put "$(address gallery-1 control)" /fault '{"drain":true}'
}

# load_all runs the load and prints its table.
load_all() {
  local name ledgers=""
  for name in orders-1 orders-2 gallery-1 gallery-2; do ledgers+=,$(address "$name" control); done
  exec bin/tanagerdock load -fabric "$(address fabric listen)" -service orders=orders.example,gallery=gallery.example \
    -requests "$requests" -flows "$flows" -rate "$rate" -once 0.5 -sizes 1-2097152 -answers 1-262144 \
    -seed "$seed" -ledger "${ledgers#,}" -unknown -1
}

make --no-print-directory build
start_all
echo "3 instances, 4 backend servers, $requests requests over $flows flows"
# The load runs in the background, as bash handles a signal only after a foreground
# command has ended.
load_all &
pid[load]=$!
disturb &
pid[disturb]=$!
verdict=0
wait "${pid[load]}" || verdict=1
wait "${pid[disturb]}" || fail "the instance or the backend server could not be told to leave"
ended entry-2 "$stop_timeout" || fail "entry-2 has not stopped $stop_timeout s after SIGTERM"
wait "${pid[entry-2]}" || fail "entry-2 stopped with status $?"
echo "entry-2 has stopped by itself"
bin/tanagerdock status -platform "http://$(address platform listen)" || true
exit "$verdict"
