#!/bin/sh
# Discovery takes 2.3 s to write the message by which half of the model hosts begin to drain.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../../../.." || exit 2
[ -x bin/review2 ] && [ -x bin/sloetrestle ] || { echo "build first: the deploy file's build, then review/build-2.sh"; exit 2; }
exec bin/review2 slow-change "$here/record.txt"
