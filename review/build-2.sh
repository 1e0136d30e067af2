#!/bin/sh
# Builds the cases 6 to 10 with their stand-ins, and the plays of the issue's first sitting (review/kit2), after the build of the deploy file. It
# needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
for number in 6 7 8 9 10; do
	CGO_ENABLED=1 go build -ldflags=-linkmode=external -o "bin/review2-$number" "./review/$number"
done
CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/review2 ./review/kit2/review2
