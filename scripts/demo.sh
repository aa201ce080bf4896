#!/usr/bin/env bash
# Runs the whole system on loopback: the platform's stand-in, 3 entry instances, 4
# backend servers of unequal speed for 2 services, and a fabric that sprays packets
# over the instances. Sends requests with bodies of 1 B to 2 MiB, half of them not to
# be repeated, while one instance stops gracefully and one backend server drains.
# Prints a table and fails unless broken, doubled and misdelivered are 0.
#
# Usage: scripts/demo.sh        (or make demo)
# REQUESTS, FLOWS, RATE (requests a second) and SEED in the environment change the
# load. KEEP=1 keeps the logs.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly requests=${REQUESTS:-1200} flows=${FLOWS:-60} rate=${RATE:-120} seed=${SEED:-1}
readonly calm_seconds=2   # of load before anything leaves
readonly leave_seconds=20 # until the instance that stops gracefully has to be gone
# shellcheck source=scripts/system.sh
. scripts/system.sh

# disturb stops one instance gracefully and drains one backend server while the
# load runs. The fabric learns of the stop a second later.
disturb() {
  sleep "$calm_seconds"
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
# In the background, so that a signal to this script is handled at once.
load_all &
pid[load]=$!
disturb &
pid[disturb]=$!
verdict=0
wait "${pid[load]}" || verdict=1
wait "${pid[disturb]}" || fail "the instance or the backend server could not be told to leave"
ended entry-2 "$leave_seconds" || fail "entry-2 has not stopped $leave_seconds s after SIGTERM"
wait "${pid[entry-2]}" || fail "entry-2 stopped with status $?"
echo "entry-2 has stopped by itself"
bin/tanagerdock status -platform "http://$(address platform listen)" || true
exit "$verdict"
