#!/usr/bin/env bash
# Tests the handling of KNOWN-RED.txt by check.sh with three sample tests.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d "${TMPDIR:-/tmp}/marjoram-check.XXXXXX")
trap 'rm -rf "$work"' EXIT
cat >"$work/CTestTestfile.cmake" <<'EOF'
add_test("good" "true")
add_test("bad (of two)" "false")
add_test("mended" "true")
EOF

# usage: expect CODE TEXT ENTRY...: CODE is 0 or 1
expect() {
  local code=$1 text=$2 got=0 out
  shift 2
  printf '%s\n' "# test | command and seed | seen | issue" "$@" >"$work/known.txt"
  out=$(tools/check.sh "$work" "$work/known.txt" 2>&1) || got=1
  if [ "$got" -ne "$code" ] || ! grep -qF -- "$text" <<<"$out"; then
    echo "test_check: exit $got, wanted $code, and: $text" >&2
    echo "$out" >&2
    exit 1
  fi
}

bad='bad (of two) | seed 1 | it fails | 9'
expect 1 "bad (of two)"
expect 0 "passed over, known to fail: $bad" "$bad"
expect 0 "known to fail, passed now: mended" "$bad" 'mended | seed 2 | failed | 9'
expect 1 "known.txt:3: no test has the name 'gone'" "$bad" 'gone | s | f | 9'
expect 1 "known.txt:2: 3 columns, not 4" 'bad (of two) | it fails | 9'
expect 0 "known, shown by a play only: - | a day" "$bad" '- | a day | seen | 9'
echo "test_check: ok"
