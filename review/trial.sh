#!/usr/bin/env bash
# Runs a trial by its name; TROUBLE=0 leaves out the disruption. Exits with 1 if
# the rule was broken, 0 if it held, 2 if the trial could not run.
set -uo pipefail
name=${1:?usage: run.sh NAME}
here=$(cd "$(dirname "$0")" && pwd)
program="$here/$name"
target="${TARGET:-$here/../target}"
if [ ! -x "$program" ] || [ ! -x "$target/marjoram-gatewayd" ]; then
  echo "build the deploy file and run review/build.sh first" >&2
  exit 2
fi
work=$(mktemp -d "${TMPDIR:-/tmp}/marjoram-review.XXXXXX")
timeout 115 "$program" "$target" "$work" "$here/$name.txt"
code=$?
if [ "$code" -gt 2 ]; then code=2; fi
rm -rf "$work"
exit "$code"
