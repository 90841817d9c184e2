#!/bin/bash
# Builds what the operators build: the line stands in deploy/balancer.toml and nowhere else. Needs Go, a C compiler for the linking,
# and the module proxy.
set -euo pipefail
cd "$(dirname "$0")"
if ! command -v "${CC:-cc}" >/dev/null; then
	echo "build.sh: no C compiler (${CC:-cc}): the deployed program is linked against the C library; install gcc or clang"
	exit 1
fi
eval "$(sed -n 's/^build *= *"\(.*\)"$/\1/p' deploy/balancer.toml)"
