#!/usr/bin/env bash
# Replaces a control instance that lost its disk, then kills another of the original instances.
# Confirmations must continue to succeed, and the instance that lost its disk must never take part
# in an election. docs/manual.md shows the same commands.
set -euo pipefail
. "$(dirname "$0")/e2e-lib"
start_mesh meshes/lensa.servers
confirm_mesh meshes/lensa.json

confirm_change() { # command argument: declares the change, prints its plan and confirms it
  ctl "$1" "$2" >"$run/change.txt"
  cat "$run/change.txt"
  ctl confirm "$(intent_of "$run/change.txt")" --wait | tail -1
}

refused() { # pattern command argument: the command fails with exit code 5 and a matching reason
  local rc=0
  ctl "$2" "$3" >"$run/refused.txt" 2>&1 || rc=$?
  [ "$rc" = 5 ]
  grep -q "$1" "$run/refused.txt"
}

leader=$(ctl status | sed -n 's/.*leader: \([a-z-]*\),.*/\1/p')
ctl control-instances
ctl control-instances | grep -q '3 vote, 3 of them answer, 1 more may fail'
lost=${controls[0]}
lost_name=${lost%% *}
[ "$lost_name" != "$leader" ] || { lost=${controls[1]}; lost_name=${lost%% *}; }
crash "$lost_name"
rm -r "$run/$lost_name.data"

# Two of three instances are left, so the other follower must not be removed.
for control in "${controls[@]}"; do
  name=${control%% *}
  [ "$name" = "$lost_name" ] || [ "$name" = "$leader" ] || other=$control
done
await_text() { # pattern: waits until the list of control instances matches
  for _ in $(seq 100); do
    ctl control-instances | grep -q "$1" && return 0
    sleep 0.1
  done
  ctl control-instances
  return 1
}
await_text "$lost_name .*does not answer"
refused 'no majority would be alive' remove-control "${other%% *}"
refused 'belongs to the group already' add-control "$lost_name=127.0.0.1:7000"

confirm_change remove-control "$lost_name"
ctl control-instances | grep -q '2 vote, 2 of them answer, 0 more may fail'
await "$run/$leader.jsonl" control_instances.changed

# Restarted with an empty folder under its old name, the instance is in no group and forms none.
: >"$run/$lost_name.jsonl"
# shellcheck disable=SC2086
start_control $lost --bootstrap
await "$run/$lost_name.jsonl" process.started
confirm_leave "${lost_name#control-}-portfolio-1"
if grep -E 'leader\.(election_started|elected)|agreement\.founded' "$run/$lost_name.jsonl"; then
  exit 1
fi
stop "$lost_name"

new_host
confirm_absent() { # an instance that does not run is not added: confirm ends with exit code 3
  local rc=0
  ctl add-control "control-new=$host:7000" >"$run/absent.txt"
  ctl confirm "$(intent_of "$run/absent.txt")" --wait >"$run/absent-confirm.txt" || rc=$?
  cat "$run/absent-confirm.txt"
  [ "$rc" = 3 ]
}
confirm_absent
start_control control-new "${data_centres[0]}" "$host"
control_admins+=",$host:7200"
await "$run/control-new.jsonl" process.started
confirm_change add-control "control-new=$host:7000"
ctl control-instances
ctl control-instances | grep -q '3 vote, 3 of them answer, 1 more may fail'

crash "${other%% *}"
confirm_leave "${lost_name#control-}-booking-desk-1"
ctl status
ctl history | grep -q 'Add the control instance control-new'
stop_mesh
