#!/usr/bin/env bash
# Restarts every node gracefully, one after another, while callers send orders and reads. No
# request may be lost or cut, and no order may run twice. Callers send each read once, and nodes
# never retry a read after its caller got the first byte of the answer.
set -euo pipefail
. "$(dirname "$0")/e2e-lib"
start_mesh meshes/lensa.servers
confirm_mesh meshes/lensa.json

start_load orders --method POST --path /shoots --count 1500 --concurrency 6 --rate 120 \
  --keys "shoot-$$-" --resend --counts "$(standin_addresses)" --all-done
start_load reads --path /slots/7 --count 3000 --concurrency 6 --rate 240 --all-done
for name in "${!nodes[@]}"; do
  stop "$name"
  restart_node "$name"
done
check_load orders
check_load reads
stop_mesh
