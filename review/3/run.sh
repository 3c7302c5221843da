#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves out the disruption. Exits with 1 if the rule
# was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
program="$here/case"
target="${TARGET:-$here/../../target}"
if [ ! -x "$program" ] || [ ! -x "$target/marjoram-gatewayd" ]; then
  echo "build the deploy file and run review/build.sh first" >&2
  exit 2
fi
work=$(mktemp -d "${TMPDIR:-/tmp}/marjoram-review.XXXXXX")
timeout 115 "$program" "$target" "$work" "$here/record.txt"
code=$?
if [ "$code" -gt 2 ]; then code=2; fi
if [ -n "${KEEP:-}" ]; then echo "logs: $work"; else rm -rf "$work"; fi
exit "$code"
