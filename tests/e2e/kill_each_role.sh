#!/usr/bin/env bash
# Kills the leader, a node and a backend server in turn under load. No order may run twice, and
# none may be reported done without having run. The outcome of orders in flight may stay unknown.
set -euo pipefail
. "$(dirname "$0")/e2e-lib"
start_mesh meshes/lensa.servers
confirm_mesh meshes/lensa.json

start_load orders --method POST --path /shoots --count 1200 --concurrency 6 --rate 120 \
  --keys "shoot-$$-" --resend --resend-limit 40 --counts "$(standin_addresses)"
sleep 1
leader=$(ctl status | sed -n 's/.*leader: \([a-z-]*\),.*/\1/p')
crash "$leader"
for control in "${controls[@]}"; do
  # shellcheck disable=SC2086
  [ "${control%% *}" != "$leader" ] || start_control $control
done
sleep 1
crash bole-booking-desk-1
restart_node bole-booking-desk-1
sleep 1
crash standin-kirkos-booking-desk-1
# shellcheck disable=SC2086
start_standin standin-kirkos-booking-desk-1 ${standins[kirkos-booking-desk-1]}
check_load orders
confirm_leave yeka-portfolio-1
stop_mesh
