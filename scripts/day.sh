#!/usr/bin/env bash
# Plays an example's day on real processes: scripts/day.sh DEPLOYMENT SECONDS [FACTOR]
# Kills one model server on the way, then reports what senders got (judged by the sender) and
# what servers ran (judged by their own logs). Exit 1 if a rule was broken.
set -u
cd "$(dirname "$0")/.."
dep=${1:-}; sec=${2:-60}; factor=${3:-1}
[ -d "examples/${dep:-none}" ] || { sed -n '2,4p' "$0"; exit 2; }
bin=${DUNETURN:-build/duneturn}
rm -f run/"$dep"/log/*.ran
scripts/fleet.sh start "$dep"
scripts/fleet.sh apply "$dep" || exit 1
all() { sed -n "s/.*\"$1\": *\"\([^\"]*\)\".*/\1/p" examples/"$dep"/nodes/*.json; }
srv=$(sed -n 's/.*"name": "\([^"]*\)".*/\1/p' "examples/$dep/servers.json" | sed -n 2p)
(sleep "$((sec / 4))"; scripts/fleet.sh signal "$dep" "$srv" KILL; sleep 5; scripts/fleet.sh one "$dep" "$srv") &
"$bin" fake-sender --day "examples/$dep/day.json" --nodes "$(all sender | paste -sd,)" --duration_us "${sec}000000" --scale "$factor"
rc=$?
wait $!
# A mapping that is not Resumable may run an exchange once only.
paths=$(tr -d '\n' <"examples/$dep/config.json" | grep -o '{"name"[^}]*"Resumable": true[^}]*}' | sed 's/.*"path": "\([^"]*\)".*/\1/' | paste -sd'|')
twice=$(cat run/"$dep"/log/*.ran | awk -v ok="^(${paths:-none})\$" '$2 == "run" && $6 !~ ok { if (n[$3]++) print $3, $6 }')
echo "runs by servers: $(cat run/"$dep"/log/*.ran | grep -c ' run ')"
echo "run twice without being Resumable: $(grep -c . <<<"$twice")"
[ -z "$twice" ] || { echo "$twice" | head; rc=1; }
for o in $(all operator); do curl -s "http://$o/metrics"; done | awk '/^duneturn_(first_sends|extra_sends|migrations_ongoing|migrations_new)_total /{s[$1]+=$2} END {for (k in s) print k, s[k]}' | sort
scripts/fleet.sh stop "$dep"
exit $rc
