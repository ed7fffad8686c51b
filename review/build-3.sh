#!/usr/bin/env bash
# Builds the programs of the cases from 11 on, with the stand-ins that they use,
# into target/review-3/. Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
options=(-std=c++20 -O1 -Wall -Wextra -I tests)
compile() { g++ "${options[@]}" -c "$1" -o "$out/$2.o"; }
compile tests/process/http_standin.cc http_standin &
compile review/rig-3/rig.cc rig &
compile review/rig-3/model_fleet.cc model_fleet &
for job in 1 2 3; do wait -n; done
for source in review/*/scenario.cc; do
  name=$(basename "$(dirname "$source")")
  g++ "${options[@]}" "$source" "$out"/{model_fleet,rig,http_standin}.o \
    -o "$out/case-$name" -pthread -lcrypto
done
