#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases 6 to 10 into
# target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
rm -rf "$out"
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -I. -pthread)
programs=(review/6/foreign_entry.cc review/7/trace_request.cc
  review/9/new_template.cc review/10/frequent_repeats.cc)
jobs=()
for source in review/fleet-2/*.cc "${programs[@]}"; do
  g++ "${flags[@]}" -c "$source" -o "$out/$(basename "$source" .cc).o" &
  jobs+=($!)
done
for job in "${jobs[@]}"; do wait "$job"; done
for program in "${programs[@]}"; do
  name=$(basename "$program" .cc)
  g++ -pthread "$out"/{fleet,replica,"$name"}.o -lcrypto \
    -o "$out/$name"
done
