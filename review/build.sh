#!/bin/bash
# Builds the stand-ins and the drivers of the cases into target/.
set -e
cd "$(dirname "$0")/.src"
GOFLAGS= GOWORK=off go build -buildvcs=false -o ../../target/ ./...
