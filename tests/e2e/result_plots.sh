#!/usr/bin/env bash
# The stored results have the fields that docs/results/README.md lists. scripts/plot draws every
# value of every row as a point, rejects a row that lacks a field, and skips null.
set -euo pipefail
cd "$(dirname "$0")/../.."
run=$(mktemp -d)
trap 'rm -rf "$run"' EXIT

fields=$(sed -n 's/^| `\([a-z0-9_]*\)` |.*/\1/p' docs/results/README.md | jq -R . | jq -sc .)
[ "$(jq length <<<"$fields")" = 12 ]
rows=0
files=(docs/results/*-mesh.json)
for file in "${files[@]}"; do
  jq -e --argjson fields "$fields" '(.date | test("^[0-9]{4}-[0-9]{2}-[0-9]{2}$")) and
    (.commit | test("^[0-9a-f]{7,}$")) and ([.cores, .load] | all(type == "number")) and
    (.flags | [.changes, .idle_seconds] | all(type == "number")) and
    (.flags.sizes | type == "string") and (.rows | length > 0) and
    all(.rows[]; keys == ($fields | sort) and all(.[]; type == "number" or . == null))' \
    "$file" >/dev/null || { echo "$file does not have the documented fields" >&2; exit 1; }
  [ "$(basename "$file")" = "$(jq -r '"\(.date)-\(.commit)-mesh.json"' "$file")" ]
  rows=$((rows + $(jq '.rows | length' "$file")))
done

points() { grep -o "<use [^>]*transform='translate" "$1" | wc -l; }
expect_points() { # file points
  [ "$(points "$1")" = "$2" ] || { echo "$1 has $(points "$1") points, not $2" >&2; exit 1; }
}

# The legend adds one point for each line.
scripts/plot docs/results "$run"
expect_points "$run/convergence.svg" $((2 * (rows + ${#files[@]})))
expect_points "$run/control-bytes.svg" $((rows + ${#files[@]}))
expect_points "$run/idle-traffic.svg" $((rows + ${#files[@]}))
for name in convergence control-bytes idle-traffic; do
  expect_points "docs/results/$name.svg" "$(points "$run/$name.svg")"
done

mkdir "$run/in"
jq '.rows[0].control_bytes_per_change = null' "${files[0]}" >"$run/in/a-mesh.json"
scripts/plot "$run/in" "$run"
expect_points "$run/control-bytes.svg" "$(jq '.rows | length' "${files[0]}")"
jq 'del(.rows[0].control_bytes_per_change)' "${files[0]}" >"$run/in/a-mesh.json"
if scripts/plot "$run/in" "$run" 2>"$run/err"; then exit 1; fi
grep -q 'a row has no control_bytes_per_change' "$run/err"
