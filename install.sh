#!/usr/bin/env bash
# Installs what the project builds and tests with, from Debian's packages.
set -euo pipefail
packages=(build-essential cmake ninja-build pkg-config clang-format clang-tidy
  libnng-dev libmicrohttpd-dev liburcu-dev libglib2.0-dev
  libcriterion-dev libcbor-dev libjansson-dev libyajl-dev libxxhash-dev libsodium-dev
  libtomlplusplus-dev librapidcheck-dev libev-dev libgsl-dev libhttp-parser-dev)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  apt-get update -q
  apt-get install -y -q --no-install-recommends "${missing[@]}"
fi
