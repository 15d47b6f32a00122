#!/usr/bin/env bash
# Many simulated days, beyond what CI holds: scripts/sweep.sh DEPLOYMENT FIRST LAST PER_MINUTE [SCALE]
# Prints how many broke a rule, and each broken one; exit 1 if there was any.
# The standing runs: 1 to 500 of each deployment at 20, 60 and 90 faults a minute.
set -u
cd "$(dirname "$0")/.."
dep=${1:-}; a=${2:-1}; b=${3:-500}; pm=${4:-60}; sc=${5:-0.5}
[ -d "examples/${dep:-none}" ] || { sed -n '2,4p' "$0"; exit 2; }
bin=${DUNETURN:-build/duneturn}; ll=5000000; [ "$dep" = kuehlwacht ] && ll=4000000
out=$(mktemp -d); trap 'rm -rf "$out"' EXIT
seq "$a" "$b" | xargs -P "$(nproc)" -I{} sh -c "$bin simulate --example examples/$dep --seed {} --runs 1 \
  --faults all --per_minute $pm --duration_us 120000000 --scale $sc --leave_limit_us $ll >$out/{} 2>&1; true"
cat "$out"/* | grep '^seed' | grep -v 'rules broken' | cut -c1-200 | sort -u | awk '!s[$2 $3 $4 $5 $6]++'
cat "$out"/* | awk '/rules broken/ {n++; if ($3 > 0) b++} END {print n, "days,", b + 0, "broken"; exit b > 0}'
