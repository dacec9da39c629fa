#!/usr/bin/env bash
# Installs, builds and runs the main job on the embedded stand-ins.
set -euo pipefail
cd "$(dirname "$0")"
./install.sh
cmake --preset default
cmake --build build
./build/lav-lab examples/scenarios/demo.toml
