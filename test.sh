#!/bin/bash
# Checks the format, runs vet and the linter, builds, and runs the tests with .ci/tests, which ignores the failures
# listed in KNOWN-RED.txt. Requires only Go, a C compiler and the module proxy. tools/go.mod pins the linter's version,
# and .golangci.yml configures it.
set -euo pipefail
cd "$(dirname "$0")"
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
	echo "files are not formatted with gofmt: $unformatted"
	exit 1
fi
go vet ./...
go tool -modfile=tools/go.mod golangci-lint run
bash build.sh
bash .ci/tests-check
bash .ci/tests
