#!/usr/bin/env bash
# Short runs of tests/soak/soak: one fixed seed, then every seed of seeds.txt, which once failed.
set -euo pipefail
cd "$(dirname "$0")/../.."
seconds=12
tests/soak/soak 20261204 "$seconds"
{ grep -v '^#' tests/soak/seeds.txt || true; } | while read -r seed _; do tests/soak/soak "$seed" "$seconds"; done
