#!/usr/bin/env bash
# Runs the case; see claim.txt.  Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-5 ] || { echo "run review/build.sh first" >&2; exit 2; }
exec timeout -k 5 110 target/review/case-5 review/5
