#!/usr/bin/env bash
# A request that crashes its servers is refused; then an operator takes it off the list of one node.
# Guards against nodes that go on refusing it.
set -euo pipefail
. "$(dirname "$0")/e2e-lib"
. tests/e2e/crash-lib
send_crashing_requests 12
[ "$status" = 400 ] || { echo "the request is not refused" >&2; exit 1; }

# An operator takes the request off the list; all nodes let it through again.
hash=$(curl -s "http://${nodes[${names[0]}]##* }:7200/v1/crashing-requests" |
  grep -oE '[0-9a-f]{16}' | head -1)
curl -s -X DELETE "http://${nodes[${names[0]}]##* }:7200/v1/crashing-requests/$hash" >/dev/null
sleep 2
[ "$(curl -s "http://${nodes[${names[3]}]##* }:7200/v1/crashing-requests")" = \
  '{"crashing_requests":[]}' ] || { echo "still on the list elsewhere" >&2; exit 1; }
stop_mesh
