#!/usr/bin/env bash
# Usage: same-behaviour.sh BASE [--short] | --pinned [PROGRAM]
#
# Shows that the program behaves as it did: the same seeds give the same simulated days (the digest of
# a day's whole trace), the same costs of the control plane (the counts of `scale`) and the same
# numbers of states (`check`).
#
# BASE       compares the present tree with the commit BASE; both are built first, BASE in build-base/,
#            where it is kept. --short: only the arguments of tests/pinned/behaviour.txt.
# --pinned   compares PROGRAM (by default build/duneturn) with what tests/pinned/behaviour.txt states. A
#            wanted change of behaviour changes that file; the lines that are printed with + go into it.
#
# Each program runs in the tree that it was built from, with that tree's examples. Prints each line
# that differs. JOBS is how many run at once (default 4); PINNED names another list. Exit codes: 0 the
# same, 1 different, 2 wrong use or a build that failed.
set -eu -o pipefail
root=$(realpath "$(dirname "$0")/..")

readonly JOBS=${JOBS:-4}
readonly PINNED=${PINNED:-$root/tests/pinned/behaviour.txt}
readonly FAULTS='--faults all --per_minute 40 --duration_us 120000000 --scale 0.5'

usage() {
  sed -n '2s/^# //p' "$0" >&2
  exit 2
}

# "ARGUMENTS | EXPECTED" of each pinned line.
pinned_lines() { grep -vE '^#|^$' "$PINNED"; }

# The arguments of the short list.
short_list() { pinned_lines | sed 's/ | .*//'; }

# The arguments of the long list: 40 simulated days, and what the short list has beside days.
long_list() {
  local seed
  for seed in $(seq 9 10); do echo "simulate --world platform-large --seed $seed"; done
  for seed in $(seq 4000 4009); do echo "simulate --world platform --seed $seed"; done
  for seed in $(seq 20 33); do echo "simulate --example examples/radar --seed $seed $FAULTS"; done
  for seed in $(seq 1 14); do
    echo "simulate --example examples/kuehlwacht --seed $seed $FAULTS --leave_limit_us 4000000"
  done
  short_list | grep -v '^simulate '
}

# The first characters of a SHA-256 of the input; nothing of an empty one.
text_digest() {
  local text
  text=$(cat)
  [ -z "$text" ] || sha256sum <<<"$text" | cut -c1-16
}

# The part of a run's output on the input that must stay: a day's digest, the digest of the counts of all
# sizes, or the numbers of a search.
essence() {
  case $1 in
    simulate) sed -n 's/.*digest \([0-9a-f]\{16\}\).*/\1/p' ;;
    scale) sed -n 's/.*"counts":\({[^}]*}\).*/\1/p' | text_digest ;;
    check) sed -n '/^[0-9]* states, /p; /^violation: /p' ;;
  esac
}

# The outcome of one line of arguments. A run that failed or printed nothing of worth says so.
outcome() {
  local program=$1 arguments=$2 output status=0 result
  # shellcheck disable=SC2086 # the arguments are words
  output=$("$program" $arguments 2>&1) || status=$?
  result=$(essence "${arguments%% *}" <<<"$output" | paste -sd' ')
  [ -n "$result" ] || result="no result: $(tail -n 1 <<<"$output")"
  [ $status -eq 0 ] || result+=" (exit $status)"
  echo "$result"
}

# Writes "ARGUMENTS | OUTCOME" of one line to a file. Input: the file, the program, its tree and the
# arguments, with tabs between.
run_line() {
  local file program tree arguments
  IFS=$'\t' read -r file program tree arguments <<<"$1"
  cd "$tree"
  echo "$arguments | $(outcome "$program" "$arguments")" >"$file"
}

# The lines for run_line: of each line of arguments on the input one run of the program.
runs_of() {
  local label=$1 program=$2 tree=$3 number=1000 arguments
  mkdir -p "$scratch/$label"
  while read -r arguments; do
    number=$((number + 1))
    printf '%s\t%s\t%s\t%s\n' "$scratch/$label/$number" "$program" "$tree" "$arguments"
  done
}

# Performs the runs on the input, JOBS at once.
# shellcheck disable=SC2016 # the inner shell expands $1
perform() { xargs -r -d '\n' -n 1 -P "$JOBS" bash -c 'run_line "$1"' run_line; }

# Builds the program of the tree $1 in the folder $2.
build_tree() {
  local tree=$1 folder=$2
  { cmake -S "$tree" -B "$folder" -G Ninja && ninja -C "$folder" -j "$JOBS" duneturn; } >"$scratch/build.log" 2>&1 || {
    tail -n 20 "$scratch/build.log" >&2
    echo "same-behaviour: the build of $tree failed" >&2
    exit 2
  }
}

# The tree of the commit $1, made where it is not there yet.
base_tree() {
  local tree=$root/build-base/$1/tree
  if [ ! -e "$tree/CMakeLists.txt" ]; then
    git -C "$root" worktree prune
    git -C "$root" worktree add --quiet --force --detach "$tree" "$1" >&2
  fi
  echo "$tree"
}

# Prints the lines that differ between two files of outcomes; exits 1 if there are any.
report() {
  local expected=$1 found=$2 different
  different=$(diff -U 0 "$expected" "$found" | grep -E '^[-+][^-+]' || true)
  if [ -n "$different" ] || [ ! -s "$found" ]; then
    echo "$different"
    echo "same-behaviour: $(grep -c '^+' <<<"$different" || true) of $(wc -l <"$found") runs differ" >&2
    exit 1
  fi
  echo "same-behaviour: $(wc -l <"$found") runs, all the same, after $SECONDS s"
}

compare_with_pinned() {
  local program
  program=$(realpath "${1:-$root/build/duneturn}")
  pinned_lines >"$scratch/expected" || {
    echo "same-behaviour: $PINNED states nothing" >&2
    exit 2
  }
  short_list | runs_of present "$program" "$root" | perform
  cat "$scratch"/present/* >"$scratch/found"
  report "$scratch/expected" "$scratch/found"
}

compare_with_base() {
  local commit list=$2 tree
  commit=$(git -C "$root" rev-parse --verify --quiet "$1^{commit}") || {
    echo "same-behaviour: no such commit: $1" >&2
    exit 2
  }
  tree=$(base_tree "$commit")
  build_tree "$tree" "$tree/build"
  build_tree "$root" "$root/build"
  echo "same-behaviour: both are built after $SECONDS s"
  "$list" >"$scratch/list"
  {
    runs_of base "$tree/build/duneturn" "$tree" <"$scratch/list"
    runs_of present "$root/build/duneturn" "$root" <"$scratch/list"
  } | perform
  cat "$scratch"/base/* >"$scratch/expected"
  cat "$scratch"/present/* >"$scratch/found"
  report "$scratch/expected" "$scratch/found"
}

scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
export -f run_line outcome essence text_digest
case ${1:-}:${2:-} in
  --pinned:*) [ $# -le 2 ] && compare_with_pinned "${2:-}" ;;
  -*:* | :*) usage ;;
  *:) compare_with_base "$1" long_list ;;
  *:--short) compare_with_base "$1" short_list ;;
  *) usage ;;
esac
