#!/usr/bin/env bash
# docs/settings.md matches the --help output of the programs. Also checks --version,
# --check-settings, the exit code for unknown settings, and the exit code of quetzalctl when no
# control instance can be reached.
set -euo pipefail
cd "$(dirname "$0")/../.."
diff <(scripts/settings-page "$QUETZAL_BUILD") docs/settings.md
for program in quetzal-node quetzal-control quetzalctl quetzal-timeline; do
  "$QUETZAL_BUILD/$program" --version | grep -q "^$program "
  rc=0
  "$QUETZAL_BUILD/$program" --no-such-setting 2>/dev/null || rc=$?
  [ "$rc" = 2 ]
done
QUETZAL_CONTROL=127.0.0.1:7200 "$QUETZAL_BUILD/quetzalctl" --check-settings | grep -q 'variable QUETZAL_CONTROL'
rc=0
"$QUETZAL_BUILD/quetzalctl" --control 127.0.0.1:1 --answer-limit-ms 200 status 2>/dev/null || rc=$?
[ "$rc" = 6 ]
