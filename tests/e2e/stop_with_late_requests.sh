#!/usr/bin/env bash
# A node stops while an order is uploaded that ends late in the stop, and while another one runs
# for longer than the stop may take. Guards against requests that are passed on too late, or end
# without an answer: the first is answered "not run" and does not run, the second "outcome unknown".
set -euo pipefail
. "$(dirname "$0")/e2e-lib"
node_flags="--caller-grace-ms 1000 --stop-limit-ms 4000"
standin_flags="--work-ms 6000"
start_mesh meshes/lensa.servers
confirm_mesh meshes/lensa.json

stopping=$(printf '%s\n' "${!nodes[@]}" | sort | head -1)
order() { # key answer file flags...: prints the status and the result
  local key=$1 answer=$2
  shift 2
  curl -s -m 10 -o "$answer" -w '%{http_code} %header{x-quetzal-result}' -X POST \
    -H "Idempotency-Key: $key" "$@" "http://${nodes[$stopping]##* }:8000/shoots" || true
}
(printf 'first half'; sleep 3; printf ' and second') |
  order "late-$$" "$run/late" -H 'Expect:' -T - >"$run/late.status" &
late=$!
order "long-$$" "$run/long" -d order >"$run/long.status" &
long=$!
sleep 0.5
kill -TERM "${pids[$stopping]}"
wait "${pids[$stopping]}" || echo "$stopping ended with exit code $?"
unset "pids[$stopping]"
wait $late $long
echo "late: $(cat "$run/late.status"); long: $(cat "$run/long.status")"
grep -q '^503 .*node_stopping' "$run/late.status"
grep -q '"not_run":true' "$run/late"
grep -q outcome_unknown "$run/long.status"
sleep 3
! grep -h "late-$$" "$run"/*.counts
stop_mesh
