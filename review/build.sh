#!/usr/bin/env bash
# Builds the programs that the scripts under review/ start, into
# target/review/. Needs the packages of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
options=(-std=c++20 -O1 -Isrc -Ireview/stand_ins)
g++ "${options[@]}" -c review/stand_ins/fleet.cpp -o target/review/fleet.o
for source in review/stand_ins/*_case.cpp; do
  g++ "${options[@]}" "$source" target/review/fleet.o -pthread \
    -o "target/review/$(basename "$source" .cpp)"
done
