#!/bin/bash
# Format, vet, lint, build and tests (.ci/tests, with what KNOWN-RED.txt lists); needs Go, a C compiler and the module
# proxy, nothing else. The linter is the one that tools/go.mod pins; .golangci.yml says what it looks at.
set -euo pipefail
cd "$(dirname "$0")"
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
	echo "gofmt would change: $unformatted"
	exit 1
fi
go vet ./...
go tool -modfile=tools/go.mod golangci-lint run
bash build.sh
bash .ci/tests-check
bash .ci/tests
