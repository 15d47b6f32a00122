#!/usr/bin/env bash
# Checks what a compiler does not see in the tracked files:
# - no file holds a merge conflict's markers;
# - no source is longer than LINE_LIMIT, but for those in scripts/long-files.txt, which may only
#   shrink: the list states each one's present size, and nothing that is within the limit;
# - the platform's names stand in platform/ and in the tests of it only;
# - no source of the product names a deployment, region, zone, service or route of a user: what the product
#   decides must follow from what it observes, wherever it runs.
set -eu
cd "$(git rev-parse --show-toplevel)"

readonly LINE_LIMIT=600
readonly LONG_FILES=scripts/long-files.txt
readonly PLATFORM_NAMES='X-Target-Instance|X-Server-Seal|X-Attempt-Id|X-Instance-|X-Weight-Versions|X-Request-Urgency|X-Cold-Remaining-Ms|X-Prompt-Prefix|X-Token-Counts|X-Deadline-Ms|DUNETURN_CONFIG|PlatformApi|ConfigVersion|QuorumMember|InternalPorts|SeedAddrs'

# Of the deployments that the product is measured on, in examples/ or outside this repository.
readonly DEPLOYMENT_NAMES='sahel|sra-duneturn|lmwsa|k(ue|ü)hlwacht|[a-z]{2,3}-hall|punjab|sindh|bayern|rhein-main|tunis-north|sfax-south|cell-classify|urdu-advisory|tile-fetch|tile-map|excursion-report|dock-chat|probe-beat|telemetry-intake|timetable-rebuild|roster-check|crew-brief|slot-lookup|slot-desk|duneturn-(desk|pool|planners)'

faults=0
fault() {
  echo "check-tree: $*" >&2
  faults=$((faults + 1))
}

check_conflict_markers() {
  local found
  # Entries of the journal are kept as they were written; their blobs quote output of other programs.
  found=$(git grep -nIE '^(<{7}|>{7}|\|{7})( |$)' -- . ':!journal' || true)
  [ -z "$found" ] || fault "conflict markers:"$'\n'"$found"
}

# Prints the stated size of a listed file, nothing of others.
listed_size() {
  [ ! -f $LONG_FILES ] || awk -v file="$1" '$1 !~ /^#/ && $2 == file { print $1 }' $LONG_FILES
}

check_sizes() {
  local file lines stated
  while read -r file; do
    lines=$(wc -l <"$file")
    stated=$(listed_size "$file")
    if [ "$lines" -le $LINE_LIMIT ]; then
      [ -z "$stated" ] || fault "$file has $lines lines, within the limit: take it out of $LONG_FILES"
    elif [ -z "$stated" ]; then
      fault "$file has $lines lines, the limit is $LINE_LIMIT"
    elif [ "$lines" -gt "$stated" ]; then
      fault "$file has grown from $stated to $lines lines; listed files may only shrink"
    fi
  done < <(git ls-files 'src/*.cpp' 'src/*.hpp' 'platform/*.cpp' 'platform/*.hpp' 'tests/*.cpp' 'tests/*.hpp')
}

check_listed_files_exist() {
  local file
  [ -f $LONG_FILES ] || return 0
  while read -r file; do
    git ls-files --error-unmatch -- "$file" >/dev/null 2>&1 || fault "$LONG_FILES names $file, which is not there"
  done < <(awk '$1 !~ /^#/ && NF { print $2 }' $LONG_FILES)
}

check_platform_names() {
  local found
  found=$(git grep -nE "$PLATFORM_NAMES" -- src thrift tests ':!tests/*platform*' ':!tests/checks.sh' || true)
  [ -z "$found" ] || fault "the platform's names outside platform/:"$'\n'"$found"
}

check_deployment_names() {
  local found
  found=$(git grep -nIiE "$DEPLOYMENT_NAMES" -- src platform thrift || true)
  [ -z "$found" ] || fault "names of a user's deployment:"$'\n'"$found"
}

check_conflict_markers
check_sizes
check_listed_files_exist
check_platform_names
check_deployment_names
[ $faults -eq 0 ] || exit 1
echo "check-tree: clean"
