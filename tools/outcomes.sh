#!/usr/bin/env bash
# Measures outcomes under faults with processes on loopback: repeated sends of a
# non-idempotent call with the store up and paused; a prompt that crashes each
# engine that runs it, among 200 others; streams whose engine is killed. Prints
# one line of counts for each.
set -euo pipefail
build=$(cd "${1:?usage: outcomes.sh BUILD_DIR}" && pwd)
run=$(mktemp -d "${TMPDIR:-/tmp}/marjoram-outcomes.XXXXXX")
mkdir "$run/rules" "$run/out"
pids=()
declare -A pid
stop_all() {
  kill "${pids[@]}" 2>/dev/null || true
  wait "${pids[@]}" 2>/dev/null || true
  if [ "${KEEP:-0}" = 1 ]; then echo "files kept in $run"; else rm -rf "$run"; fi
}
trap stop_all EXIT

standin() { # NAME MODE [OPTIONS]
  local name=$1 mode=$2
  shift 2
  "$build/marjoram-standin" "$mode" --name "$name" --port-file "$run/$name.port" \
    --record "$run/$name.jsonl" "$@" >"$run/$name.out" 2>"$run/$name.log" &
  pid[$name]=$!
  pids+=($!)
}

daemon() { # PROGRAM NAME
  printf '[daemon]\ninstance = %s\nzone = z\nstore = http://%s\nlease-ttl = 3s\nrefresh = 200ms\nport-file = %s\n' \
    "$2" "$(address store)" "$run/$2.port" >"$run/$2.ini"
  "$build/$1" --settings "$run/$2.ini" >"$run/$2.out" 2>"$run/$2.log" &
  pids+=($!)
}

address() { # NAME
  for _ in $(seq 200); do
    [ -s "$run/$1.port" ] && { cat "$run/$1.port"; return; }
    sleep 0.05
  done
  echo "outcomes: $1 did not start" >&2
  exit 1
}

entry() { address "entry-$((1 + $1 % 2))"; }

call() { # N KEY BODY: prints status and outcome
  curl -s -o /dev/null -w '%{http_code} %header{x-outcome}\n' -m 20 \
    -H "Idempotency-Key: $2" -H "X-Deadline: 2s" -d "$3" \
    "http://$(entry "$1")/v1/services/register/post" || true
}

complete() { # N PROMPT EXTRA: prints status and outcome
  curl -s -o "$run/out/$1" -w '%{http_code} %header{x-outcome}\n' -m 30 \
    -H "X-Deadline: 20s" \
    -d "{\"model\":\"m\",\"prompt\":\"$2\",\"max_tokens\":${4:-16}$3}" \
    "http://$(entry "$1")/v1/completions" || true
}

engines=9
standin store store
standin weights weights
standin register plain --service-us 5000
for i in $(seq $engines); do
  standin "engine-$i" engine --weight-store "$(address weights)" \
    --token-us 5000 --crash-on poison
done
daemon marjoram-entryd entry-1
daemon marjoram-entryd entry-2
daemon marjoram-controld control-1
{
  printf '[service register]\nkind = plain\n\n[service lm]\nkind = engine\n\n'
  printf '[trainer t]\nservice = lm\nmodel = m\n\n'
  printf '[weight-store]\naddress = %s\n\n' "$(address weights)"
  printf '[upstream register-1]\nservice = register\nzone = z\naddress = %s\n\n' "$(address register)"
  for i in $(seq $engines); do
    printf '[upstream engine-%s]\nservice = lm\nzone = z\naddress = %s\n\n' "$i" "$(address "engine-$i")"
  done
} >"$run/rules/1.ini"
"$build/marjoramctl" push "$run/rules" --store "http://$(address store)"
for i in 1 2; do
  for _ in $(seq 200); do
    curl -fs "http://$(entry "$i")/readyz" >/dev/null && break
    sleep 0.05
  done
done
curl -s -o /dev/null -X PUT "http://$(address weights)/weights/m/1"
for _ in $(seq 100); do
  curl -fs -o /dev/null -d '{"version":1}' "http://$(entry 1)/v1/trainers/t/announce" && break
  sleep 0.1
done
for _ in $(seq 100); do
  [ "$(complete 0 warm '')" = "200 completed" ] && break
  sleep 0.1
done
sleep 1

# Each key is sent to both entries at once, then again to each.
keys=40
for k in $(seq $keys); do
  call 1 "k$k" "k$k" >>"$run/calls" &
  first=$!
  call 2 "k$k" "k$k" >>"$run/calls"
  wait "$first"
  call "$k" "k$k" "k$k" >>"$run/calls"
done
echo "resends: keys=$keys sends=$((keys * 3)) runs=$(grep -c . "$run/register.jsonl")" \
  "answered_200=$(grep -c '^200' "$run/calls") refused=$(grep -c 'refused-not-run' "$run/calls" || true)"

# The crashing prompt is sent repeatedly, among others.
for i in $(seq 200); do
  complete "$i" "innocent $i" '' >>"$run/innocents" &
  if [ $((i % 20)) = 5 ]; then complete "$i" 'poison pill' '' >>"$run/poison" & fi
  sleep 0.02
done
wait_for=$(jobs -p | grep -vxFf <(printf '%s\n' "${pids[@]}") || true)
for p in $wait_for; do wait "$p" || true; done
dead=0
for i in $(seq $engines); do
  kill -0 "${pid[engine-$i]}" 2>/dev/null || dead=$((dead + 1))
done
echo "crashing prompt: sends=$(grep -c . "$run/poison") engines_crashed=$dead" \
  "refused=$(grep -c 'refused-not-run' "$run/poison" || true) innocents=200" \
  "innocents_failed=$(grep -vc '^200 completed' "$run/innocents" || true)"

# One engine is killed while streams are running.
for i in $(seq 40); do
  complete "$i" "story $i" ',"stream":true' 200 >>"$run/streams" &
done
sleep 0.5
for i in $(seq $engines); do
  if kill -0 "${pid[engine-$i]}" 2>/dev/null; then
    kill -KILL "${pid[engine-$i]}"
    break
  fi
done
wait_for=$(jobs -p | grep -vxFf <(printf '%s\n' "${pids[@]}") || true)
for p in $wait_for; do wait "$p" || true; done
completed=0 doubled=0
for i in $(seq 40); do
  offsets=$(sed -n 's/.*"offset":\([0-9]*\).*"tokens":1.*/\1/p' "$run/out/$i")
  grep -q 'data: \[DONE\]' "$run/out/$i" && completed=$((completed + 1))
  [ "$offsets" = "$(seq 0 $(($(wc -w <<<"$offsets") - 1)))" ] || doubled=$((doubled + 1))
done
resumed=$(cat "$run"/engine-*.jsonl | grep '"kind":"stream"' | grep -vc '"from":0,' || true)
echo "streams: asked=40 whole=$completed doubled_or_short=$doubled resumed=$resumed"

kill -STOP "${pid[store]}"
paused="$(call 1 late late) then $(call 1 later later)"
kill -CONT "${pid[store]}"
sleep 6
echo "store paused: $paused; after it: $(call 2 late late), $(call 1 later later)"
