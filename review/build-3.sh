#!/bin/sh
# Builds the stand-ins and the driver of the cases 11 to 15 into target/.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-3 ./review/stand-3
