#!/usr/bin/env bash
# Repeats the simulated days of seeds.txt with the users' bench program.
# A day may be a file of the repository, followed by options.
# usage: play_seeds.sh BENCH SITES_DIR...
set -euo pipefail
bench=${1:?usage: play_seeds.sh BENCH SITES_DIR...}
folders=("${@:2}")
[ "${#folders[@]}" -gt 0 ] || { echo "usage: play_seeds.sh BENCH SITES_DIR..." >&2; exit 2; }
cd "$(dirname "$0")/.."
failed=0
while IFS='|' read -r site day seed _; do
  case "$site" in '#'*|'') continue ;; esac
  site=$(echo $site) day=$(echo $day) seed=$(echo $seed)
  file=""
  for folder in "${folders[@]}"; do
    [ ! -f "$folder/$site.toml" ] || file=$folder/$site.toml
  done
  if [ -z "$file" ]; then
    echo "$site $day $seed: not simulated, no folder has $site.toml"
    failed=1
    continue
  fi
  read -ra words <<<"$day"
  options=()
  [ "$seed" = - ] || options=(--seed "$seed")
  out=$("$bench" run "$file" "${words[@]}" "${options[@]}" --why "seeds of old faults" 2>&1 || true)
  if grep -qE '^rules broken|ended by itself' <<<"$out"; then
    echo "$site $day $seed: $(grep -m1 -E '^rules broken|ended by itself' <<<"$out")"
    failed=1
  elif ! grep -q '^worth ' <<<"$out"; then
    echo "$site $day $seed: not simulated: $(tail -n 1 <<<"$out")"
    failed=1
  else
    echo "$site $day $seed: rules kept"
  fi
done <tests/seeds.txt
exit "$failed"
