#!/usr/bin/env bash
# A node acknowledges a server's leave and is killed right after it. It starts again; a heartbeat
# that the server sent before its leave arrives late. Afterwards the server gets requests again.
#
# Exits with 1 if a request ran at the server later than drainS after the acknowledgement and later
# than stabilityS after the node's start, 0 if none did, 2 if the case could not run. TROUBLE=0: the
# node is not killed; the heartbeat comes late all the same.
set -uo pipefail
cd "$(dirname "$0")/../.."
here=review/3
trouble=${TROUBLE:-1}
drain_ms=2000      # drainS
stability_ms=3000  # stabilityS
. review/mesh-lib

nodes=6
for n in 1 2 3; do start_control $n; done
for n in $(seq $nodes); do start_node "$n" huvo11a; done
sleep 1
for n in $(seq $nodes); do start_server "$n" huvo11a 18 50 "$run/leave-$n"; done
put_configuration huvo11a || { echo "no configuration" >&2; exit 2; }
callers=()
for n in $(seq $nodes); do
  await_ready "$n" || { echo "node $n is not ready" >&2; exit 2; }
  callers+=("$(node_ip "$n"):8147")
done
sleep 4
note "six nodes are ready; the server beside node 1 leaves in two seconds"
target/review/client "$run/answers" 12 16 100 2000 '/lohu930/#' "${callers[@]}" >"$run/statuses" &
pids[client]=$!
sleep 2
started=0
if [ "$trouble" = 1 ]; then
  echo "${pids[node-1]}" >"$run/leave-1.new"
  mv "$run/leave-1.new" "$run/leave-1"
  wait "${pids[node-1]}" 2>/dev/null
  note "node 1 was killed"
  sleep 0.3
  start_node 1 huvo11a
  started=$(now_ms)
  note "node 1 starts again"
else
  echo 0 >"$run/leave-1.new"
  mv "$run/leave-1.new" "$run/leave-1"
fi
wait "${pids[client]}"
note "answers by status: $(cat "$run/statuses")"
left=$(awk '$2 == "leave" && $3 == 200 {print $1}' "$run/server-1")
late=$(awk '$2 == "late-heartbeat" && $3 == 200 {print $1}' "$run/server-1")
[ -n "$left" ] && [ -n "$late" ] || { note "no acknowledgement: leave '$left', late heartbeat '$late'"; exit 2; }
echo "$left the leave of the server beside node 1 is acknowledged" >>$record
echo "$late a heartbeat of before the leave arrives, and is answered with 200" >>$record
from=$((left + drain_ms))
[ $((started + stability_ms)) -le $from ] || from=$((started + stability_ms))
awk -v from="$left" '$2 == "run" && $1 >= from' "$run/server-1" >>$record
runs=$(awk -v from=$from '$2 == "run" && $1 > from' "$run/server-1" | wc -l)
note "runs at that server more than drainS after the acknowledgement, by nodes in touch: $runs"
[ "$runs" = 0 ] || exit 1
exit 0
