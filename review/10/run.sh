#!/bin/sh
# Runs the case; TROUBLE=0 runs it without the disruption. Exit: 0 the rule held, 1 it was broken, 2 the case couldn't run.
folder=$(cd "$(dirname "$0")" && pwd) && cd "$folder/../.." || exit 2
[ -x bin/sloetrestle ] || { echo "build first, with the deploy file's build"; exit 2; }
[ -x bin/review2-10 ] || sh review/build-2.sh || exit 2
exec bin/review2-10 "$folder"
