#!/usr/bin/env bash
# Builds the programs of the cases, with all stand-ins that they start, into review/bin.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
for folder in review/[0-9]*/; do
	number=$(basename "$folder")
	go build -o "review/bin/case$number" "./review/$number"
done
