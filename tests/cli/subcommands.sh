#!/usr/bin/env bash
# Usage: subcommands.sh PROGRAM
#
# The command line's outside: each subcommand's help, its flags by name, exit codes. Nothing is started.
set -u
bin=$(realpath "$1")
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work" || exit 1
failures=0

# expect CODE TEXT WORD...: the program ends with CODE, and its output holds TEXT.
expect() {
  local code=$1 text=$2 output status=0
  shift 2
  output=$("$bin" "$@" 2>&1) || status=$?
  if [ "$status" = "$code" ] && grep -qF -- "$text" <<<"$output"; then return; fi
  echo "FAILED: duneturn $*: exit $status, wants $code and \"$text\" in:"
  echo "$output"
  failures=$((failures + 1))
}

expect 2 "duneturn SUBCOMMAND [flags]"
expect 0 "duneturn SUBCOMMAND [flags]" --help
expect 0 "(wire " --version
expect 2 "no such subcommand: none" none
for name in edge core platform ctl compare simulate scale check fake-server fake-sender fake-platform; do
  expect 0 "  $name" help
  expect 0 "duneturn $name" "$name" --help
  expect 2 "unknown flag --colour" "$name" --colour=red
done

# Every member of the settings file that has a flag.
node=(--node a-1 --district a --region r --peer 127.0.0.1:1 --sender 127.0.0.1:2 --operator 127.0.0.1:3
  --seeds 127.0.0.1:1)
expect 0 "the settings are sound" edge --check "${node[@]}"
expect 0 "the settings are sound" core --check "${node[@]}" --roster a-1 --seats a-1 --data "$work/data"
expect 2 "/seats: missing" core --check "${node[@]}" --roster a-1 --data "$work/data"
expect 2 "/roster: missing" core --check "${node[@]}" --data "$work/data"
expect 2 "/data: missing" core --check "${node[@]}" --roster a-1 --seats a-1
expect 2 "--workers: wants 1 to 64" edge --check "${node[@]}" --workers 65
expect 2 "--drain_us: wants 0 or more" edge --check "${node[@]}" --drain_us=-1
expect 2 "--workers: not a fitting value: many" edge --check "${node[@]}" --workers many

expect 2 "wants two operator addresses" compare 127.0.0.1:1
expect 2 "--node: " ctl status
expect 2 "no such command" ctl --node 127.0.0.1:1 paint
expect 2 "--runs wants 1 or more" simulate --runs 0
expect 2 "--world wants roster" simulate --world moon
expect 2 "want no negative number" check --depth=-1
expect 2 "fake-server: --listen" fake-server --listen nowhere
expect 2 "fake-platform: --listen" fake-platform --listen nowhere

[ $failures -eq 0 ] && echo "all ok"
[ $failures -eq 0 ]
