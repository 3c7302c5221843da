#!/usr/bin/env bash
# Runs the linter over all sources of a configured build, in parallel.
set -euo pipefail
build=${1:?usage: lint.sh BUILD_DIR}
cd "$(dirname "$0")/.."
git ls-files -co --exclude-standard 'src/*.cpp' 'platform/*.cpp' 'examples/*.cpp' |
  xargs -P "$(nproc)" -n 4 clang-tidy-14 -p "$build" --quiet 2>/dev/null
