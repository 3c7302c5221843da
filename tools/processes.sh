# Starts and stops the system's processes on loopback, with ephemeral ports.
# Sourced by scripts that set `build` and call `processes_start`.

processes_start() {
  run=$(mktemp -d "${TMPDIR:-/tmp}/marjoram-run.XXXXXX")
  mkdir "$run/rules" "$run/records"
  pids=()
  trap processes_stop EXIT
}

processes_stop() {
  if [ "${#pids[@]}" -gt 0 ]; then
    kill "${pids[@]}" 2>/dev/null || true
    wait "${pids[@]}" 2>/dev/null || true
  fi
  rm -rf "$run"
}

address() { # NAME: waits for the port file
  for _ in $(seq 400); do
    if [ -s "$run/$1.port" ]; then cat "$run/$1.port"; return; fi
    sleep 0.05
  done
  echo "$1 did not start: $(tail -n 3 "$run/$1.log" 2>/dev/null)" >&2
  return 1
}

standin() { # NAME MODE [OPTIONS]: last_pid is its process id
  local name=$1 mode=$2
  shift 2
  "$build/marjoram-standin" "$mode" --name "$name" --port-file "$run/$name.port" \
    --record "$run/records/$name.jsonl" "$@" >"$run/$name.out" 2>"$run/$name.log" &
  last_pid=$!
  pids+=("$last_pid")
}

daemon() { # PROGRAM NAME [SETTINGS LINES]: last_pid is its process id
  {
    printf '[daemon]\ninstance = %s\nzone = zone-1\nstore = http://%s\n' \
      "$2" "$(address store)"
    printf 'refresh = 200ms\nport-file = %s\n%s\n' "$run/$2.port" "${3:-}"
  } >"$run/$2.ini"
  "$build/$1" --settings "$run/$2.ini" >"$run/$2.out" 2>"$run/$2.log" &
  last_pid=$!
  pids+=("$last_pid")
}

push_rules() { # pushes $run/rules
  "$build/marjoramctl" push "$run/rules" --store "http://$(address store)" >/dev/null
}

ready() { # NAME: waits until an instance is ready
  for _ in $(seq 400); do
    curl -fs "http://$(address "$1")/readyz" >/dev/null && return
    sleep 0.05
  done
  echo "$1 is not ready" >&2
  return 1
}
