#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start. The program itself is
# built by the command in deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review-3/ ./review/standin3
