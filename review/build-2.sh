#!/usr/bin/env bash
# Builds the programs of the second review's scripts, stand-ins included, into
# target/review-2. They need the compiler and nlohmann-json only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for folder in review/[4-8]; do
  if [ -f "$folder/case.cpp" ]; then
    echo "building $folder"
    g++ -std=c++20 -O1 -Wall -Wextra -pthread \
      -o "target/review-2/case-$(basename "$folder")" "$folder/case.cpp"
  fi
done
