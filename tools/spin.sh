#!/usr/bin/env bash
# Checks one Promela specification: the model must hold, and each mutant named
# on its "mutants:" line must fail. Prints the number of states explored.
set -euo pipefail
model=$(realpath "${1:?usage: spin.sh MODEL.pml}")
work=$(mktemp -d "${TMPDIR:-/tmp}/marjoram-spin.XXXXXX")
trap 'rm -rf "$work"' EXIT
cd "$work"

# explore [DEFINES]: prints "errors states"
explore() {
  rm -f pan*
  spin -a "$@" "$model" >spin.out 2>&1 || { cat spin.out >&2; exit 1; }
  gcc -O2 -w -DSAFETY -DCOLLAPSE -DVECTORSZ=4096 -o pan pan.c
  ./pan -m1000000 >pan.out 2>&1 || true
  if grep -q 'max search depth too small\|out of memory\|aborting' pan.out; then
    cat pan.out >&2
    exit 1
  fi
  awk '/errors:/ {sub(/.*errors: /, ""); errors=$1}
       /states, stored/ {states=$1}
       END {print errors, states}' pan.out
}

read -r errors states < <(explore)
echo "$(basename "$model"): errors=$errors states=$states"
[ "$errors" = 0 ] || { cat pan.out; exit 1; }
for mutant in $(sed -n 's/.*mutants: *\(.*\)/\1/p' "$model" | head -1 | tr -d '*/'); do
  read -r errors states < <(explore "-D$mutant")
  echo "  mutant $mutant: errors=$errors states=$states"
  [ "$errors" != 0 ] || { echo "mutant $mutant was not detected"; exit 1; }
done
