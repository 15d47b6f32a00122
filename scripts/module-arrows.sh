#!/usr/bin/env bash
# Usage: module-arrows.sh [--check PAGE | --write PAGE]
#
# Prints the folders of src/ and platform/ from the top to the bottom, each with those whose headers its
# sources include, so that every arrow points to a lower line. What all use (base) is left out of the lists.
# Fails if folders include each other, in which case no such order exists. --check PAGE compares the output
# with the code block of that page that follows a line with "module-arrows.sh"; --write PAGE puts it there.
set -eu -o pipefail
cd "$(git rev-parse --show-toplevel)"

# The folder of a source: src/routing/edge.cpp is of routing, src/main.cpp of main.
folder_of() {
  case $1 in
    src/main.cpp) echo main ;;
    src/*) echo "$1" | cut -d/ -f2 ;;
    *) dirname "$1" ;;
  esac
}

# FOLDER FOLDER for each include that crosses folders. Headers of platform/ are included by their bare name.
arrows() {
  local file target header
  git ls-files 'src/*.cpp' 'src/*.hpp' 'platform/*.cpp' 'platform/*.hpp' | while read -r file; do
    sed -n 's/^#include "\([^"]*\)".*/\1/p' "$file" | while read -r header; do
      for target in "src/$header" "$(dirname "$file")/$header" "platform/$header" "platform/sim/$header"; do
        if [ -f "$target" ]; then
          echo "$(folder_of "$file") $(folder_of "$target")"
          break
        fi
      done
    done
  done | awk '$1 != $2' | sort -u
}

# The folders in an order in which every arrow points downwards; of those that may come next, the first by name.
print_order() {
  awk '
    { from[$1 " " $2] = 1; folders[$1]; folders[$2] }
    END {
      for (f in folders) left++
      while (left > 0) {
        next_one = ""
        for (f in folders) {
          used = 0
          for (arrow in from) { split(arrow, ends, " "); if (ends[2] == f && ends[1] in folders) used = 1 }
          if (!used && (next_one == "" || f < next_one)) next_one = f
        }
        if (next_one == "") {
          for (f in folders) names = names " " f
          print "module-arrows: these folders include each other, or stand below such:" names > "/dev/stderr"
          exit 1
        }
        print next_one
        delete folders[next_one]; left--
      }
    }' "$1"
}

scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
arrows >"$scratch/arrows"
print_order "$scratch/arrows" >"$scratch/order"
while read -r folder; do
  used=$(awk -v f="$folder" '$1 == f && $2 != "base" { print $2 }' "$scratch/arrows" \
    | grep -nxFf - "$scratch/order" 2>/dev/null | cut -d: -f2 | paste -sd' ' || true)
  printf '%-13s%s\n' "$folder" "${used:+-> $used}" | sed 's/ *$//'
done <"$scratch/order" >"$scratch/picture"

case ${1:-} in
  --check)
    sed -n '/module-arrows\.sh/,$p' "$2" | sed -n '/^```/,/^```$/p' | sed '1d; /^```$/,$d' >"$scratch/stated"
    diff -u --label "$2" --label "the includes" "$scratch/stated" "$scratch/picture" || {
      echo "module-arrows: the picture in $2 is not that of the includes; module-arrows.sh --write $2 renews it" >&2
      exit 1
    }
    ;;
  --write)
    awk -v picture="$scratch/picture" '
      /module-arrows\.sh/ { announced = 1 }
      announced && /^```/ && !inside { print; inside = 1; while ((getline line < picture) > 0) print line; next }
      inside && /^```$/ { inside = 0; announced = 0 }
      !inside { print }' "$2" >"$scratch/page"
    cp "$scratch/page" "$2"
    ;;
  *) cat "$scratch/picture" ;;
esac
