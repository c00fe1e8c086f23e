#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
case_program=build-review-2/case-$(basename "$here")
[ -x "$case_program" ] || { echo "run review/build-2.sh first" >&2; exit 2; }
exec "$case_program" "$here/record.txt"
