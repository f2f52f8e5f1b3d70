#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/stricter ] && [ -x ../../bin/wheatlane ] || { echo "could not run: build first" >&2; exit 2; }
timeout -k 3 115 ../bin/stricter .
rc=$?
[ $rc -le 1 ] && exit $rc
exit 2
