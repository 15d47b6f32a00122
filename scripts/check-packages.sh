#!/usr/bin/env bash
# Usage: check-packages.sh BUILD [TARGET...]
#
# Compares the declared packages with what the finished Ninja build in folder BUILD has used:
# `packages` of deploy/system.toml and packages.txt, with the target that the first builds and the
# given ones (by default the tests), so that a whole build is served by either. Each tool that a command runs or CMake has found,
# each system header that a compiler has read and each library that a link names must belong to a
# declared package, to one that it depends on, or to Debian's essential ones. A declared package
# that nothing of this needs is a fault too, so the lists stay exact.
set -eu -o pipefail
[ $# -ge 1 ] || { sed -n '2,2s/^# //p' "$0" >&2; exit 2; }
build=$(realpath "$1")
shift
extra_targets=("$@")
[ $# -gt 0 ] || extra_targets=(duneturn-tests)
source_root=$(sed -n 's/^CMAKE_HOME_DIRECTORY:INTERNAL=//p' "$build/CMakeCache.txt")
cd "$(git rev-parse --show-toplevel)"

readonly DEPLOYMENT=deploy/system.toml
readonly PACKAGES=packages.txt

scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT

faults=0
fault() {
  echo "check-packages: $*" >&2
  faults=$((faults + 1))
}

deployment_build_command() { sed -n 's/^build *= *"\(.*\)"$/\1/p' $DEPLOYMENT; }

deployment_target() { deployment_build_command | sed -n 's/.*--target \([a-z_-]*\).*/\1/p'; }

deployment_packages() { sed -n 's/^packages *= *\[\(.*\)\]$/\1/p' $DEPLOYMENT | tr -d '" ' | tr ',' '\n'; }

listed_packages() { sed 's/#.*//' $PACKAGES | tr -s ' \t' '\n' | sed '/^$/d'; }

# The file of a program: an absolute path stays, another word is looked up as a shell does.
program_path() {
  case $1 in
    /*) [ ! -x "$1" ] || echo "$1" ;;
    *) type -P -- "$1" || echo "not-installed:$1" ;;
  esac
}

# The programs in shell command lines on the input: the first word of each command, and what a
# launcher such as ccache is given to run.
programs() {
  sed 's/&&/\n/g; s/||/\n/g; s/;/\n/g' \
    | awk '{ word = 1; while ($word ~ /ccache$/) { print $word; word++ } if (NF >= word) print $word }' \
    | grep -vxE ':|cd|true|\(.*' | sort -u \
    | while read -r word; do program_path "$word"; done
}

# The programs that CMake has found when it configured the build.
configured_programs() { sed -n 's/^[A-Z0-9_]*:FILEPATH=\(\/.*\)$/\1/p' "$build/CMakeCache.txt"; }

# The files of the libraries in the link commands on the input.
linked_libraries() {
  local name file
  grep -oE '(^| )-l[A-Za-z0-9_+.-]+' | sed 's/^ *-l//' | sort -u | while read -r name; do
    file=$(c++ -print-file-name="lib$name.so")
    [ "$file" != "lib$name.so" ] || file=$(c++ -print-file-name="lib$name.a")
    case $file in
      /*) realpath -s "$file" ;;
      *) echo "not-installed:lib$name" ;;
    esac
  done
}

# The headers outside the project that the objects of the given targets were compiled from, as the
# compiler has told Ninja. An object without such a record was not built, and nothing is known of it.
system_headers() {
  ninja -C "$build" -t inputs "$@" | grep '\.o$' | sort -u >"$scratch/objects"
  ninja -C "$build" -t deps >"$scratch/deps"
  awk -v scratch="$scratch" '
    NR == FNR { object[$1] = 1; next }
    /^[^ ]/ { name = $1; sub(/:$/, "", name); wanted = name in object; delete object[name]; next }
    wanted && $1 ~ /^\// { print $1 }
    END { for (name in object) print name >(scratch "/unbuilt") }
  ' "$scratch/objects" "$scratch/deps" | grep -vF -e "$source_root/" -e "$build/" | sort -u | xargs -r realpath -s | sort -u
  if [ -s "$scratch/unbuilt" ]; then
    sed 's/^/not-built:/' "$scratch/unbuilt"
  fi
}

# Everything that the build of the given targets uses of the system, one path a line.
used_files() {
  local commands
  commands=$(ninja -C "$build" -t commands "$@")
  {
    programs <<<"$commands"
    deployment_build_command | programs
    configured_programs
    linked_libraries <<<"$commands"
    system_headers "$@"
  } | sort -u
}

# The package that owns a file, or one that the file is a link to, such as those of
# /etc/alternatives; "-" if there is none. Files below /usr may be recorded without that prefix.
owner_of() {
  local path=$1 owner='' target
  while [ -e "$path" ]; do
    owner=$(dpkg -S "$path" 2>/dev/null || dpkg -S "${path#/usr}" 2>/dev/null || true)
    [ -z "$owner" ] || break
    [ -L "$path" ] || break
    target=$(readlink "$path")
    case $target in /*) path=$target ;; *) path=$(realpath -s "$(dirname "$path")/$target") ;; esac
  done
  owner=${owner%%[:,]*}
  echo "${owner:--}"
}

# "PACKAGE FILE" for each file on the input; files that no package owns stand with "-".
owners() {
  local file
  sort -u >"$scratch/files"
  { xargs -r dpkg -S <"$scratch/files" 2>/dev/null || true; } \
    | sed -n 's/^\([^:, ]*\)[^ ]*: \(.*\)$/\1 \2/p' >"$scratch/owned"
  cat "$scratch/owned"
  awk 'NR == FNR { owned[$2] = 1; next } !($1 in owned)' "$scratch/owned" "$scratch/files" \
    | while read -r file; do echo "$(owner_of "$file") $file"; done
}

# The declared packages on the input with all that they depend on, and the essential packages with
# theirs. Of alternatives the first one that is installed counts; virtual packages do not.
installed_with() {
  awk -F '\t' '
    FILENAME == "-" { wanted[$1] = 1; next }
    { installed[$1] = 1; depends[$1] = $3; if ($2 == "yes") wanted[$1] = 1 }
    function take(name,    groups, alternatives, count, total, i, j) {
      if (name in taken || !(name in installed)) return
      taken[name] = 1
      print name
      count = split(depends[name], groups, ",")
      for (i = 1; i <= count; i++) {
        total = split(groups[i], alternatives, "|")
        for (j = 1; j <= total; j++) {
          sub(/^ +/, "", alternatives[j])
          sub(/[ :(].*/, "", alternatives[j])
          if (alternatives[j] in installed) { take(alternatives[j]); break }
        }
      }
    }
    END { for (name in wanted) take(name) }
  ' - "$scratch/installed"
}

