#!/usr/bin/env bash
# Builds the cases with their stand-ins. Needs Go's standard library only, and no network.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for n in 1 2 3; do
	if [ -f "$n/main.go" ]; then
		GOFLAGS=-mod=mod GOWORK=off go build -o "bin/case$n" "./$n"
	fi
done
