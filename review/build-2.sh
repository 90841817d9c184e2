#!/bin/bash
# Builds the stand-ins of the second review's cases: one program that plays the clients, the runtimes and the broker.
# Run it after the line "build" of deploy/balancer.toml. Requires Go and no network beyond what that line has fetched.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/second/bin/second ./review/second
