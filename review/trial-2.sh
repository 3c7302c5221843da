#!/usr/bin/env bash
# Runs one case of the second review: trial-2.sh N. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run.
set -u
number=${1:?usage: trial-2.sh N}
cd "$(dirname "$0")/.."
program=target/review-2/case-$number
if [ ! -x "$program" ] || [ ! -x target/marjoram-gatewayd ]; then
  echo "not run: build the deploy file and review/build-2.sh first"
  exit 2
fi
work=$(mktemp -d)
finish()
{
  if [ -f "$work/pids" ]; then
    while read -r id; do
      # Only processes that this run started.
      if [ "$(readlink "/proc/$id/exe" 2>/dev/null)" = "$PWD/target/marjoram-gatewayd" ]; then
        kill -KILL "$id" 2>/dev/null
      fi
    done <"$work/pids"
  fi
  rm -rf "$work"
}
trap finish EXIT
timeout -k 1 118 "$program" "review/$number" "$work"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
