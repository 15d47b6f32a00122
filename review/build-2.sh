#!/usr/bin/env bash
# Builds the programs that the scripts of review/4 and after it start, beside the program of the deploy
# file's build: each case and its stand-ins are one program, target/review-N.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
for source in review/[4-8]/case.cpp; do
  folder=$(dirname "$source")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-$(basename "$folder")" "$source"
done
