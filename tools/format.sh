#!/usr/bin/env bash
# Checks the formatting of all sources; --fix rewrites them.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(--dry-run --Werror)
[ "${1:-}" = --fix ] && mode=(-i)
git ls-files -co --exclude-standard 'include/*.hpp' 'src/*.hpp' 'src/*.cpp' 'platform/*.?pp' 'platform/standin/*.?pp' 'tests/*.?pp' 'examples/*.cpp' 'fuzz/*.?pp' |
  xargs clang-format-14 "${mode[@]}"
