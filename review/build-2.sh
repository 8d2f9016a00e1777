#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review into target/review-2. Run
# it after the build of deploy/system.toml; it needs the packages named there.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
g++ -std=c++20 -O1 -c review/rig_2/rig.cpp -o "$out/rig.o"
for folder in review/6 review/7 review/8 review/9 review/10; do
  [ -f "$folder/case.cpp" ] || continue
  g++ -std=c++20 -O1 "$folder/case.cpp" "$out/rig.o" -pthread \
    -o "$out/case-$(basename "$folder")"
done
