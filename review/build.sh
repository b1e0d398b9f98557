#!/bin/bash
# Builds the stand-ins and the drivers of the cases into target/, from the repository's root.
set -e
cd "$(dirname "$0")/.."
go build -buildvcs=false -tags review -o target/review-stand ./review/stand
for n in review/*/drive; do
	case=$(basename "$(dirname "$n")")
	go build -buildvcs=false -tags review -o "target/review-case$case" "./$n"
done
