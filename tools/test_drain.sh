#!/usr/bin/env bash
# SIGTERM with requests in progress: the entry reports not ready, delivers
# complete answers to all callers, and exits 0. No step depends on timing: the
# plain service answers only after the entry has logged that it drains.
# usage: test_drain.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
build=$(cd "${1:?usage: test_drain.sh BUILD_DIR}" && pwd)
. tools/processes.sh
processes_start
fail() { echo "drain: $1" >&2; cat "$run/entry.log" >&2; exit 1; }

standin store store
standin slow plain --service-us 10000000
printf '[service slow]\nkind = plain\ndeadline = 60s\nupstream-limit = 64\n' \
  >"$run/rules/10.ini"
printf '[upstream slow]\nservice = slow\nzone = zone-1\naddress = %s\n' \
  "$(address slow)" >"$run/rules/20.ini"
push_rules
daemon marjoram-entryd entry 'drain-notice = 8s'
entry_pid=$last_pid
ready entry
entry=$(address entry)

callers=()
for i in $(seq 8); do
  curl -s -o "$run/answer-$i" -w '%{http_code}' -d "body-$i" \
    "http://$entry/v1/services/slow/x" >"$run/status-$i" &
  callers+=($!)
done
# The signal is sent only when all eight requests run at the service.
for _ in $(seq 400); do
  curl -s "http://$(address slow)/load" | grep -q '"running":8' && break
  sleep 0.02
done
curl -s "http://$(address slow)/load" | grep -q '"running":8' ||
  fail "the requests are not in progress"
kill -TERM "$entry_pid"
for _ in $(seq 400); do
  grep -q 'event=draining' "$run/entry.log" && break
  sleep 0.01
done
status=$(curl -s -o "$run/ready" -w '%{http_code}' "http://$entry/readyz" || true)
[ "$status" = 503 ] && grep -q draining "$run/ready" ||
  fail "while draining /readyz answered $status"
for i in $(seq 8); do
  wait "${callers[$((i - 1))]}" || fail "caller $i got no answer"
  [ "$(cat "$run/status-$i")" = 200 ] && grep -q "\"echo\":\"body-$i\"" "$run/answer-$i" ||
    fail "caller $i: $(cat "$run/status-$i") $(cat "$run/answer-$i")"
done
code=0
wait "$entry_pid" || code=$?
[ "$code" = 0 ] || fail "exit code $code"
echo "drain: 8 of 8 complete answers, not ready meanwhile, exit 0"
