#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0
# leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/standin2 ] && [ -x target/bergamotstile ] || { echo "build first: review/build-2.sh and the command of deploy/system.toml"; exit 2; }
exec target/review-2/standin2 recut review/10/record.txt
