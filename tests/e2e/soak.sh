#!/usr/bin/env bash
# A short run of the fault soak, and the seeds that ever failed.
set -euo pipefail
cd "$(dirname "$0")/../.."
seconds=12
tests/soak/soak 20261204 "$seconds"
{ grep -v '^#' tests/soak/seeds.txt || true; } | while read -r seed _; do tests/soak/soak "$seed" "$seconds"; done
