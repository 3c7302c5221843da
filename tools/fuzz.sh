#!/usr/bin/env bash
# Builds the fuzz targets in a separate folder and executes each one for a fixed
# number of runs with a fixed seed. RUNS sets the number of runs, an argument
# selects one target: RUNS=1000000 tools/fuzz.sh fuzz_units
# The initial corpus of a target is fuzz/seeds/TARGET, if it exists.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${FUZZ_BUILD:-build-fuzz}
runs=${RUNS:-20000}
only=${1:-fuzz_}
seconds=60 # longer than any target takes; ends one that hangs
cmake -S . -B "$build" -G Ninja -DMT_FUZZ=ON \
  -DCMAKE_CXX_COMPILER=clang++-14 >/dev/null
cmake --build "$build" ${JOBS:+-j "$JOBS"} | tail -n 1
work=$(mktemp -d "${TMPDIR:-/tmp}/marjoram-fuzz.XXXXXX")
trap 'rm -rf "$work"' EXIT
failed=0
for source in fuzz/"$only"*.cpp; do
  target=$(basename "$source" .cpp)
  corpus="$work/$target"
  mkdir "$corpus"
  [ ! -d "fuzz/seeds/$target" ] || cp "fuzz/seeds/$target"/* "$corpus"
  if timeout "$seconds" "$build/$target" "$corpus" -runs="$runs" -seed=1 \
    -max_len=4096 -timeout=10 -rss_limit_mb=1024 -artifact_prefix="$work/" \
    >"$work/$target.log" 2>&1; then
    echo "fuzz: $target runs=$runs ok"
  else
    tail -n 40 "$work/$target.log"
    echo "fuzz: $target failed"
    failed=1
  fi
done
exit "$failed"
