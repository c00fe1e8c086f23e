#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review/. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standins/*.cc; do
  g++ -std=c++17 -O2 -Wall -Wextra -pthread -o "target/review/$(basename "$source" .cc)" "$source"
done
