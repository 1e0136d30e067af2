# Sourced by the run.sh of each case: runs its program with the run command of the deploy file.
case_folder=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$case_folder/../.." && pwd)
RUN=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' "$ROOT/deploy/balancer.toml")
RECORD=$case_folder/record.txt
TROUBLE=${TROUBLE:-1}
program=$ROOT/review/bin/case$(basename "$case_folder")
export ROOT RUN RECORD TROUBLE
[ -x "$program" ] && [ -x "$ROOT/bin/sloetrestle" ] || { echo "build first: the deploy file's build, then review/build.sh" >&2; exit 2; }
exec "$program"
