#!/usr/bin/env bash
# Compares calls through the entry daemon with direct calls of the stand-in:
# requests per second and core (processor time of the process itself, from
# /proc/PID/stat), and the latency that the entry adds. Rounds of both are
# interleaved, so that other load on the machine affects both equally.
# usage: bench_entry.sh BUILD_DIR   (ROUNDS, CALLS, IN_FLIGHT, PROBES)
set -euo pipefail
build=$(cd "${1:?usage: bench_entry.sh BUILD_DIR}" && pwd)
rounds=${ROUNDS:-5}
calls=${CALLS:-20000}
in_flight=${IN_FLIGHT:-64}
probes=${PROBES:-2000}
run=$(mktemp -d "${TMPDIR:-/tmp}/marjoram-bench.XXXXXX")
mkdir "$run/rules"
pids=()
stop_all() {
  kill "${pids[@]}" 2>/dev/null || true
  wait "${pids[@]}" 2>/dev/null || true
  rm -rf "$run"
}
trap stop_all EXIT

address() { # NAME: waits for the port file
  for _ in $(seq 200); do
    if [ -s "$run/$1.port" ]; then cat "$run/$1.port"; return; fi
    sleep 0.05
  done
  echo "bench: $1 did not start" >&2
  exit 1
}

"$build/marjoram-standin" store --port-file "$run/store.port" 2>/dev/null &
pids+=($!)
"$build/marjoram-standin" plain --name plain --service-us 0 \
  --port-file "$run/plain.port" 2>/dev/null &
plain_pid=$!
pids+=("$plain_pid")
cat >"$run/rules/10.ini" <<INI
[service echo]
kind = plain
deadline = 5s
upstream-limit = 1000
[upstream plain]
service = echo
zone = zone-1
address = $(address plain)
INI
cat >"$run/entry.ini" <<INI
[daemon]
instance = entry
zone = zone-1
store = http://$(address store)
refresh = 200ms
log-level = warn
port-file = $run/entry.port
${SETTINGS:-}
INI
"$build/marjoramctl" push "$run/rules" --store "http://$(address store)" >/dev/null
"$build/marjoram-entryd" --settings "$run/entry.ini" 2>"$run/entry.log" &
entry_pid=$!
pids+=("$entry_pid")
for _ in $(seq 200); do
  curl -fs "http://$(address entry)/readyz" >/dev/null && break
  sleep 0.05
done

direct="http://$(address plain)/lookup"
via="http://$(address entry)/v1/services/echo/lookup"
ticks_a_second=$(getconf CLK_TCK)

cpu() { # PID: user and system time in ticks
  awk '{sub(/.*\) /, ""); print $12 + $13}' "/proc/$1/stat"
}

# burst URL PID: processor microseconds per request of a closed loop
burst() {
  local before after
  before=$(cpu "$2")
  "$build/marjoram-load" http --url "$1" --in-flight "$in_flight" \
    --calls "$calls" --class live:1:5s --json >"$run/burst.json"
  after=$(cpu "$2")
  grep -q "\"in_time\":$calls" "$run/burst.json" ||
    { echo "bench: a call failed: $(cat "$run/burst.json")" >&2; exit 1; }
  awk -v t="$((after - before))" -v hz="$ticks_a_second" -v n="$calls" \
    'BEGIN {printf "%.2f\n", t / hz * 1e6 / n}'
}

# probe URL: "p50 p99" in milliseconds of sequential calls
probe() {
  "$build/marjoram-load" http --url "$1" --in-flight 1 --calls "$probes" \
    --class live:1:5s --json >"$run/probe.json"
  sed 's/.*"all":{\([^}]*\)}.*/\1/; s/.*"p50_ms":\([0-9.e-]*\),"p99_ms":\([0-9.e-]*\).*/\1 \2/' \
    "$run/probe.json"
}

printf '%-6s %14s %14s %8s %12s %12s %12s %12s\n' round standin_us/req \
  entry_us/req share direct_p50 entry_p50 direct_p99 entry_p99
for round in $(seq "$rounds"); do
  standin_us=$(burst "$direct" "$plain_pid")
  entry_us=$(burst "$via" "$entry_pid")
  read -r p50_direct p99_direct < <(probe "$direct")
  read -r p50_entry p99_entry < <(probe "$via")
  echo "$standin_us $entry_us $p50_direct $p50_entry $p99_direct $p99_entry" |
    tee -a "$run/rounds" |
    awk -v r="$round" '{printf "%-6s %14s %14s %8.2f %12.3f %12.3f %12.3f %12.3f\n", r, $1, $2, $1 / $2, $3, $4, $5, $6}'
done
awk '{s += $1; e += $2; a += $4 - $3; b += $6 - $5}
  END {printf "bench: requests per core, relative to direct calls of the stand-in: %.0f%%, added p50 %.3f ms, added p99 %.3f ms (means of %d rounds)\n",
    100 * s / e, a / NR, b / NR, NR}' "$run/rounds"
