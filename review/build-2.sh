#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into
# target/review-2/.  Needs what the build of the deploy file needs.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/rig-2/*.c; do
  name=$(basename "$source" .c)
  [ "$name" = rig ] && continue
  cc -std=gnu11 -O1 -Wall -Wextra -D_GNU_SOURCE -pthread \
    review/rig-2/rig.c "$source" -ljansson -o "target/review-2/$name"
done
