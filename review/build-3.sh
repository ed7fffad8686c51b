#!/usr/bin/env bash
# Builds the programs of the cases from 11 on, with the stand-ins that they use,
# into target/review-3/. Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
options=(-std=c++20 -O1 -Wall -Wextra -I tests)
g++ "${options[@]}" -c tests/process/http_standin.cc -o "$out/http_standin.o" &
g++ "${options[@]}" -c review/rig-3/rig.cc -o "$out/rig.o" &
wait -n
wait -n
for source in review/*/scenario.cc; do
  name=$(basename "$(dirname "$source")")
  g++ "${options[@]}" "$source" "$out/rig.o" "$out/http_standin.o" \
    -o "$out/case-$name" -pthread
done
