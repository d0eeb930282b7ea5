#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out.
set -u
cd "$(dirname "$0")/../.."
exec timeout 115 target/review-3/standin3 takeovers review/15/record.txt
