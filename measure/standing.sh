#!/usr/bin/env bash
# Runs the standing test. Usage: standing.sh SITE SEED...
# MASS is the path of the bench, WHY is the note for its journal. All days are run, also after a failure. The script
# fails if any day ends without a passed gate, and lists the failed days.
set -uo pipefail
site=$1
shift
failed=()
run_day() { # arguments: name of the day, arguments for the bench...
  local name=$1 out
  shift
  out=$(mktemp)
  "$MASS" score "$site" "$@" --why "${WHY:-standing test}" 2>&1 | tee "$out"
  if [ "${PIPESTATUS[0]}" -ne 0 ] || ! grep -q '^GATE passed' "$out"; then
    failed+=("$name")
  fi
  rm -f "$out"
}
run_day quick --quick
for seed in "$@"; do
  run_day "brink $seed" --panel brink --seed "$seed"
done
if [ ${#failed[@]} -gt 0 ]; then
  printf 'standing: FAILED on %s:' "$site"
  printf ' [%s]' "${failed[@]}"
  echo
  exit 1
fi
echo "standing: passed on $site"
