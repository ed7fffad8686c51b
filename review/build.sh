#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
rm -rf "$out"
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -I. -pthread)
for source in review/harness/*.cc; do
  g++ "${flags[@]}" -c "$source" -o "$out/$(basename "$source" .cc).o" &
done
wait
objects=("$out"/{harness,load_generator,model_replica,plain_replica}.o)
for source in review/*/case.cc; do
  name=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" "${objects[@]}" \
    -lcrypto -o "$out/case-$name" &
done
wait
for source in review/*/case.cc; do
  test -x "$out/case-$(basename "$(dirname "$source")")"
done
