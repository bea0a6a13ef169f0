#!/bin/bash
# Build, format, vet, static checks (lint/run.sh) and tests with the race detector.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
go build -o bin/ ./...
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
	echo "not gofmt'ed: $unformatted" >&2
	exit 1
fi
go vet ./...
bash lint/run.sh
# KNOWN-RED.txt lists tests that fail because of known faults that are not fixed yet, one line each: name, cause, issue.
# These tests are skipped, and the list is printed.
known_red=
if [ -f KNOWN-RED.txt ]; then
	known_red=$(cut -d: -f1 KNOWN-RED.txt | paste -sd '|')
fi
if [ -n "$known_red" ]; then
	if [ "$(wc -l <KNOWN-RED.txt)" -gt 3 ]; then
		echo "KNOWN-RED.txt: over three lines" >&2
		exit 1
	fi
	echo "known failures, passed over:"
	cat KNOWN-RED.txt
fi
go test -race -timeout 420s ${known_red:+-skip "^($known_red)\$"} ./...
