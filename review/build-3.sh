#!/bin/sh
# Builds the cases of the third review, each with its stand-ins inside, after the build of the deploy file. It needs no network: they use
# the standard library alone. A case builds itself by this script where that has not been done.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
for number in 11 12 13 14 15; do
	CGO_ENABLED=1 go build -ldflags=-linkmode=external -o "bin/review3-$number" "./review/$number"
done
