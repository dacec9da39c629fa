#!/usr/bin/env bash
# Installs, builds and passes the tests.
set -euo pipefail
cd "$(dirname "$0")"
./install.sh
cmake --preset default
cmake --build build
ctest --test-dir build --output-on-failure
