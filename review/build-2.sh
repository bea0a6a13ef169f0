#!/bin/bash
# Builds every stand-in that the scripts of the second review (review/6 to review/10) start. Run it after the build of
# deploy/balancer.toml. It needs the Go tool chain and no network: the stand-ins use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/standin-2 ./review/standin-2/testdata
