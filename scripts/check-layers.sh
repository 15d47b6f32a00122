#!/usr/bin/env bash
# Usage: check-layers.sh
#
# Refuses an #include that goes against the layers of the sources: a folder of src/ may include itself and
# folders of the lines above its own in LAYERS, but not its neighbours on the same line. platform/ may include
# all of src/ but cli/, and itself, platform/sim/ also platform/; in src/ only the subcommands of src/cli/ include
# platform/. src/main.cpp and the tests are above all layers. There are no exceptions.
set -eu
cd "$(git rev-parse --show-toplevel)"

readonly LAYERS="base
net state
consensus quota
control storage modelcheck
membership
routing
daemon standins
sim
cli"
# Headers that the build makes of thrift/.
readonly GENERATED=' wire_types.h Peer.h '

declare -A layer # the number of each folder's line in LAYERS
number=0
while read -r folders; do
  number=$((number + 1))
  for folder in $folders; do layer[$folder]=$number; done
done <<<"$LAYERS"

faults=0
fault() {
  echo "check-layers: $*" >&2
  faults=$((faults + 1))
}

# "FILE INCLUDE" of each header in quotation marks.
includes_in() {
  git ls-files -z "$@" | xargs -r -0 grep -HoE '^#include "[^"]+"' | sed 's/:#include "/ /; s/"$//'
}

# allowed FILE INCLUDE: whether a source of src/ may include it. The header's folder must be a layer, so that a
# name without a folder, as in platform/, is refused.
allowed() {
  local folder=${1#src/} target=${2%%/*}
  folder=${folder%%/*}
  [[ $GENERATED != *" $2 "* ]] || return 0
  [ "$folder" != "$target" ] || return 0
  if [ "$folder" = cli ] && { [ -f "platform/$2" ] || [ -f "platform/sim/$2" ]; }; then return 0; fi
  [ "${layer[$target]:-99}" -lt "${layer[$folder]:-0}" ]
}

while read -r file target; do
  allowed "$file" "$target" || fault "$file includes $target, against the layers"
done < <(includes_in 'src/*/*.cpp' 'src/*/*.hpp')
while read -r file target; do
  [ ! -f "platform/sim/$target" ] || fault "$file includes $target of platform/sim/, against the layers"
done < <(includes_in ':(glob)platform/*.cpp' ':(glob)platform/*.hpp')
while read -r file target; do
  [[ $target != cli/* ]] || fault "$file includes $target, against the layers"
done < <(includes_in 'platform/*.cpp' 'platform/*.hpp')

[ $faults -eq 0 ] || exit 1
echo "check-layers: clean"
