#!/usr/bin/env bash
# Plays the days of seeds.txt again where the users' bench is at hand.
# usage: play_seeds.sh BENCH SITES_DIR [GROWN_DIR]
set -euo pipefail
bench=${1:?usage: play_seeds.sh BENCH SITES_DIR [GROWN_DIR]}
sites=${2:?usage: play_seeds.sh BENCH SITES_DIR [GROWN_DIR]}
grown=${3:-$sites}
cd "$(dirname "$0")/.."
failed=0
while IFS='|' read -r site day seed _; do
  case "$site" in '#'*|'') continue ;; esac
  site=$(echo $site) day=$(echo $day) seed=$(echo $seed)
  file=$sites/$site.toml
  [ -f "$file" ] || file=$grown/$site.toml
  options=()
  [ "$seed" = - ] || options=(--seed "$seed")
  out=$("$bench" run "$file" "$day" "${options[@]}" --why "seeds of old faults" 2>&1 || true)
  if grep -qE '^rules broken|ended by itself' <<<"$out"; then
    echo "$site $day $seed: $(grep -m1 -E '^rules broken|ended by itself' <<<"$out")"
    failed=1
  else
    echo "$site $day $seed: rules kept"
  fi
done <tests/seeds.txt
exit "$failed"
