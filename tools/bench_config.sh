#!/usr/bin/env bash
# Measures the distribution of configuration with control daemons on loopback:
# time from the start of `marjoramctl edit` until a revision is in force at
# every daemon, store calls per change, and memory.
# usage: bench_config.sh BUILD_DIR [DAEMONS [ZONES [CHANGES]]]
# KEY=1 authenticates calls between the daemons with a shared key.
set -euo pipefail
build=$(cd "${1:?usage: bench_config.sh BUILD_DIR [DAEMONS [ZONES [CHANGES]]]}" && pwd)
daemons=${2:-100}
zones=${3:-4}
changes=${4:-100}
run=$(mktemp -d "${TMPDIR:-/tmp}/marjoram-bench.XXXXXX")
mkdir "$run/rules"
pids=()
stop_all() {
  kill "${pids[@]}" 2>/dev/null || true
  wait "${pids[@]}" 2>/dev/null || true
  if [ "${KEEP:-0}" = 1 ]; then echo "bench: files kept in $run"; else rm -rf "$run"; fi
}
trap stop_all EXIT

"$build/marjoram-standin" store --name store --port-file "$run/store.port" \
  >"$run/store.out" 2>"$run/store.err" &
pids+=($!)
for _ in $(seq 100); do [ -s "$run/store.port" ] && break; sleep 0.05; done
store=http://$(cat "$run/store.port")
ctl() { "$build/marjoramctl" "$@" --store "$store"; }

printf '[service abonnenter]\nkind = plain\nupstream-limit = 1\n' >"$run/rules/10-base.ini"
ctl push "$run/rules" >/dev/null
head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$run/peer.key"
for i in $(seq "$daemons"); do
  cat >"$run/c$i.ini" <<INI
[daemon]
instance = c$(printf %03d "$i")
zone = zone-$((i % zones))
store = $store
lease-ttl = 30s
refresh = 1s
threads = 1
INI
  if [ "${KEY:-0}" = 1 ]; then
    echo "peer-key-file = $run/peer.key" >>"$run/c$i.ini"
  fi
  "$build/marjoram-controld" --settings "$run/c$i.ini" >"$run/c$i.out" 2>"$run/c$i.log" &
  pids+=($!)
done
applied() { cat "$run"/c*.log | grep -c "event=rules_applied revision=$1 " || true; }
for _ in $(seq 300); do [ "$(applied 1)" = "$daemons" ] && break; sleep 0.2; done
echo "bench: $(applied 1) of $daemons daemons in $zones zones have the first revision"
sleep 5

calls() { # PART: store calls up to now
  curl -s "$store/metrics" | awk -v part="part=\"$1\"" 'index($0, part) {sum += $2} END {print sum + 0}'
}
busy=$(nproc)
read -r load _ </proc/loadavg
echo "bench: $busy cores, load average $load"
before=$(calls config)
live_before=$(calls live)
idle_start=$(date +%s%3N)
sleep 10
idle=$(($(calls config) - before))
live_idle=$(($(calls live) - live_before))
idle_ms=$(($(date +%s%3N) - idle_start))
before=$(calls config)
busy_start=$(date +%s%3N)
for i in $(seq "$changes"); do
  echo "$((i + 1)) $(date +%s%3N)" >>"$run/started"
  ctl edit 10-base.ini "service abonnenter.upstream-limit=$((i + 1))" >/dev/null
  sleep 0.2
done
last=$((changes + 1))
for _ in $(seq 100); do [ "$(applied "$last")" = "$daemons" ] && break; sleep 0.1; done
busy_ms=$(($(date +%s%3N) - busy_start))
used=$(($(calls config) - before))

cat "$run"/c*.log | awk '/event=rules_applied/ {
    split(substr($1, 6), t, /[-T:.]/)
    for (i = 2; i <= NF; ++i) if ($i ~ /^revision=/) r = substr($i, 10)
    printf "%s %.0f\n", r, mktime(t[1] " " t[2] " " t[3] " " t[4] " " t[5] " " t[6]) * 1000 + t[7]
  }' >"$run/applied"
awk -v daemons="$daemons" 'NR == FNR {start[$1] = $2; next}
  ($1 in start) {n[$1]++; if ($2 > last[$1]) last[$1] = $2}
  END {for (r in start) print (n[r] == daemons ? "all" : "part"), last[r] - start[r], n[r] + 0}' \
  "$run/started" "$run/applied" | sort -k2 -n >"$run/times"
grep '^all' "$run/times" | awk '{t[NR] = $2}
  END {if (NR) printf "bench: in force everywhere: revisions=%d p50=%d ms p99=%d ms max=%d ms\n",
       NR, t[int((NR + 1) / 2)], t[int((NR * 99 + 99) / 100)], t[NR]}'
echo "bench: revisions that some daemon skipped for a later one: $(grep -c '^part' "$run/times" || true)"
echo "bench: daemons at the last revision: $(applied "$last") of $daemons"
awk -v used="$used" -v busy="$busy_ms" -v idle="$idle" -v span="$idle_ms" -v n="$changes" -v live="$live_idle" 'BEGIN {
  printf "bench: store calls for configuration: idle %.2f/s; per change %.1f (%.1f in total, minus idle)\n",
    idle * 1000 / span, (used - idle * busy / span) / n, used / n
  printf "bench: store calls for leases and views, idle: %.1f/s\n", live * 1000 / span}'
echo "bench: calls refused for failed authentication: $(cat "$run"/c*.log | grep -c 'event=peer_.*_refused' || true)"
for pid in "${pids[@]:1}"; do awk '/VmRSS/ {print $2}' "/proc/$pid/status"; done | sort -n |
  awk '{m[NR] = $1} END {printf "bench: memory per daemon: median %.1f MB, max %.1f MB\n", m[int((NR + 1) / 2)] / 1024, m[NR] / 1024}'
