#!/usr/bin/env bash
# Runs the soak test for a few seconds with a fixed seed, with few gateways and
# with enough of them that they use relays. SEED, SECONDS_EACH and GATEWAYS
# override seed, duration and the numbers of gateways; SEEDS="1 2 3" runs several
# seeds in sequence.
# usage: test_soak.sh BUILD_DIR
set -euo pipefail
build=$(cd "${1:?usage: test_soak.sh BUILD_DIR}" && pwd)
seeds=${SEEDS:-${SEED:-7}}
failed=0
for seed in $seeds; do
  for gateways in ${GATEWAYS:-3 8}; do
    work=$(mktemp -d "${TMPDIR:-/tmp}/marjoram-soak.XXXXXX")
    if "$build/marjoram-soak" --build "$build" --work "$work" --seed "$seed" \
      --gateways "$gateways" --seconds "${SECONDS_EACH:-8}" \
      >"$work/soak.txt" 2>&1; then
      tail -n 1 "$work/soak.txt"
      rm -rf "$work"
    else
      grep -E 'VIOLATION|seed=' "$work/soak.txt" || tail "$work/soak.txt"
      echo "soak: seed $seed with $gateways gateways failed; logs in $work"
      failed=1
    fi
  done
done
exit "$failed"
