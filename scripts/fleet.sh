#!/usr/bin/env bash
# Runs an example fleet on this machine: its nodes, fake servers and fake platform.
#   scripts/fleet.sh start DEPLOYMENT     twelve nodes, the servers, the platform
#   scripts/fleet.sh apply DEPLOYMENT     waits until the fleet is founded, applies config.json
#   scripts/fleet.sh stop DEPLOYMENT      ends them, by their ids, and waits
#   scripts/fleet.sh one DEPLOYMENT NAME  starts one node or server again
#   scripts/fleet.sh signal DEPLOYMENT NAME SIGNAL
# DEPLOYMENT is a folder under examples/. DUNETURN names the program (build/duneturn).
# State is kept under run/DEPLOYMENT; `start` begins with what is there.
set -u
cd "$(dirname "$0")/.."
act=${1:-}; dep=${2:-}
bin=${DUNETURN:-build/duneturn}
ex=examples/$dep; run=run/$dep
[ -n "$dep" ] && [ -d "$ex" ] || { sed -n '2,9p' "$0"; exit 2; }
mkdir -p "$run/data" "$run/log" "$run/pid"

field() { sed -n "s/.*\"$2\": *\"\([^\"]*\)\".*/\1/p" "$1" | head -1; }
spawn() { # NAME COMMAND…
  local n=$1; shift
  "$@" >>"$run/log/$n.out" 2>>"$run/log/$n.log" </dev/null &
  echo $! >"$run/pid/$n"
}
node() { # NAME
  local f=$ex/nodes/$1.json role=edge
  grep -q '"data"' "$f" && role=core
  spawn "$1" "$bin" $role --settings "$f"
}
server() { # NAME [flags]
  local l; l=$(grep "\"name\": \"$1\"" "$ex/servers.json")
  local a s; a=$(sed 's/.*"address": "\([^"]*\)".*/\1/' <<<"$l"); s=$(sed 's/.*"slots": \([0-9]*\).*/\1/' <<<"$l")
  local n=$1; shift
  spawn "$n" "$bin" fake-server --listen "$a" --name "$n" --slots "$s" --log "$run/log/$n.ran" "$@"
}
servers() { sed -n 's/.*"name": "\([^"]*\)".*/\1/p' "$ex/servers.json"; }
nodes() { ls "$ex/nodes" | sed 's/\.json$//'; }
operators() { for n in $(nodes); do field "$ex/nodes/$n.json" operator; done; }
first() { operators | head -1; }

case $act in
start)
  for n in $(nodes); do node "$n"; done
  for s in $(servers); do server "$s"; done
  spawn platform "$bin" fake-platform --servers "$ex/servers.json" --nodes "$(operators | paste -sd,)" --listen "${PLATFORM:-127.0.0.1:$(( $(first | sed 's/.*://') + 199 ))}"
  echo "started $(ls "$run/pid" | wc -l) processes; logs in $run/log" ;;
apply)
  for i in $(seq 1 150); do
    "$bin" ctl --node "$(first)" config >/dev/null 2>&1 && break
    sleep 0.2
  done
  "$bin" ctl --node "$(first)" apply "$ex/config.json" ;;
one)
  if [ -f "$ex/nodes/$3.json" ]; then node "$3"; else s=$3; shift 3; server "$s" "$@"; fi ;;
signal)
  kill -"$4" "$(cat "$run/pid/$3")" ;;
stop)
  for p in "$run"/pid/*; do [ -f "$p" ] && kill -TERM "$(cat "$p")" 2>/dev/null; done
  for i in $(seq 1 150); do
    left=0
    for p in "$run"/pid/*; do [ -f "$p" ] && kill -0 "$(cat "$p")" 2>/dev/null && left=1; done
    [ $left = 0 ] && break
    sleep 0.1
  done
  for p in "$run"/pid/*; do [ -f "$p" ] && kill -KILL "$(cat "$p")" 2>/dev/null; rm -f "$p"; done
  echo "stopped" ;;
*) sed -n '2,9p' "$0"; exit 2 ;;
esac
