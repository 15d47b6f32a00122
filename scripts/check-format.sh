#!/usr/bin/env bash
# Checks that every tracked C++ source is laid out by .clang-format; --fix rewrites those that are not.
# The release of clang-format is pinned, since each one lays out some things differently.
set -eu
cd "$(git rev-parse --show-toplevel)"

readonly FORMATTER=clang-format-14

mode=(--dry-run -Werror)
[ "${1:-}" != --fix ] || mode=(-i)
mapfile -t sources < <(git ls-files '*.cpp' '*.hpp' '*.h')
[ ${#sources[@]} -gt 0 ] || exit 0
if ! "$FORMATTER" "${mode[@]}" "${sources[@]}"; then
  echo "check-format: some sources are not formatted; scripts/check-format.sh --fix mends them" >&2
  exit 1
fi
echo "check-format: ${#sources[@]} sources"