# Compares a list of packages (a file) with the used files and their owners (a file).
# Prints the faults; returns 1 if there is any.
compare() {
  local packages=$1 used=$2
  installed_with <"$packages" >"$scratch/available"
  awk '
    NR == FNR { available[$1] = 1; next }
    $1 == "-" { print $2 " belongs to no package"; faults = 1; next }
    !($1 in available) && !($1 in told) { told[$1] = 1; print $2 " belongs to " $1 ", which is not declared"; faults = 1 }
    END { exit faults }
  ' "$scratch/available" "$used"
}

# Checks one list in both ways: everything used is declared, and without any one of the declared
# packages that would be noticed.
check_list() {
  local list=$1 packages=$2 used=$3 found package
  while read -r package; do
    dpkg-query -W "$package" >/dev/null 2>&1 || fault "$list: $package is not installed"
  done <"$packages"
  found=$(compare "$packages" "$used") || fault "$list: $found"
  sort -u -k1,1 "$used" >"$scratch/owners"
  while read -r package; do
    grep -vxF -- "$package" "$packages" >"$scratch/without" || true
    if compare "$scratch/without" "$scratch/owners" >/dev/null; then
      fault "$list: $package is declared, but the build does not need it"
    fi
  done <"$packages"
  echo "check-packages: $list: $(wc -l <"$packages") packages own or depend on what $(wc -l <"$used") files need"
}

target=$(deployment_target)
[ -n "$target" ] || fault "$DEPLOYMENT: build names no --target"
deployment_packages >"$scratch/deployment"
listed_packages >"$scratch/listed"
[ -s "$scratch/deployment" ] || fault "$DEPLOYMENT: no packages"
[ $faults -eq 0 ] || exit 1

dpkg-query -W -f '${Package}\t${Essential}\t${Pre-Depends},${Depends}\n' >"$scratch/installed"
used_files "$target" "${extra_targets[@]}" | owners >"$scratch/used"
check_list $DEPLOYMENT "$scratch/deployment" "$scratch/used"
check_list $PACKAGES "$scratch/listed" "$scratch/used"
[ $faults -eq 0 ] || exit 1
