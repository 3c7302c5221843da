#!/usr/bin/env bash
# Runs all unit tests repeatedly, in a different order each time, next to
# processes that load the processor; keeps the output of each failed run.
# usage: repeat_tests.sh BUILD_DIR [RUNS] [BUSY_PROCESSES] [OUT_DIR]
set -euo pipefail
build=$(cd "${1:?usage: repeat_tests.sh BUILD_DIR [RUNS] [BUSY] [OUT_DIR]}" && pwd)
runs=${2:-10}
busy=${3:-16}
out=${4:-$(mktemp -d "${TMPDIR:-/tmp}/marjoram-repeat.XXXXXX")}
mkdir -p "$out"
pids=()
trap '[ "${#pids[@]}" -eq 0 ] || kill "${pids[@]}" 2>/dev/null || true' EXIT
for ((i = 0; i < busy; ++i)); do
  (while :; do :; done) &
  pids+=($!)
done
failed=0
for ((run = 1; run <= runs; ++run)); do
  if "$build/mt_tests" --order rand --rng-seed "$run" >"$out/$run.txt" 2>&1; then
    rm "$out/$run.txt"
  else
    failed=$((failed + 1))
    echo "repeat_tests: order $run failed, see $out/$run.txt"
    grep -E '^(tests|\.\./tests)/.*FAILED' "$out/$run.txt" || true
  fi
done
echo "repeat_tests: $failed of $runs runs failed next to $busy busy processes"
[ "$failed" -eq 0 ]
