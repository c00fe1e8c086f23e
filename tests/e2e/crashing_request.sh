#!/usr/bin/env bash
# A request ends each backend server that runs it; the servers are started again after a second.
# Guards against a request that is sent to one server after another: once three have ended and the
# nodes have had 3 s to tell each other, at most three more may run it. Other requests are served.
set -euo pipefail
. "$(dirname "$0")/e2e-lib"
target=/galleries/crash
standin_flags="--crash-target $target --work-ms 20"
start_mesh meshes/lensa.servers
confirm_mesh meshes/lensa.json >/dev/null
mapfile -t names < <(printf '%s\n' "${!nodes[@]}" | sort)

ended=0
restart_ended_servers() {
  local name
  for name in "${names[@]}"; do
    kill -0 "${pids[standin-$name]}" 2>/dev/null && continue
    wait "${pids[standin-$name]}" 2>/dev/null || true
    ended=$((ended + 1))
    # shellcheck disable=SC2086
    start_standin "standin-$name" ${standins[$name]}
  done
}
get() { # node target: prints the status
  curl -s -m 5 -o "$run/answer" -w '%{http_code}' "http://${nodes[$1]##* }:8000$2" || true
}

for round in $(seq 12); do
  status=$(get "${names[$((round % ${#names[@]}))]}" $target)
  sleep 1
  restart_ended_servers
done
echo "servers ended: $ended; last status $status"
[ "$ended" -ge 2 ] || { echo "no server ended" >&2; exit 1; }
[ "$ended" -le 6 ] || { echo "too many servers ended" >&2; exit 1; }
[ "$status" = 400 ] || { echo "the request is not refused" >&2; exit 1; }
for name in "${names[@]}"; do
  [ "$(get "$name" $target)" = 400 ] || { echo "$name does not refuse it" >&2; exit 1; }
  [ "$(get "$name" /galleries/other)" = 200 ] || { echo "$name refuses another" >&2; exit 1; }
done
restart_ended_servers

# An operator takes the request off the list; all nodes let it through again.
hash=$(curl -s "http://${nodes[${names[0]}]##* }:7200/v1/crashing-requests" |
  grep -oE '[0-9a-f]{16}' | head -1)
curl -s -X DELETE "http://${nodes[${names[0]}]##* }:7200/v1/crashing-requests/$hash" >/dev/null
sleep 2
[ "$(curl -s "http://${nodes[${names[3]}]##* }:7200/v1/crashing-requests")" = \
  '{"crashing_requests":[]}' ] || { echo "still on the list elsewhere" >&2; exit 1; }
stop_mesh
