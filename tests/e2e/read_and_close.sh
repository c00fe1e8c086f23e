#!/usr/bin/env bash
# Backend servers run an order and close the connection without an answer, or send only a part of
# the answer. Nodes and callers must not make such an order run twice.
set -euo pipefail
. "$(dirname "$0")/e2e-lib"
standin_flags="--close-every 5 --cut-every 7"
start_mesh meshes/lensa.servers
confirm_mesh meshes/lensa.json
start_load orders --method POST --path /shoots --count 400 --concurrency 6 \
  --keys "shoot-$$-" --resend --resend-limit 3 --counts "$(standin_addresses)"
check_load orders
grep -q '"done"' "$run/orders.out"
stop_mesh
