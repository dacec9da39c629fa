#!/usr/bin/env bash
# Shows that the tests can fail: switches one mechanism off at a time in a
# scratch copy and runs the test that guards it.  Exit status 0 when every
# mutant was caught.  Arguments: words that a mutant's name must contain.
set -uo pipefail
cd "$(dirname "$0")/.."
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
git ls-files -z | xargs -0 cp --parents -t "$scratch"
cmake -S "$scratch" -B "$scratch/build" -G Ninja >/dev/null || exit 2
cmake --build "$scratch/build" >/dev/null || exit 2
export RC_PARAMS="seed=20261204 max_success=300"
caught=0
missed=0
while IFS= read -r line; do
  [[ -z $line || $line == \#* ]] && continue
  name=${line%% @@ *}
  rest=${line#* @@ }
  file=${rest%% @@ *}
  rest=${rest#* @@ }
  substitution=${rest%% @@ *}
  command=${rest##* @@ }
  [[ $name != *"${1:-}"* ]] && continue
  cp "$scratch/$file" "$scratch/saved"
  perl -0pi -e "$substitution" "$scratch/$file"
  if cmp -s "$scratch/$file" "$scratch/saved"; then
    echo "MISSED (nothing was changed): $name"
    missed=$((missed + 1))
    continue
  fi
  if ! cmake --build "$scratch/build" >"$scratch/log" 2>&1; then
    echo "MISSED (does not build): $name"
    missed=$((missed + 1))
  elif (cd "$scratch/build" && eval "timeout 300 ./$command") \
    >"$scratch/log" 2>&1; then
    echo "MISSED: $name"
    missed=$((missed + 1))
  else
    echo "caught by ${command%% *}: $name"
    caught=$((caught + 1))
  fi
  cp "$scratch/saved" "$scratch/$file"
done <tests/mutants.txt
echo "$caught passed, $missed failed"
[ "$missed" -eq 0 ]
