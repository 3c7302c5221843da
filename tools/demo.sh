#!/usr/bin/env bash
# Runs the complete system as processes on loopback and checks the outcome.
# KILL=1 kills one entry and one control instance after KILL_AFTER seconds;
# AHEAD=N lets the trainer open N steps ahead; SWAP_FAILURES=N makes N of 1000
# weight swaps fail.
set -euo pipefail
build=${1:?usage: demo.sh BUILD_DIR}
root=$(cd "$(dirname "$0")/.." && pwd)
build=$(cd "$build" && pwd)
run=$(mktemp -d "${TMPDIR:-/tmp}/marjoram-demo.XXXXXX")
mkdir "$run/rules" "$run/records"
pids=()

stop_all() {
  kill "${pids[@]}" 2>/dev/null || true
  wait "${pids[@]}" 2>/dev/null || true
  if [ "${KEEP:-0}" = 1 ]; then echo "demo: files kept in $run"; else rm -rf "$run"; fi
}
trap stop_all EXIT

standin() { # NAME MODE [OPTIONS]
  local name=$1 mode=$2
  shift 2
  "$build/marjoram-standin" "$mode" --name "$name" --port-file "$run/$name.port" \
    --record "$run/records/$name.jsonl" "$@" >"$run/$name.out" 2>"$run/$name.log" &
  pids+=($!)
}

daemon() { # PROGRAM NAME ZONE
  cat >"$run/$2.ini" <<INI
[daemon]
instance = $2
zone = $3
store = http://$(address store)
lease-ttl = 3s
refresh = 200ms
drain-notice = 100ms
trace-file = $run/$2.trace
port-file = $run/$2.port
INI
  "$build/$1" --settings "$run/$2.ini" >"$run/$2.out" 2>"$run/$2.log" &
  pids+=($!)
  eval "pid_${2//-/_}=$!"
}

address() { # NAME: waits for the port file
  for _ in $(seq 200); do
    if [ -s "$run/$1.port" ]; then cat "$run/$1.port"; return; fi
    sleep 0.05
  done
  echo "demo: $1 did not start: $(tail -n 3 "$run/$1.log" 2>/dev/null)" >&2
  exit 1
}

zones=(sal-nord sal-sor)
standin store store
standin weights weights
standin scorer scorer
address store >/dev/null
weights=$(address weights)
for i in 1 2 3 4; do
  standin "engine-$i" engine --weight-store "$weights" --token-us 5000 \
    --swap-failures "${SWAP_FAILURES:-0}"
done
for i in 1 2; do standin "abo-$i" plain; done
for i in 1 2 3; do
  daemon marjoram-entryd "entry-$i" "${zones[$((i % 2))]}"
  daemon marjoram-controld "control-$i" "${zones[$((i % 2))]}"
done

cp "$root"/conf/*.ini "$run/rules/"
{
  for i in 1 2 3 4; do
    printf '[upstream engine-%s]\nservice = skrivemodell\nzone = %s\naddress = %s\n\n' \
      "$i" "${zones[$((i % 2))]}" "$(address "engine-$i")"
  done
  for i in 1 2; do
    printf '[upstream abo-%s]\nservice = abonnenter\nzone = %s\naddress = %s\n\n' \
      "$i" "${zones[$((i % 2))]}" "$(address "abo-$i")"
  done
  printf '[trainer begravelse]\nscorer = %s\n\n' "$(address scorer)"
  printf '[weight-store]\naddress = %s\n' "$weights"
} >"$run/rules/90-addresses.ini"
"$build/marjoramctl" push "$run/rules" --store "http://$(address store)"

entries="$(address entry-1),$(address entry-2),$(address entry-3)"
for i in 1 2 3; do
  for _ in $(seq 200); do
    curl -fs "http://$(address "entry-$i")/readyz" >/dev/null && break
    sleep 0.05
  done
done

standin callers callers --entries "$entries" --model abonnenter \
  --rate 100 --stop-file "$run/stop" --trace-file "$run/callers.trace"
callers=$!
"$build/marjoram-standin" trainer --name trainer --entries "$entries" \
  --trainer begravelse --model begravelse --weight-store "$weights" \
  --ahead "${AHEAD:-1}" --prompts "$root/conf/prompts.txt" --record "$run/records/trainer.jsonl" &
trainer=$!
pids+=("$trainer")
if [ "${KILL:-0}" = 1 ]; then
  sleep "${KILL_AFTER:-2.5}"
  owner=$("$build/marjoramctl" status --store "http://$(address store)" |
    sed -n 's#^owners/trainer/begravelse .*"owner":"\([^"]*\)".*#\1#p')
  owner=${owner:-control-1}
  echo "demo: killing entry-1 and $owner"
  name="pid_${owner//-/_}"
  kill -KILL "$pid_entry_1" "${!name}"
fi
for _ in $(seq 600); do
  kill -0 "$trainer" 2>/dev/null || break
  sleep 0.2
done
if kill -0 "$trainer" 2>/dev/null; then
  echo "demo: the trainer did not end within 120 s" >&2
  exit 1
fi
touch "$run/stop"
wait "$callers" || true
trace=$(tail -n 1 "$run/callers.trace" | sed 's/.*"traceId":"\([0-9a-f]*\)".*/\1/')
echo "demo: the hops of one live call (marjoramctl trace $trace):"
"$build/marjoramctl" trace "$trace" --dir "$run"
"$build/marjoram-standin" verify --records "$run/records"
