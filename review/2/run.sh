#!/usr/bin/env bash
# A machine of the core is replaced as planned: the new one starts first, then the old one gets
# SIGTERM and is gone for good. Later another machine of the core loses its disk right after it
# acknowledged a change. All machines are back, but the configuration cannot be read or changed.
#
# Exits with 1 if the acknowledged configuration does not come within recoverS and ten more seconds
# after the machines are back, or is another one, 0 if it comes, 2 if the case could not run.
# TROUBLE=0: no machine is replaced and no disk is lost.
set -uo pipefail
cd "$(dirname "$0")/../.."
here=review/2
trouble=${TROUBLE:-1}
recovery_s=4  # recoveryS
recover_s=15  # recoverS
. review/mesh-lib

routes=300
change() { # addresses...: one change; the state and the result go to the record
  target/review/operators "$run/state" $record $routes 1 "$@"
}
nodes=6
for n in 1 2 3; do start_control $n; done
for n in $(seq $nodes); do start_node "$n" huvo11a; done
sleep 1
for n in $(seq $nodes); do start_server "$n" huvo11a 18 50; done
all=("$net.1:8144" "$net.2:8144" "$net.3:8144")
for _ in $(seq 5); do change "${all[@]}" || { echo "the configuration cannot be changed" >&2; exit 2; }; done
for n in $(seq $nodes); do await_ready "$n" || { echo "node $n is not ready" >&2; exit 2; }; done
sleep 4

if [ "$trouble" = 1 ]; then
  start_control 4 false
  note "machine 4 of the core starts with an empty disk; it takes the place of machine 3"
  sleep $((recovery_s + 2))
  note "machine 3 gets SIGTERM"
  kill -TERM "${pids[control-3]}"
  wait "${pids[control-3]}"
  note "machine 3 has ended with exit code $?; it does not come back"
  unset "pids[control-3]"
  sleep $recovery_s
  all=("$net.1:8144" "$net.2:8144" "$net.4:8144")
fi
change "${all[@]}" || { echo "the configuration cannot be changed" >&2; exit 2; }
if [ "$trouble" = 1 ]; then
  crash control-1
  note "machine 1 loses power right after that acknowledgement, and its disk"
  rm -rf "$run/data-1"
  sleep 1.3
  start_control 1 false
  note "machine 1 is back with an empty disk"
fi
sleep $recover_s
if target/review/send GET /api/config/get - 10 "${all[@]}"; then
  note "the configuration can be read"
else
  note "no read of the configuration was answered with 200 in the ten seconds after recoverS"
  grep -h '"group\.\|agreement.replica_\|leader\.' "$run"/control-* | sort | tail -n 12 | cut -c1-300 >>$record
  exit 1
fi
change "${all[@]}"
rc=$?
note "a change and its read: exit code $rc"
exit $rc
