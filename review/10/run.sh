#!/bin/bash
# Runs this case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption. Requires the build of deploy/balancer.toml and review/build-2.sh.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
exec review/second/bin/second "$(basename "$folder")" "$folder"
