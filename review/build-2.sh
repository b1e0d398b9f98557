#!/bin/bash
# Builds what the scripts of the second review start, beside the programs of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -buildvcs=false -o target/review-2/ ./review/.src-2/boxes
