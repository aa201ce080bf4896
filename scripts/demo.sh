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
readonly ready_seconds=10 # until a program says that it is ready
readonly stop_seconds=5   # until a program that was told to stop is killed
readonly calm_seconds=2   # of load before anything leaves
readonly leave_seconds=20 # until the instance that stops gracefully has to be gone

work=$(mktemp -d)
declare -A pid

# stop_all ends every program that still runs, by its process id.
stop_all() {
  local name
  for name in "${!pid[@]}"; do kill -TERM "${pid[$name]}" 2>/dev/null || true; done
  for name in "${!pid[@]}"; do
    ended "$name" "$stop_seconds" || kill -KILL "${pid[$name]}" 2>/dev/null || true
    wait "${pid[$name]}" 2>/dev/null || true
  done
  if [ -n "${KEEP:-}" ]; then echo "logs: $work" >&2; else rm -rf "$work"; fi
}
trap stop_all EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

fail() {
  echo "demo: $*" >&2
  exit 1
}

# ended NAME SECONDS waits until a program has ended.
ended() {
  local tries=$(($2 * 20))
  while kill -0 "${pid[$1]}" 2>/dev/null; do
    ((tries-- > 0)) || return 1
    sleep 0.05
  done
}

# start NAME COMMAND... starts a program and waits until it is ready.
start() {
  local name=$1 tries=$((ready_seconds * 20))
  shift
  : >"$work/$name.out"
  "$@" >>"$work/$name.out" 2>"$work/$name.log" &
  pid[$name]=$!
  until grep -q '^ready ' "$work/$name.out"; do
    if ! kill -0 "${pid[$name]}" 2>/dev/null || ((tries-- <= 0)); then
      tail -n 20 "$work/$name.log" >&2
      fail "$name is not ready: $*"
    fi
    sleep 0.05
  done
}

# address NAME KEY prints an address that a program said it listens on.
address() {
  sed -n "s/^ready \(.* \)\{0,1\}$2=\([^ ]*\).*/\2/p" "$work/$1.out"
}

# put ADDRESS PATH BODY makes one HTTP call.
put() {
  local status
  exec 3<>"/dev/tcp/${1%:*}/${1##*:}"
  printf 'PUT %s HTTP/1.1\r\nHost: demo\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' "$2" "${#3}" "$3" >&3
  read -r _ status _ <&3
  exec 3>&- 3<&-
  [ "$status" = 200 ] || fail "PUT http://$1$2: status $status"
}

# entry NAME starts an entry instance with the example's settings.
entry() {
  sed -e "s/^name: .*/name: $1/" -e "s|^platform: .*|platform: http://$(address platform listen)|" \
    examples/entry.yaml >"$work/$1.yaml"
  start "$1" bin/tanagerdock-entry -settings "$work/$1.yaml"
}

# backend NAME SERVICE SPEED starts a backend server and copies its example record
# with the address it picked.
backend() {
  start "$1" bin/tanagerdock-standin backend -host "$2.example" -slots 2 -speed "$3"
  sed "s/10\.1\.0\.[0-9]*:8080/$(address "$1" listen)/" "examples/records/$1.yaml" >"$work/records/$1.yaml"
}

apply() {
  bin/tanagerdock apply -platform "http://$(address platform listen)" "$@" >>"$work/apply.log"
}

start_all() {
  mkdir "$work/records"
  cp examples/token.keys "$work"
  cp examples/records/services.yaml examples/records/rules.yaml "$work/records"
  start platform bin/tanagerdock-standin platform
  backend orders-1 orders 1
  backend orders-2 orders 3
  backend gallery-1 gallery 2
  backend gallery-2 gallery 1
  apply "$work"/records/*.yaml
  entry entry-1
  entry entry-2
  entry entry-3
  start fabric bin/tanagerdock-standin fabric -entries "$(address entry-1 packets),$(address entry-2 packets),$(address entry-3 packets)"
}

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
