#!/usr/bin/env bash
# Installs the Debian packages of tools/packages.txt that are missing.
set -euo pipefail
list="$(dirname "$0")/packages.txt"
missing=()
while read -r name; do
  dpkg-query -W -f='${Status}' "$name" 2>/dev/null | grep -q 'ok installed' || missing+=("$name")
done <"$list"
if [ "${#missing[@]}" -gt 0 ]; then
  sudo=""
  [ "$(id -u)" = 0 ] || sudo="sudo"
  $sudo apt-get update -qq
  $sudo env DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
fi
