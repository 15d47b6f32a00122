# What the fleet tests share; sourced with the program's path as $1 and `dep` and `ports` set:
# the deployment, and the hundred that its operators' ports begin at (17300).
bin=$(realpath "$1"); export DUNETURN=$bin
cd "$(dirname "${BASH_SOURCE[0]}")/.."
# The ports are fixed: another run on this machine goes first.
exec {lock}>"/tmp/duneturn-test-$ports.lock"
flock -w 300 "$lock" || { echo "FAILED: another run holds the ports from $ports"; exit 1; }
work=$(mktemp -d)
cp -r examples scripts "$work"; cd "$work"
trap 'scripts/fleet.sh stop $dep >/dev/null 2>&1; rm -rf "$work"' EXIT
fail() { tail -q -n 1 run/$dep/log/*.log | tail -30; cat err 2>/dev/null; echo "FAILED: $*"; exit 1; }
until_ok() { # SECONDS WHAT COMMAND…
  local n=$(( $1 * 5 )) what=$2; shift 2
  for _ in $(seq "$n"); do "$@" >/dev/null 2>&1 && { echo "ok: $what"; return 0; }; sleep 0.2; done
  fail "$what"
}
op() { echo "127.0.0.1:$((ports + $1))"; }
at() { echo "127.0.0.1:$((ports - 100 + $1))"; }
ctl() { local n=$1; shift; "$bin" ctl --node "$(op "$n")" "$@"; }
# The outcome of a command at a node: asked again under one key, which gets the first outcome,
# while there is no reply or the outcome is not known (exits 3 and 4).
outcome() { # NODE COMMAND…
  local n=$1 key=$BASHPID-$RANDOM-$RANDOM out rc; shift
  for _ in $(seq 150); do
    out=$(ctl "$n" --key "$key" "$@"); rc=$?
    [ $rc -lt 3 ] && break; sleep 0.2
  done
  [ -z "$out" ] || echo "$out"
  return $rc
}
# A sender's request: asked again, as senders do, only when it was denied and has not run.
unrun() { [ -f "$1" ] && head -1 "$1" | grep -q ' 503 ' && grep -qi '^X-Not-Executed:' "$1"; }
request() { # CURL'S ARGUMENTS…; prints the status, leaves the reply in head.txt and body
  local c
  for _ in $(seq 50); do
    rm -f head.txt
    c=$(curl -s -m 10 -D head.txt -o body -w '%{http_code}' "$@")
    unrun head.txt || break; sleep 0.2
  done
  echo "$c"
}
stream() { # FILE CURL'S ARGUMENTS…; the headers go to FILE.head
  local f=$1 rc; shift
  for _ in $(seq 50); do
    rm -f "$f.head"
    curl -sN -D "$f.head" "$@" >"$f"; rc=$?
    unrun "$f.head" || break; sleep 0.2
  done
  return $rc
}
leader() { # NODE; waits until it knows one
  local l
  for _ in $(seq 150); do
    l=$(ctl "$1" --json status | sed -n 's/.*"leader": "\(.*\)".*/\1/p')
    [ -n "$l" ] && break; sleep 0.2
  done
  echo "$l"
}
index() { sed -n "s/.*\"operator\": \"127.0.0.1:$((ports / 100))\([0-9]*\)\".*/\1/p" "examples/$dep/nodes/$1.json" | sed 's/^0//'; }
gen() { outcome "$1" --json config | sed -n 's/^  "generation": \([0-9]*\).*/\1/p'; }
ready() { curl -sf -m 10 "http://$(op "$1")/readyz"; }
sig() { scripts/fleet.sh signal $dep "$1" "$2"; }
# Gone, with its ports and its disk free: no thread is left but, at most, one not yet reaped.
gone() { local p; p=$(cat "run/$dep/pid/$1"); ! cat /proc/"$p"/task/*/stat 2>/dev/null | grep -qv '^[0-9]* (.*) Z '; }
crash() { # NAME…; all at once
  local n
  for n in "$@"; do sig "$n" KILL; done
  for n in "$@"; do
    for _ in $(seq 600); do gone "$n" && continue 2; sleep 0.05; done
    fail "$n outlives SIGKILL"
  done
}
one() { scripts/fleet.sh one $dep "$1"; }
# In a build with a sanitizer, nothing may have been found.
stop() {
  scripts/fleet.sh stop $dep >/dev/null
  grep -l "Sanitizer\|runtime error" run/$dep/log/*.log || return 0
  grep -h -A12 "Sanitizer\|runtime error" run/$dep/log/*.log | head -60; fail "a sanitizer found something"
}
