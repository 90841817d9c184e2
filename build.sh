#!/bin/bash
# Builds the program with the build command from deploy/balancer.toml, the only place that defines it and the one that
# operators use. Requires Go, a C compiler for linking, and the module proxy.
set -euo pipefail
cd "$(dirname "$0")"
if ! command -v "${CC:-cc}" >/dev/null; then
	echo "build.sh: C compiler ${CC:-cc} not found; install gcc or clang (the program is linked against the C library)"
	exit 1
fi
eval "$(sed -n 's/^build *= *"\(.*\)"$/\1/p' deploy/balancer.toml)"
