#!/bin/sh
# Builds the stand-ins that the scripts of the cases start.
set -eu
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review-standin .
