#!/usr/bin/env bash
# Plays the standing test: standing.sh SITE SEED... with MASS naming the bench and WHY the note of the journal. Every play
# is made; it fails if one of them ends without a passed gate, and says which.
set -uo pipefail
site=$1
shift
failed=()
play() { # its name, and what the bench is told
  local name=$1 out
  shift
  out=$(mktemp)
  "$MASS" score "$site" "$@" --why "${WHY:-standing test}" 2>&1 | tee "$out"
  if [ "${PIPESTATUS[0]}" -ne 0 ] || ! grep -q '^GATE passed' "$out"; then
    failed+=("$name")
  fi
  rm -f "$out"
}
play quick --quick
for seed in "$@"; do
  play "brink $seed" --panel brink --seed "$seed"
done
if [ ${#failed[@]} -gt 0 ]; then
  printf 'standing: FAILED on %s:' "$site"
  printf ' [%s]' "${failed[@]}"
  echo
  exit 1
fi
echo "standing: passed on $site"
