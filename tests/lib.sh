# What the fleet tests share; sourced with the program's path as $1 and `dep` and `ports` set:
# the deployment, and the hundred that its operators' ports begin at (17300).
bin=$(realpath "$1"); export DUNETURN=$bin
cd "$(dirname "${BASH_SOURCE[0]}")/.."
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
leader() { ctl "$1" --json status | sed -n 's/.*"leader": "\(.*\)".*/\1/p'; }
index() { sed -n "s/.*\"operator\": \"127.0.0.1:$((ports / 100))\([0-9]*\)\".*/\1/p" "examples/$dep/nodes/$1.json" | sed 's/^0//'; }
gen() { ctl "$1" --json config | sed -n 's/^  "generation": \([0-9]*\).*/\1/p'; }
ready() { curl -sf "http://$(op "$1")/readyz"; }
sig() { scripts/fleet.sh signal $dep "$1" "$2"; }
one() { scripts/fleet.sh one $dep "$1"; }
# In a build with a sanitizer, nothing may have been found.
stop() {
  scripts/fleet.sh stop $dep >/dev/null
  grep -l "Sanitizer\|runtime error" run/$dep/log/*.log || return 0
  grep -h -A12 "Sanitizer\|runtime error" run/$dep/log/*.log | head -60; fail "a sanitizer found something"
}
