#!/bin/sh
# Builds the program that the scripts of the second review start. It holds the stand-ins for the
# store, the workers, the operator and the clients.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review -o target/review-2 ./review/harness2
