#!/usr/bin/env bash
# Runs N idle control daemons on loopback, for each N given, and prints the cost
# per daemon: memory, processor time, bytes of gossip, store calls.
# usage: bench_membership.sh BUILD_DIR [N...]   (default 20 50 100)
set -euo pipefail
build=$(cd "${1:?usage: bench_membership.sh BUILD_DIR [N...]}" && pwd)
shift
counts=("${@:-}")
[ -n "${counts[0]}" ] || counts=(20 50 100)
zones=12
settle=${SETTLE:-25}
window=${WINDOW:-20}

measure() { # N
  local count=$1 run pids=() pid
  run=$(mktemp -d "${TMPDIR:-/tmp}/marjoram-members.XXXXXX")
  trap 'kill "${pids[@]}" 2>/dev/null || true; wait 2>/dev/null || true; rm -rf "$run"' RETURN
  "$build/marjoram-standin" store --port-file "$run/store.port" 2>/dev/null &
  pids+=($!)
  for _ in $(seq 200); do [ -s "$run/store.port" ] && break; sleep 0.05; done
  local store daemons=()
  store=$(cat "$run/store.port")
  for i in $(seq "$count"); do
    printf '[daemon]\ninstance = control-%s\nzone = zone-%s\nstore = http://%s\nport-file = %s\ndrain-notice = 0ms\nthreads = 1\nlog-level = warn\n' \
      "$i" "$((i % zones))" "$store" "$run/$i.port" >"$run/$i.ini"
    "$build/marjoram-controld" --settings "$run/$i.ini" 2>>"$run/log" &
    pids+=($!)
    daemons+=($!)
  done
  sleep "$settle"
  totals "${daemons[@]}" >"$run/before"
  counters "$run" "$count" >"$run/counters.before"
  sleep "$window"
  totals "${daemons[@]}" >"$run/after"
  counters "$run" "$count" >"$run/counters.after"
  awk -v n="$count" -v w="$window" -v hz="$(getconf CLK_TCK)" '
    FILENAME ~ /counters.before/ { c0[$1] = $2; next }
    FILENAME ~ /counters.after/ { c1[$1] = $2; next }
    FILENAME ~ /before/ { cpu0 = $1; next }
    { cpu1 = $1; rss = $2; pss = $3 }
    END {
      printf "daemons=%d members_seen=%.1f rss_kb=%.0f private_kb=%.0f core_percent=%.3f", n,
        c1["gossip_members"] / n, rss / n, pss / n, (cpu1 - cpu0) / hz / w / n * 100
      printf " gossip_bytes_per_s=%.0f gossip_messages_per_s=%.2f store_calls_per_s=%.3f deaths=%d\n",
        (c1["gossip_sent_bytes"] - c0["gossip_sent_bytes"] + c1["gossip_received_bytes"] - c0["gossip_received_bytes"]) / w / n,
        (c1["gossip_messages_sent"] - c0["gossip_messages_sent"]) / w / n,
        (c1["store_calls"] - c0["store_calls"]) / w / n, c1["gossip_deaths"]
    }' "$run/counters.before" "$run/counters.after" "$run/before" "$run/after"
}

# totals PID...: clock ticks of processor time, KB resident, KB private
totals() {
  local cpu=0 rss=0 private=0 fields pid
  for pid in "$@"; do
    read -ra fields <"/proc/$pid/stat"
    cpu=$((cpu + fields[13] + fields[14]))
    rss=$((rss + $(awk '/^Rss:/ {print $2}' "/proc/$pid/smaps_rollup")))
    private=$((private + $(awk '/^Private/ {s += $2} END {print s}' "/proc/$pid/smaps_rollup")))
  done
  echo "$cpu $rss $private"
}

# counters RUN N: sums of the counters of all daemons
counters() {
  for i in $(seq "$2"); do
    curl -s --max-time 5 "http://$(cat "$1/$i.port")/metrics" || true
  done | awk '/^(gossip_|store_calls)/ { sub(/\{.*\}/, "", $1); sum[$1] += $2 }
              END { for (name in sum) print name, sum[name] }'
}

for count in "${counts[@]}"; do
  measure "$count"
done
