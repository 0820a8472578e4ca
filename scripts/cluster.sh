#!/usr/bin/env bash
# Starts a whole system on the loopback range: three control processes, three entry processes,
# three engine stand-ins and one service stand-in. `stop` ends the processes that `start` started.
# The processes of the product start no others, so this script does.
set -euo pipefail
cd "$(dirname "$0")/.."
run_dir="${BRIARDYKE_RUN_DIR:-run}"
bin="${BRIARDYKE_VENV:-.venv}/bin"
base_port="${BRIARDYKE_BASE_PORT:-7100}"

port() { echo "127.0.0.1:$((base_port + $1))"; }

launch() {
  local name="$1"
  shift
  "$@" > "$run_dir/$name.log" 2>&1 &
  echo "$!" > "$run_dir/$name.pid"
}

start() {
  if ls "$run_dir"/*.pid > /dev/null 2>&1; then
    echo "error: $run_dir holds pid files; run '$0 stop' first" >&2
    exit 1
  fi
  rm -rf "$run_dir"
  mkdir -p "$run_dir"
  local peers entries
  peers="$(port 1),$(port 2),$(port 3)"
  entries="$(port 21),$(port 22),$(port 23)"
  for i in 1 2 3; do
    "$bin/briardyke-control" init --instance-id "control-$i" --data-dir "$run_dir/control-$i" \
      --voters "control-1=$(port 1),control-2=$(port 2),control-3=$(port 3)" > /dev/null
    launch "control-$i" "$bin/briardyke-control" run --instance-id "control-$i" \
      --data-centre "odessa-$i" --data-dir "$run_dir/control-$i" --control-addresses "$peers" \
      --peer-listen "$(port "$i")" --http-listen "$(port $((10 + i)))"
  done
  for i in 1 2 3; do
    launch "entry-$i" "$bin/briardyke-entry" --instance-id "entry-$i" --data-centre "odessa-$i" \
      --listen "$(port $((20 + i)))" --control-addresses "$peers"
  done
  for i in 1 2 3; do
    launch "sorting-$i" "$bin/briardyke-engine" --upstream-id "sorting-$i" --data-centre "odessa-$i" \
      --listen "$(port $((30 + i)))" --entry-addresses "$entries" --capacity-bytes 40000000000 \
      --allow-faults true
  done
  launch "sales-1" "$bin/briardyke-service" --upstream-id "sales-1" --data-centre odessa-1 \
    --listen "$(port 41)" --entry-addresses "$entries"
}

stop() {
  local file
  for pattern in entry sorting sales control; do
    for file in "$run_dir/$pattern"-*.pid; do
      [ -e "$file" ] || continue
      kill -TERM "$(cat "$file")" 2> /dev/null || true
    done
    for file in "$run_dir/$pattern"-*.pid; do
      [ -e "$file" ] || continue
      while kill -0 "$(cat "$file")" 2> /dev/null; do sleep 0.1; done
      rm -f "$file"
    done
  done
}

case "${1:-}" in
  start) start ;;
  stop) stop ;;
  *)
    echo "usage: $0 start|stop" >&2
    exit 2
    ;;
esac
