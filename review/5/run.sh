#!/usr/bin/env bash
# Many users look the same new page up at once; three of the service's twenty servers crash while
# they run it, and are back after three seconds. Afterwards the page is refused at all nodes.
#
# Exits with 1 if more than 5 + one in 500 of all requests were ended with a 4xx of the system's own,
# 0 if not, 2 if the case could not run. TROUBLE=0: no server crashes.
set -uo pipefail
cd "$(dirname "$0")/../.."
here=review/5
trouble=${TROUBLE:-1}
. review/mesh-lib

nodes=20
crashing=3  # 0.15 of 20
for n in 1 2 3; do start_control $n; done
for n in $(seq $nodes); do start_node "$n" huvo11a; done
sleep 1
for n in $(seq $nodes); do start_server "$n" huvo11a 18 600; done
put_configuration huvo11a || { echo "no configuration" >&2; exit 2; }
callers=()
for n in $(seq $nodes); do
  await_ready "$n" || { echo "node $n is not ready" >&2; exit 2; }
  callers+=("$(node_ip "$n"):8147")
done
sleep 4
note "$nodes nodes are ready; usual lookups for 28 s"
target/review/client "$run/usual" 40 28 200 4000 '/lohu930/item-#' "${callers[@]}" >"$run/usual-statuses" &
pids[usual]=$!
sleep 4
target/review/client "$run/page" 60 0 0 4000 /lohu930/new-page "${callers[@]}" >"$run/burst-statuses" &
pids[burst]=$!
note "60 users look /lohu930/new-page up at once"
sleep 0.3
if [ "$trouble" = 1 ]; then
  for n in $(seq $crashing); do crash "server-$n"; done
  note "$crashing servers crashed"
fi
wait "${pids[burst]}"
note "answers to the 60, by status: $(cat "$run/burst-statuses")"
sleep 2
if [ "$trouble" = 1 ]; then
  for n in $(seq $crashing); do start_server "$n" huvo11a 18 600; done
  note "they are back"
fi
sleep 8
note "the same page is looked up by 20 users for 8 s; no disruption for 8 s before"
target/review/client "$run/page" 20 8 200 4000 /lohu930/new-page "${callers[@]}" >"$run/page-statuses"
note "answers by status: $(cat "$run/page-statuses")"
wait "${pids[usual]}"
note "answers to the usual lookups, by status: $(cat "$run/usual-statuses")"
all=$(cat "$run/usual" "$run/page" | wc -l)
denied=$(cat "$run/usual" "$run/page" | awk '$3 >= 300 && $3 < 500 && $3 != 408 && $3 != 421 && $3 != 429' | wc -l)
served=$(awk '$3 == 200' "$run/usual" | wc -l)
note "$all requests in all, $denied of them denied; $((5 + all / 500)) may be"
[ "$served" -gt 100 ] || exit 2
[ "$denied" -le $((5 + all / 500)) ] || exit 1
exit 0
