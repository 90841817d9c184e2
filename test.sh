#!/bin/bash
# Format, vet, build and tests; needs Go, a C compiler and the module proxy, nothing else.
set -euo pipefail
cd "$(dirname "$0")"
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
	echo "gofmt would change: $unformatted"
	exit 1
fi
go vet ./...
bash build.sh
go test -count=1 -timeout 3m ./...
