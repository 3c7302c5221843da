#!/usr/bin/env bash
# Writes a variant of a site file that differs in one property, and prints the
# name of the new file. The variants cover properties of deployments for which
# there is no site file.
# usage: vary_site.sh SITE VARIANT OUT_DIR
set -euo pipefail
site=${1:?usage: vary_site.sh SITE VARIANT OUT_DIR}
variant=${2:?usage: vary_site.sh SITE VARIANT OUT_DIR}
out=${3:?usage: vary_site.sh SITE VARIANT OUT_DIR}
mkdir -p "$out"
cp "$(dirname "$site")/wire.json" "$out/"
made=$out/$(basename "$site" .toml)-$variant.toml

# Adds two classes of streamed requests, one that may be resumed and one that
# may not, modelled on the first class of generations, to all callers.
add_streams() {
  awk '
    /^  \{ name = .*kind = "rollout"/ && !added {
      added = 1
      print
      line = $0
      sub(/, lot = \{[^}]*\}/, "", line)
      sub(/kind = "rollout"/, "kind = \"stream\"", line)
      sub(/, keep_s = [0-9.]+/, "", line)
      sub(/only = \[[0-9, ]*\], /, "", line)
      sub(/,? *$/, ",", line)
      sub(/name = "[^"]*"/, "name = \"live-resumed\"", line)
      print line
      sub(/live-resumed/, "live-once", line)
      sub(/resume = true/, "resume = false", line)
      print line
      next
    }
    { sub(/mix = \{ [a-z-]+ = [0-9.]+/, "&, live-resumed = 2.0, live-once = 2.0") }
    { print }' "$site"
}

# Multiplies the counts of a list of the site file: LIST TIMES [FILE]
multiply() {
  local list=$1 times=$2
  shift 2
  awk -v list="$list" -v times="$times" '
    $0 == list " = [" { inside = 1 }
    /^\]/ { inside = 0 }
    inside {
      line = ""
      rest = $0
      while (match(rest, /count = [0-9]+/)) {
        count = int(substr(rest, RSTART + 8, RLENGTH - 8) * times + 0.5)
        line = line substr(rest, 1, RSTART + 7) count
        rest = substr(rest, RSTART + RLENGTH)
      }
      $0 = line rest
    }
    { print }' "$@"
}

case "$variant" in
  streams) add_streams ;;
  no-spare) sed 's/spare = [0-9]*/spare = 0/' "$site" ;;
  slow-store)
    # A third of the rates of reads and writes.
    awk '/^(writes|reads)_per_s = / { $3 = sprintf("%.1f", $3 / 3) } { print }' \
      "$site" ;;
  unfenced) sed 's/^fenced = true/fenced = false/' "$site" ;;
  no-load) sed 's/load_header = true/load_header = false/' "$site" ;;
  at-most-once)
    # The callers' class becomes at-most-once; the class that scores texts stays
    # repeatable.
    awk '/^  \{ name = .*work_ms/ && !done && !/inner = true/ {
           done = 1
           sub(/method = "POST"/, "&, kind = \"unsafe\"")
         }
         { print }' "$site" ;;
  single-version) sed 's/pure = false/pure = true/' "$site" ;;
  few-samplers) sed -E '/model = "llm"/ s/count = [0-9]+/count = 1/g' "$site" ;;
  many-samplers) sed -E '/model = "llm"/ s/count = [0-9]+/count = 6/g' "$site" ;;
  crowd)
    # 28 times as many upstreams; the same share may load at once.
    multiply services 28 "$site" |
      awk '/^at_once = / { $3 *= 28 } { print }' ;;
  hundreds)
    # A few hundred instances in front of thousands of upstreams, for the same
    # demand; the capacity of the weight store is unchanged.
    multiply services 47 "$site" | multiply machines 4.4 ;;
  small-memory) sed -E 's/kv_tokens = [0-9]+/kv_tokens = 20000/' "$site" ;;
  *)
    echo "vary_site.sh: no variant $variant" >&2
    exit 2 ;;
esac >"$made"
echo "$made"
