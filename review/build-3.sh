#!/usr/bin/env bash
# Builds the programs of the scripts in review/11 to review/15 into
# target/review-3/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
program="$PWD/target/lav-platform-node"
[ -x "$program" ] || { echo "build the deploy file first" >&2; exit 2; }
read -r -a flags <<<"$(pkg-config --cflags glib-2.0 jansson)"
read -r -a libraries <<<"$(pkg-config --libs glib-2.0 jansson)"
common=(tests/integration/harness*.c tests/integration/fault_proxy.c
  tests/standin/broken_request.c tests/standin/broken_response.c
  lab/proc.c lab/thread_pool.c src/base/clock.c src/base/err.c src/core/id.c)
for case in review/rig-3/*.c; do
  name=$(basename "$case" .c)
  [ "$name" = rig3 ] && continue
  cc -O1 -g -D_GNU_SOURCE -DPFR_PROGRAM="\"$program\"" -Iinclude -Ilab \
    -Itests/integration -Itests/standin -Ireview/rig-3 "${flags[@]}" \
    "$case" review/rig-3/rig3.c "${common[@]}" -o "$out/$name" \
    "${libraries[@]}" -lxxhash -lsodium -lpthread -lm
done
