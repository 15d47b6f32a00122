#!/usr/bin/env bash
# Usage: check-docs.sh
#
# Compares the pages with the tree:
# - the names of log events in src/ and platform/ (logEvent) with the table "Log events" of
#   docs/operators.md, both ways;
# - the names of counters and gauges there with the table "Counters", both ways;
# - what README.md or a page names in backquotes: each path (src/, platform/, tests/, scripts/, docs/, thrift/,
#   deploy/, examples/; patterns too) must be tracked, each Type::member must be a name in the sources, and
#   each Suite.test a test;
# - the picture of the modules in docs/architecture.md with the includes (scripts/module-arrows.sh).
# docs/CAPACITY.md, docs/incidents.md and docs/measurements.md speak of the trees of their time, so what they
# name is not checked.
set -eu
cd "$(git rev-parse --show-toplevel)"

readonly TABLES=docs/operators.md
readonly MODULES_PAGE=docs/architecture.md
readonly DATED_PAGES='^docs/(CAPACITY|incidents|measurements)\.md$'
readonly NAME='[a-z][a-z0-9_]*'

faults=0
fault() {
  echo "check-docs: $*" >&2
  faults=$((faults + 1))
}

# All sources in one line, so that a call may be broken behind its parenthesis. Simulators and stand-ins
# count and log for themselves.
sources() {
  git ls-files -z 'src/*.cpp' 'src/*.hpp' 'platform/*.cpp' 'platform/*.hpp' ':!src/sim' ':!src/standins' \
    ':!src/modelcheck' ':!platform/sim' | xargs -0 cat | tr '\n' ' '
}

# A call may choose between names: logEvent(slow ? "disk_slow" : "disk_fast", ...).
logged_events() { sources | grep -oE 'logEvent\([^,;]*,' | grep -oE '"'"$NAME"'"' | tr -d '"' | sort -u; }

# Gauges are set by name; counters end in _total, wherever the name stands.
counted_names() {
  {
    sources | grep -oE '(counters_?|Counters|ct_?|ct2_)(\(\))?(\.|->)set\( *"'"$NAME" | grep -oE "$NAME\$"
    sources | grep -oE '"'"$NAME"'_total["{]' | grep -oE "$NAME"
  } | sort -u
}

# The names in backquotes in the first column of the table under the heading "## $1".
table_names() {
  sed -n "/^## $1\$/,/^## /p" $TABLES | sed -n 's/^| \(`[^|]*\) |.*/\1/p' | grep -oE "\`$NAME" | tr -d '`' | sort -u
}

# compare WHAT HEADING NAMES-IN-THE-SOURCES
compare() {
  local name
  for name in $(comm -23 <(echo "$3") <(table_names "$2")); do
    fault "$1 $name is missing in the table \"$2\" of $TABLES"
  done
  for name in $(comm -13 <(echo "$3") <(table_names "$2")); do
    fault "$TABLES, \"$2\": $name is no $1 of the sources"
  done
}

pages() { git ls-files README.md 'docs/*.md' | grep -vE "$DATED_PAGES"; }

# The code spans of a page, one a line, that match a pattern as a whole.
code_spans() { grep -oE '`[^`]+`' "$1" | tr -d '`' | grep -xE "$2" | sort -u; }

check_paths() {
  local page path
  for page in $(pages); do
    for path in $(set -f; code_spans "$page" '(src|platform|tests|scripts|docs|thrift|deploy|examples)/[^ ]*'); do
      [ -n "$(git ls-files -- "$path" "$path/*" | head -1)" ] || fault "$page names $path, which is not there"
    done
  done
}

check_members() {
  local page name names
  names=$(sources | grep -oE '[A-Za-z_][A-Za-z0-9_]*' | sort -u)
  names+=$'\n'$(git ls-files -z 'thrift/*' src/sim src/modelcheck platform/sim | xargs -0 -r cat | grep -oE '[A-Za-z_][A-Za-z0-9_]*' | sort -u)
  for page in $(pages); do
    for name in $(code_spans "$page" '[A-Za-z_]+(::[A-Za-z_]+)+(\(\))?' | sed 's/()$//'); do
      grep -qxF -- "${name##*::}" <<<"$names" || fault "$page names $name, which is not in the sources"
    done
  done
}

check_tests() {
  local page name tests
  tests=$(git ls-files -z 'tests/*.cpp' | xargs -0 -r cat | sed -n 's/^TEST(\([A-Za-z]*\), *\([A-Za-z0-9_]*\)).*/\1.\2/p')
  for page in $(pages); do
    for name in $(code_spans "$page" '[A-Z][A-Za-z]+\.[a-z][A-Za-z]+'); do
      grep -q "^${name%%.*}\." <<<"$tests" || continue
      grep -qxF -- "$name" <<<"$tests" || fault "$page names the test $name, which is not there"
    done
  done
}

compare "log event" "Log events" "$(logged_events)"
compare "counter" "Counters" "$(counted_names)"
check_paths
check_members
check_tests
[ ! -f $MODULES_PAGE ] || scripts/module-arrows.sh --check $MODULES_PAGE || faults=$((faults + 1))
[ $faults -eq 0 ] || exit 1
echo "check-docs: clean"
