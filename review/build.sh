#!/bin/bash
# Builds the stand-ins and the drivers of the cases into review/bin. It needs the modules that the build of the deploy
# file has fetched, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/ ./review/cmd/...
