#!/bin/sh
# Builds the stand-ins that the scripts start.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/testdata/platform
