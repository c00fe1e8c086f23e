#!/usr/bin/env bash
# A second SIGTERM during the graceful stop of a control instance or a stand-in has no effect: the
# exit code is 0, and the stand-in finishes the request in flight.
set -euo pipefail
. "$(dirname "$0")/e2e-lib"

define_control_instances bole
# shellcheck disable=SC2086
start_control ${controls[0]} --bootstrap
await "$run/control-bole.jsonl" leader.elected
kill -TERM "${pids[control-bole]}"
kill -TERM "${pids[control-bole]}" 2>/dev/null || true
reap control-bole
grep -q '"event":"process.stopped"' "$run/control-bole.jsonl"

new_host
standin_flags="--work-ms 500"
start_standin standin slots "$host" 4 8
await "$run/standin.out" "$host"
curl -s -o "$run/answer" -w '%{http_code}' "http://$host:9000/slots/7" >"$run/status" &
caller=$!
sleep 0.2
kill -TERM "${pids[standin]}"
kill -TERM "${pids[standin]}"
reap standin
wait "$caller"
[ "$(cat "$run/status")" = 200 ]
