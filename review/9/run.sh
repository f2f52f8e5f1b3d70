#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../../bin/review2 ] && [ -x ../../bin/wheatlane ] || { echo "the deploy build and review/build-2.sh come first"; exit 2; }
exec ../../bin/review2 upgrade-memory "$PWD"
