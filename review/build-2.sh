#!/bin/bash
# Builds the stand-ins of the scripts of the second review. They need no module but Go's own.
set -e
cd "$(dirname "$0")/standin-2"
GOWORK=off GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../../target/standin-2 .
