#!/usr/bin/env bash
# Builds the stand-ins of the review into target/review/. It needs the packages
# of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
objects=()
pids=()
for source in review/standin/*.cpp; do
  object=target/review/$(basename "$source" .cpp).o
  objects+=("$object")
  g++ -std=c++20 -O1 -Wall -Wextra -c "$source" -o "$object" &
  pids+=($!)
done
for pid in "${pids[@]}"; do
  wait "$pid"
done
g++ "${objects[@]}" -pthread -o target/review/standin
