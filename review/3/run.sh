#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out. Exit: 1 rule broken, 0 held, 2 cannot run.
cd "$(dirname "$0")"
export CASE_ROOT="$PWD/../.." CASE_RECORD="$PWD/record.txt"
[ -x ../bin/case3 ] && [ -x ../../bin/fawnplank ] || { echo "build first: deploy file's build, then review/build.sh"; exit 2; }
exec ../bin/case3
