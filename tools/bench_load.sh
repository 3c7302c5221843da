#!/usr/bin/env bash
# Open-loop load on two entries in front of four plain services on loopback,
# for a bounded time: steady, with the store down for a while, and with one
# service killed. Reported outcomes are checked against the services' records.
# usage: bench_load.sh BUILD_DIR   (RATE, SECONDS_EACH)
set -euo pipefail
cd "$(dirname "$0")/.."
build=$(cd "${1:?usage: bench_load.sh BUILD_DIR}" && pwd)
rate=${RATE:-1000}
seconds=${SECONDS_EACH:-8}
. tools/processes.sh
processes_start

standin store store
printf '[service lookup]\nkind = plain\ndeadline = 1s\nupstream-limit = 64\n' \
  >"$run/rules/10.ini"
for i in 1 2 3 4; do
  standin "plain-$i" plain --service-us 5000
  pid_of[i]=$last_pid
  printf '[upstream plain-%s]\nservice = lookup\nzone = zone-1\naddress = %s\n' \
    "$i" "$(address "plain-$i")" >>"$run/rules/20.ini"
done
push_rules
urls=()
for i in 1 2; do
  daemon marjoram-entryd "entry-$i" 'log-level = error'
  ready "entry-$i"
  urls+=(--url "http://$(address "entry-$i")/v1/services/lookup/x")
done

load() { # NAME SEED [OPTIONS]
  local name=$1 seed=$2
  shift 2
  echo "== $name: $rate calls per second for $seconds s, 10 % not idempotent"
  "$build/marjoram-load" http "${urls[@]}" --rate "$rate" --seconds "$seconds" \
    --class live:3:100ms --class background:1:1s --non-idempotent 0.1 \
    --seed "$seed" --records "$run/records" "$@" || true
}

store=$(address store)
load steady 1
load "store down from 2 s to 5 s" 2 \
  --fault "2s@$store@{\"down\":\"refuse\"}" --fault "5s@$store@{}"
(sleep 3; kill -KILL "${pid_of[1]}") &
load "one service of four killed at 3 s" 3
wait "$!" 2>/dev/null || true
