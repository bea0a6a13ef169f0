#!/bin/sh
# Builds the stand-ins of the review's cases. Needs the Go tool chain and no network.
set -eu
cd "$(dirname "$0")/testdata/rig"
GOFLAGS= GOWORK=off GOPROXY=off go build -o ../../bin/rig .
