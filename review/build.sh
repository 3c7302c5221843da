#!/usr/bin/env bash
# Builds the programs of the cases and trials, which contain all stand-ins.
set -euo pipefail
cd "$(dirname "$0")"
for source in [123]/case.cpp lost-at-stop.cpp smuggled-request.cpp; do
  if [ -f "$source" ]; then
    g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -I. -o "${source%.cpp}" "$source"
  fi
done
