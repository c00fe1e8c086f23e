#!/usr/bin/env bash
# A node gets SIGTERM. Clients of its machine have two requests under way on kept connections; the
# first one ends with its deadline, the second one was answered by its server long before.
#
# Exits with 1 if a second request gets no answer though its server answered it, 0 if all get theirs,
# 2 if the case could not run. TROUBLE=0: no SIGTERM.
set -uo pipefail
cd "$(dirname "$0")/../.."
here=review/4
trouble=${TROUBLE:-1}
clients=16
. review/mesh-lib

nodes=3
for n in 1 2 3; do start_control $n; done
for n in $(seq $nodes); do start_node "$n" huvo11a; done
sleep 1
for n in $(seq $nodes); do start_server "$n" huvo11a 18 50; done
put_configuration huvo11a 6 || { echo "no configuration" >&2; exit 2; }
for n in $(seq $nodes); do await_ready "$n" || { echo "node $n is not ready" >&2; exit 2; }; done
sleep 4
target/review/pipeline $record "$(node_ip 1):8147" $clients "$run/go" 0 \
  /lohu930/first-work-6000 2600 /lohu930/second 6000 >"$run/results" &
pids[clients]=$!
sleep 1.5
touch "$run/go"
note "$clients clients of node 1 send two requests each: the first takes its server 6 s and has a deadline of
  2.6 s, the second takes 0.05 s and has one of 6 s"
sleep 0.3
if [ "$trouble" = 1 ]; then
  kill -TERM "${pids[node-1]}"
  note "node 1 gets SIGTERM"
fi
wait "${pids[clients]}"
if [ "$trouble" = 1 ]; then
  wait "${pids[node-1]}"
  note "node 1 has ended with exit code $?"
fi
ran=$(cat "$run"/server-* | grep -c 'run /lohu930/second')
note "runs of second requests, and of one before on each connection: $ran"
note "statuses of the first, of the second, clients: $(tr '\n' ';' <"$run/results")"
lost=$(awk '$1 == 504 && $2 == 0 {print $3}' "$run/results")
whole=$(awk '$2 == 200 {print $3}' "$run/results")
[ "${lost:-0}" = 0 ] || [ "$ran" -lt $((2 * clients)) ] || exit 1
[ "${whole:-0}" = $clients ] || exit 2
exit 0
