#!/usr/bin/env bash
# Measures one control daemon with N stand-in engines: time from the
# announcement of a version until all engines serve it, and the daemon's
# processor time during the rollout and while idle.
set -euo pipefail
build=$(cd "${1:?usage: bench_rollout.sh BUILD_DIR [N...]}" && pwd)
shift
counts=("${@:-4}")
[ $# -gt 0 ] || counts=(4 8 16 32)
run=$(mktemp -d "${TMPDIR:-/tmp}/marjoram-rollout.XXXXXX")
pids=()

stop_all() {
  kill "${pids[@]}" 2>/dev/null || true
  wait "${pids[@]}" 2>/dev/null || true
  pids=()
}
trap 'stop_all; rm -rf "$run"' EXIT

standin() { # NAME MODE [OPTIONS]
  "$build/marjoram-standin" "$2" --name "$1" --port-file "$run/$1.port" \
    --record "$run/$1.jsonl" "${@:3}" >"$run/$1.out" 2>"$run/$1.log" &
  pids+=($!)
}

daemon() { # PROGRAM NAME
  printf '[daemon]\ninstance = %s\nzone = sal-nord\nstore = http://%s\nlease-ttl = 3s\nrefresh = 200ms\nport-file = %s\n' \
    "$2" "$(address store)" "$run/$2.port" >"$run/$2.ini"
  "$build/$1" --settings "$run/$2.ini" >"$run/$2.out" 2>"$run/$2.log" &
  pids+=($!)
}

address() { # NAME: waits for the port file
  for _ in $(seq 200); do
    if [ -s "$run/$1.port" ]; then head -1 "$run/$1.port"; return; fi
    sleep 0.05
  done
  echo "bench: $1 did not start" >&2
  exit 1
}

cpu_ms() { # PID: user and system time
  awk -v hz="$(getconf CLK_TCK)" '{ print ($14 + $15) * 1000 / hz }' "/proc/$1/stat"
}

serving() { # VERSION: engines that serve it
  { grep -l "\"version\":$1[,}]" "$run"/engine-*.jsonl 2>/dev/null || true; } | wc -l
}

announce() { # VERSION
  curl -fs -X PUT "http://$(address weights)/weights/m/$1" >/dev/null
  for _ in $(seq 100); do
    curl -fs -X POST -d "{\"version\":$1}" \
      "http://$(address entry)/v1/trainers/t/announce" >/dev/null && return
    sleep 0.1
  done
  echo "bench: the announcement failed" >&2
  exit 1
}

await() { # VERSION N
  for _ in $(seq 3000); do
    [ "$(serving "$1")" -ge "$2" ] && return
    sleep 0.01
  done
  echo "bench: version $1 is on $(serving "$1") of $2 engines" >&2
  exit 1
}

now_ms() { echo $(($(date +%s%N) / 1000000)); }

measure() { # N
  standin store store
  standin weights weights --load-rate 80
  local i began before after
  for i in $(seq "$1"); do standin "engine-$i" engine --weight-store "$(address weights)"; done
  daemon marjoram-controld control
  local control=${pids[-1]}
  daemon marjoram-entryd entry
  mkdir -p "$run/rules"
  {
    printf '[service lm]\nkind = engine\nfloor = 75\n[trainer t]\nservice = lm\nmodel = m\n'
    printf '[weight-store]\naddress = %s\nrate = 80\n' "$(address weights)"
    for i in $(seq "$1"); do
      printf '[upstream engine-%s]\nservice = lm\nzone = sal-nord\naddress = %s\n' \
        "$i" "$(address "engine-$i")"
    done
  } >"$run/rules/rules.ini"
  "$build/marjoramctl" push "$run/rules" --store "http://$(address store)" >/dev/null
  sleep 1
  announce 1
  await 1 "$1"
  sleep 3
  before=$(cpu_ms "$control")
  sleep 5
  after=$(cpu_ms "$control")
  local idle
  idle=$(awk -v a="$after" -v b="$before" 'BEGIN { print (a - b) / 5 }')
  before=$(cpu_ms "$control")
  began=$(now_ms)
  for i in 2 3 4; do
    announce "$i"
    await "$i" "$1"
  done
  after=$(cpu_ms "$control")
  echo "engines=$1 rollout_ms=$((($(now_ms) - began) / 3))" \
    "control_cpu_ms_per_rollout=$(awk -v a="$after" -v b="$before" 'BEGIN { print (a - b) / 3 }')" \
    "control_cpu_ms_per_idle_s=$idle"
  stop_all
  rm -rf "${run:?}"/*
}

for n in "${counts[@]}"; do measure "$n"; done
