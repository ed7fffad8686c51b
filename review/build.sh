#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -I. -pthread)
for source in review/harness/*.cc; do
  g++ "${flags[@]}" -c "$source" -o "$out/$(basename "$source" .cc).o" &
done
wait
for source in review/*/case.cc; do
  name=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" "$out"/harness.o "$out"/model_replica.o "$out"/plain_replica.o \
    -lcrypto -o "$out/case-$name" &
done
wait
for source in review/*/case.cc; do
  test -x "$out/case-$(basename "$(dirname "$source")")"
done
