#!/bin/bash
# Runs the case; claim.txt says what it shows. It exits with 1 if the rule was broken, 0 if it held, 2 if the case could
# not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x bin/lanewheel ] || [ ! -x review/bin/link ]; then
	echo "bin/lanewheel or review/bin/link is missing: run build.sh and review/build.sh first"
	exit 2
fi
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
timeout -k 5 115 review/bin/link review/1/record.txt
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
