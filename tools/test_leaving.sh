#!/usr/bin/env bash
# An upstream that is leaving gets no new requests: after `marjoramctl drain
# --wait` has returned, no call through two entries reaches it; after the drain
# is undone, it is used again.
# usage: test_leaving.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
build=$(cd "${1:?usage: test_leaving.sh BUILD_DIR}" && pwd)
. tools/processes.sh
processes_start
fail() { echo "leaving: $1" >&2; exit 1; }

standin store store
printf '[service lookup]\nkind = plain\ndeadline = 5s\n' >"$run/rules/10.ini"
for i in 1 2; do
  standin "plain-$i" plain
  printf '[upstream plain-%s]\nservice = lookup\nzone = zone-1\naddress = %s\n' \
    "$i" "$(address "plain-$i")" >>"$run/rules/20.ini"
done
push_rules
for i in 1 2; do
  daemon marjoram-entryd "entry-$i"
  ready "entry-$i"
done

served() { # NAME: number of calls that a service has executed
  cat "$run/records/$1.jsonl" 2>/dev/null | grep -c '"kind":"call"' || true
}
call() { # COUNT: alternates calls between both entries; all must be answered
  for n in $(seq "$1"); do
    curl -fs -o /dev/null -d "body-$n" \
      "http://$(address "entry-$((n % 2 + 1))")/v1/services/lookup/x" ||
      fail "call $n was not answered"
  done
}
drain() {
  timeout 20 "$build/marjoramctl" drain plain-1 --wait "$@" \
    --store "http://$(address store)" >/dev/null || fail "drain $* failed"
}

call 40
before=$(served plain-1)
[ "$before" -gt 0 ] || fail "plain-1 ran nothing before it was drained"
drain
call 40
after=$(served plain-1)
[ "$after" = "$before" ] ||
  fail "$((after - before)) of 40 calls reached a leaving upstream"
drain --undo
# The router prefers the faster of two while its speed estimates are recent
# (their weight halves in 10 s), so that one call after another may all go to the other.
for _ in $(seq 40); do
  call 40
  [ "$(served plain-1)" -gt "$after" ] && break
  sleep 1
done
echo "leaving: $before calls before, none of 40 while leaving," \
  "$(($(served plain-1) - after)) after it was put back"
[ "$(served plain-1)" -gt "$after" ] || fail "plain-1 was not put back"
