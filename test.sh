#!/bin/bash
# Format, vet, build and tests (.ci/tests, with what KNOWN-RED.txt lists); needs Go, a C compiler and the module proxy, nothing else.
set -euo pipefail
cd "$(dirname "$0")"
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
	echo "gofmt would change: $unformatted"
	exit 1
fi
go vet ./...
bash build.sh
bash .ci/tests-check
bash .ci/tests
