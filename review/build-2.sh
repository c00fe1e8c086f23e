#!/usr/bin/env bash
# Builds the cases' programs, which contain all stand-ins, into build-review-2/. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
flags=(-std=c++17 -O1 -Wall -Wextra -pthread -Ireview/harness-2)
g++ "${flags[@]}" -c review/harness-2/harness.cc -o build-review-2/harness.o
for source in review/*/case.cc; do
  name=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" build-review-2/harness.o -o "build-review-2/case-$name"
done
