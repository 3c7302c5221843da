#!/usr/bin/env bash
# Simulates generated days: the site's first quiet day with each kind of fault
# alone, twice, and together with a store outage, an isolated zone and a crash
# of the leading process. Prints one row per day.
# usage: play_kinds.sh BENCH SITE [MODE...]
set -euo pipefail
bench=${1:?usage: play_kinds.sh BENCH SITE [MODE...]}
site=${2:?usage: play_kinds.sh BENCH SITE [MODE...]}
shift 2
modes=${*:-alone twice crowded}
work=$(mktemp -d "${TMPDIR:-/tmp}/marjoram-kinds.XXXXXX")
trap 'rm -rf "$work"' EXIT

# Faults that the site file does not list but that can occur in any deployment.
others=$(cat <<'LIST'
  { kind = "srv_crash", share = 0.2, for_s = 4.0, how = "gone" },
  { kind = "burst", x = 2.0, for_s = 6.0 },
  { kind = "give_up", share = 0.3, x = 40.0, for_s = 6.0 },
  { kind = "give_up", share = 0.3, x = 300.0, for_s = 6.0, how = "prompt" },
  { kind = "srv_grey", share = 0.2, x = 0.4, for_s = 6.0, how = "errors" },
  { kind = "srv_grey", share = 0.2, x = 0.4, for_s = 6.0, how = "shed" },
  { kind = "srv_grey", share = 0.2, x = 0.4, for_s = 6.0, how = "hang" },
  { kind = "srv_grey", share = 0.2, x = 0.4, for_s = 6.0, how = "reset" },
  { kind = "srv_grey", share = 0.2, x = 0.4, for_s = 6.0, how = "mute" },
  { kind = "srv_cut", share = 0.2, for_s = 6.0 },
  { kind = "srv_cut", share = 0.2, for_s = 6.0, how = "one_way" },
  { kind = "replace_with_reuse", share = 0.15 },
  { kind = "replace_with_reuse", share = 0.15, how = "dark" },
  { kind = "node_slow", share = 0.2, x = 5.0, for_s = 6.0 },
  { kind = "herd_kill", share = 0.6 },
  { kind = "herd_kill", share = 0.6, how = "power" },
  { kind = "hup", share = 0.3, gap_s = 3.0 },
LIST
)
planned='config_change|config_storm|release|scale_out|scale_in|roll_term|add_nodes|retire|hup'
crowd='  { at = 8.0, kind = "platform_down", for_s = 4.0, how = "silent" },
  { at = 14.0, kind = "zone_cut", for_s = 5.0, how = "drop" },
  { at = 10.0, kind = "node_kill", on = "core", count = 1, for_s = 3.0, how = "leader" },'

# The first quiet day without its faults.
base=$(awk '
  /^\[\[day\]\]/ { days++ }
  days == 1 && /^(plan|faults) = \[/ { skip = 1 }
  days == 1 && !skip { print }
  skip && /^\]/ { skip = 0 }' "$site")

write_day() { # entry, mode
  local plan="" faults="" at
  for at in $([ "$2" = twice ] && echo "5.0 17.0" || echo 9.0); do
    local line=${1/\{ /\{ at = $at, }
    if grep -qE "kind = \"($planned)\"" <<<"$1"; then
      plan+=$line$'\n'
    else
      faults+=$line$'\n'
    fi
  done
  [ "$2" != crowded ] || faults+=$crowd$'\n'
  awk -v plan="$plan" -v faults="$faults" '
    /^traffic = \[/ { printf "plan = [\n%s]\nfaults = [\n%s]\n", plan, faults }
    { print }' <<<"$base" >"$work/day.toml"
}

simulate() { # label, mode
  "$bench" run "$site" "$work/day.toml" --why "kinds of trouble: $1, $2" \
    >"$work/out.txt" 2>&1 || true
  local row rules
  row=$(awk '/^quiet-1 / { print $4, $5; exit }' "$work/out.txt")
  rules=$(grep -m1 -E '^rules broken|ended by itself|^fault' "$work/out.txt" || true)
  if [ -z "$row" ]; then
    head -n 3 "$work/out.txt" >&2
  fi
  echo "| $1 | $2 | ${row:-not simulated} | ${rules:-kept} |"
}

{ awk '/^troubles = \[/ { on = 1; next } on && /^\]/ { exit } on' "$site"
  echo "$others"; } >"$work/entries"
write_day '{ kind = "config_change", how = "idle" },' alone
simulate "config_change idle only" base
while IFS= read -r entry; do
  label=$(sed -E 's/.*kind = "([a-z_]+)".*/\1/' <<<"$entry")
  how=$(sed -nE 's/.*how = "([^"]+)".*/ \1/p' <<<"$entry")
  on=$(sed -nE 's/.*on = "([^"]+)".*/ on \1/p' <<<"$entry")
  for mode in $modes; do
    write_day "$entry" "$mode"
    simulate "$label$how$on" "$mode"
  done
done <"$work/entries"
