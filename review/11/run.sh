#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the
# disruption.
set -u
case="$(basename "$(cd "$(dirname "$0")" && pwd)")"
cd "$(dirname "$0")/../.." || exit 2
sidecar=target/services/sidecar/peridot-sidecar
scenario="target/review-3/$case"
[ -x "$sidecar" ] && [ -x "$scenario" ] || exit 2
timeout -s KILL 115 "$scenario" "$sidecar" "review/$case/record.txt"
result=$?
[ "$result" -le 1 ] && exit "$result"
exit 2
