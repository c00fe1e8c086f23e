#!/usr/bin/env bash
# A request ends each backend server that runs it; the servers are started again after a second.
# Guards against a request that is sent to one server after another: once three have ended and the
# nodes have had 3 s to tell each other, at most three more may run it. Other requests are served.
set -euo pipefail
. "$(dirname "$0")/e2e-lib"
. tests/e2e/crash-lib
send_crashing_requests 12
echo "servers ended: $ended; last status $status"
[ "$ended" -ge 2 ] || { echo "no server ended" >&2; exit 1; }
[ "$ended" -le 6 ] || { echo "too many servers ended" >&2; exit 1; }
[ "$status" = 400 ] || { echo "the request is not refused" >&2; exit 1; }
for name in "${names[@]}"; do
  [ "$(get "$name" $target)" = 400 ] || { echo "$name does not refuse it" >&2; exit 1; }
  [ "$(get "$name" /galleries/other)" = 200 ] || { echo "$name refuses another" >&2; exit 1; }
done
restart_ended_servers
stop_mesh
