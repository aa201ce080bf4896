# Functions for the other scripts in this directory. They run the whole system on
# loopback: the platform's stand-in, entry instances, backend servers, and a fabric that
# distributes packets over the instances. To be sourced in the root of the repository.
# All started programs are stopped when the script exits. KEEP=1 keeps the logs.

readonly ready_seconds=10 # within which a program must print its ready line
readonly stop_seconds=5   # between SIGTERM and SIGKILL when the script exits

work=$(mktemp -d)
declare -A pid

# stop_all stops every program that still runs, by its process id.
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
  echo "${0##*/}: $*" >&2
  exit 1
}

# ended NAME SECONDS waits until a program has ended, and fails after SECONDS.
ended() {
  local tries=$(($2 * 20))
  while kill -0 "${pid[$1]}" 2>/dev/null; do
    ((tries-- > 0)) || return 1
    sleep 0.05
  done
}

# start NAME COMMAND... starts a program and waits for its ready line.
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

# address NAME KEY prints the address that follows KEY= in a program's ready line.
address() {
  sed -n "s/^ready \(.* \)\{0,1\}$2=\([^ ]*\).*/\2/p" "$work/$1.out"
}

# put ADDRESS PATH BODY sends an HTTP PUT request and fails unless its status is 200.
put() {
  local status
  exec 3<>"/dev/tcp/${1%:*}/${1##*:}"
  printf 'PUT %s HTTP/1.1\r\nHost: script\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' "$2" "${#3}" "$3" >&3
  read -r _ status _ <&3
  exec 3>&- 3<&-
  [ "$status" = 200 ] || fail "PUT http://$1$2: status $status"
}

# entry NAME starts an entry instance with the settings in examples/entry.yaml.
entry() {
  sed -e "s/^name: .*/name: $1/" -e "s|^platform: .*|platform: http://$(address platform listen)|" \
    examples/entry.yaml >"$work/$1.yaml"
  start "$1" bin/tanagerdock-entry -settings "$work/$1.yaml"
}

# backend NAME SERVICE SPEED starts a backend server, and copies its example record with
# the address that it listens on.
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

# metric NAME KEY prints a metric of an instance.
metric() {
  local status
  status=$(address "$1" status)
  exec 3<>"/dev/tcp/${status%:*}/${status##*:}"
  printf 'GET /metrics HTTP/1.0\r\n\r\n' >&3
  sed -n "s/^$2=//p" <&3
  exec 3>&- 3<&-
}

# wait_for_peers waits until every instance knows the two others. The platform's list
# of instances is updated with a delay, so instances that start together do not find
# each other at once.
wait_for_peers() {
  local name tries=$((ready_seconds * 10))
  for name in entry-1 entry-2 entry-3; do
    until [ "$(metric "$name" join.listed)" = 2 ]; do
      ((tries-- > 0)) || fail "$name does not know the other instances"
      sleep 0.1
    done
  done
}
