#!/usr/bin/env bash
# Builds the cases' stand-ins into target/review/, after the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]*/case.c; do
  case_name=$(basename "$(dirname "$source")")
  cc -std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -Ireview/rig -o "target/review/case-$case_name" \
    "$source" review/rig/*.c -ljansson -lpthread
done
