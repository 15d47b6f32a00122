#!/usr/bin/env bash
# Usage: lint.sh BUILD [SOURCE...]
#
# Runs clang-tidy by .clang-tidy over the given sources, or over those that scripts/lint-sources.txt
# names, as the configured build in folder BUILD compiles them, and over their headers.
# JOBS sets how many run at once (default 8). Each finding is an error, but for functions over the
# limit of lines: those that scripts/long-functions.txt lists with their size may stay and shrink;
# a listed one that is within the limit by now must be taken out of the list. With --write-list
# the list is written anew from what was found.
set -eu -o pipefail
write_list=no
if [ "${1:-}" = --write-list ]; then
  write_list=yes
  shift
fi
[ $# -ge 1 ] || { sed -n '2s/^# //p' "$0" >&2; exit 2; }
build=$(realpath "$1")
shift
cd "$(git rev-parse --show-toplevel)"

readonly LINTER=clang-tidy-14
readonly LINTED=scripts/lint-sources.txt
readonly LONG_FUNCTIONS=scripts/long-functions.txt
readonly SIZE_CHECK=readability-function-size

scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT

# The sources to lint, the largest first, so that none of them is begun last.
sources() {
  if [ $# -gt 0 ]; then
    printf '%s\n' "$@"
    return
  fi
  sed -n 's/^ *"file": "\(.*\)",*$/\1/p' "$build/compile_commands.json" | sort -u >"$scratch/compiled"
  grep -v '^#' $LINTED | xargs -r -d '\n' git ls-files | sed "s|^|$PWD/|" | sort >"$scratch/tracked"
  comm -13 "$scratch/compiled" "$scratch/tracked" | sed 's/$/: not compiled by this build/' >&2
  comm -12 "$scratch/compiled" "$scratch/tracked" | xargs -r ls -S
}

# Lints one source. Its findings go to a file of its own; a run that ends without a verdict is one too.
lint_one() {
  local source=$1 verdict=0 output
  output="$scratch/findings/$(tr / _ <<<"$source")"
  "$LINTER" --quiet -p "$build" "$source" >"$output" 2>"$output.log" || verdict=$?
  if [ $verdict -ne 0 ] && ! grep -qE ': (error|warning): ' "$output"; then
    { echo "$source: error: $LINTER ended with $verdict"; cat "$output.log"; } >>"$output"
  fi
  rm -f "$output.log"
}

# "LINES FILE FUNCTION" for each function over the limit; a name that stands several times in a file
# has its largest size first, and a header's function counts once.
long_functions() {
  awk -v root="$PWD/" '
    index($0, "[" check) == 0 && /: (error|warning): / { pending = 0 }
    /: (error|warning): function .* exceeds recommended size/ {
      where = $1; sub(/:.*/, "", where); sub("^" root, "", where)
      name = $0; sub(/.*function \x27/, "", name); sub(/\x27 exceeds.*/, "", name)
      position = $1
      pending = 1
      next
    }
    pending && /note: [0-9]+ lines including whitespace and comments/ {
      size = $0; sub(/.*note: /, "", size); sub(/ .*/, "", size)
      if (!(position in seen)) { seen[position] = 1; print size, where, name }
      pending = 0
    }
  ' check=$SIZE_CHECK "$@" | sort -k2,2 -k3,3 -k1,1nr
}

# All findings but the function sizes, each once.
other_findings() {
  cat "$@" | grep -E ': (error|warning): ' | grep -vF "[$SIZE_CHECK" | sort -u
}

# Compares the long functions found with the list; prints the faults.
size_faults() {
  awk -v list=$LONG_FUNCTIONS '
    function key(    i, text) { text = $2; for (i = 3; i <= NF; i++) text = text " " $i; return text }
    /^#/ || !NF { next }
    FILENAME == list { listed[key(), ++times[key()]] = $1; next }
    {
      place = key(); nth = ++found[place]
      if (!((place, nth) in listed)) print place " has " $1 " lines, over the limit"
      else if ($1 > listed[place, nth]) print place " has grown from " listed[place, nth] " to " $1 " lines"
    }
    END {
      for (place in times)
        if (times[place] > found[place] + 0) print place " is within the limit by now: take it out of " list
    }
  ' $LONG_FUNCTIONS "$scratch/long"
}

mkdir "$scratch/findings"
sources "$@" >"$scratch/sources"
[ -s "$scratch/sources" ] || { echo "lint: no sources" >&2; exit 2; }
export -f lint_one
export LINTER build scratch
xargs -P "${JOBS:-8}" -I{} bash -c 'lint_one "$1"' lint_one {} <"$scratch/sources"

long_functions "$scratch"/findings/* >"$scratch/long"
if [ $write_list = yes ]; then
  {
    echo "# Functions over the limit of lines in .clang-tidy: size, file, function. Sizes may only shrink."
    sort -k1,1nr "$scratch/long"
  } >$LONG_FUNCTIONS
fi
other_findings "$scratch"/findings/* >"$scratch/other" || true
# Of single sources the whole list cannot be judged.
: >"$scratch/sizes"
if [ $# -eq 0 ]; then
  size_faults >"$scratch/sizes"
fi
cat "$scratch/other" "$scratch/sizes" >&2
echo "lint: $(wc -l <"$scratch/sources") sources, $(wc -l <"$scratch/other") findings," \
  "$(wc -l <"$scratch/long") functions over the limit of which $(wc -l <"$scratch/sizes") are not as listed;" \
  "$(git ls-files 'src/*.cpp' 'platform/*.cpp' 'tests/*.cpp' | wc -l) sources in all"
[ ! -s "$scratch/other" ] && [ ! -s "$scratch/sizes" ]
