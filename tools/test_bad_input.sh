#!/usr/bin/env bash
# For each kind of invalid input: the error names the location and the limit,
# nothing is executed, and the daemon continues to serve.
# usage: test_bad_input.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
build=$(cd "${1:?usage: test_bad_input.sh BUILD_DIR}" && pwd)
. tools/processes.sh
processes_start
failed=0

# refuses_settings NAME CODE PATTERN...: the daemon exits with the settings of $run/bad.ini
refuses_settings() {
  local name=$1 expected=$2 code=0
  shift 2
  timeout 20 "$build/marjoram-entryd" --settings "$run/bad.ini" \
    >"$run/bad.out" 2>&1 || code=$?
  check "$name" "$expected" "$code" "$run/bad.out" "$@"
}

# asks NAME STATUS PATTERN URL [CURL OPTIONS]
asks() {
  local name=$1 expected=$2 pattern=$3 url=$4 status
  shift 4
  status=$(curl -s -m 20 -o "$run/body" -w '%{http_code}' "$@" "http://$entry$url" || true)
  check "$name" "$expected" "$status" "$run/body" "$pattern"
}

check() { # NAME EXPECTED GOT FILE PATTERN...
  local name=$1 expected=$2 got=$3 file=$4 pattern
  shift 4
  for pattern in "$@"; do
    grep -q -- "$pattern" "$file" || got="$got without '$pattern'"
  done
  if [ "$got" = "$expected" ]; then
    echo "bad input: $name: ok"
  else
    echo "bad input: $name: $got instead of $expected: $(head -c 400 "$file")"
    failed=1
  fi
}

standin store store
standin plain plain --service-us 0
printf '[service echo]\nkind = plain\ndeadline = 5s\nupstream-limit = 64\n' \
  >"$run/rules/10.ini"
printf '[upstream plain]\nservice = echo\nzone = zone-1\naddress = %s\n' \
  "$(address plain)" >"$run/rules/20.ini"
push_rules
daemon marjoram-entryd entry 'max-body-bytes = 1000'
ready entry
entry=$(address entry)

printf '[daemon]\ninstance = x\nzone = z\nstore = http://127.0.0.1:1\nthreads = 999\ncolour = red\n' \
  >"$run/bad.ini"
refuses_settings "unknown key and value out of range, together" 2 \
  'bad.ini:5:.*threads' 'bad.ini:6:.*colour' '64'
rm "$run/bad.ini"
refuses_settings "unreadable settings" 2 'bad.ini'
printf '[daemon]\ninstance = x\nzone = z\nstore = http://%s\nhttp-port = %s\n' \
  "$(address store)" "${entry##*:}" >"$run/bad.ini"
refuses_settings "port in use" 1 "$entry"

printf '[service echo]\nkind = plain\ndeadline = sometimes\n' >"$run/rules/30.ini"
code=0
"$build/marjoramctl" push "$run/rules" --store "http://$(address store)" \
  >"$run/push.out" 2>&1 || code=$?
check "rule out of range" 2 "$code" "$run/push.out" '30.ini:3'

exec 3<>"/dev/tcp/${entry%:*}/${entry##*:}"
printf 'NOT HTTP\r\n\r\n' >&3
timeout 20 cat <&3 >"$run/body" || true
exec 3>&-
check "malformed HTTP ends its connection" 0 "$(grep -c ' 200 ' "$run/body" || true)" "$run/body"
head -c 2000 /dev/zero | tr '\0' x >"$run/large"
asks "body over the limit" 413 '1000 bytes; nothing was run' \
  /v1/services/echo/x --data-binary "@$run/large"
asks "unknown service" 404 "unknown service 'nowhere'" /v1/services/nowhere/x -d y
asks "unknown trainer" 404 "unknown trainer 'nobody'" /v1/trainers/nobody/close \
  -d '{"step":1}'
asks "unknown model" 404 "unknown model 'none'" /v1/completions \
  -d '{"model":"none","prompt":"p"}'
asks "malformed JSON" 400 'no completion request' /v1/completions -d '{"model":'
asks "unknown operation" 404 'open, take, announce, close' /v1/trainers/a/fly -d '{}'
asks "invalid deadline" 400 "X-Deadline: 'soon'" /v1/services/echo/x \
  -H 'X-Deadline: soon' -d y
asks "invalid class" 400 'X-Class' /v1/services/echo/x -H 'X-Class: best' -d y
asks "no route" 404 'no route for /nothing' /nothing

# None of it was executed, and the daemon continues to serve.
check "nothing was run" 0 "$(grep -c . "$run/records/plain.jsonl" || true)" /dev/null
asks "the daemon continues to serve" 200 '"echo":"fine"' /v1/services/echo/x -d fine
exit "$failed"
