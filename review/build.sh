#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -buildvcs=false -tags review -o target/review/harness ./review/harness
