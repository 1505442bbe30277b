#!/usr/bin/env bash
# Builds the linter at the version that tools/go.mod pins, and runs it over the tree with .golangci.yml. Arguments
# are passed on to golangci-lint: `scripts/lint.sh ./internal/counter/...` checks one package, `scripts/lint.sh --fix`
# fixes what can be fixed automatically.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -C tools -o ../bin/golangci-lint github.com/golangci/golangci-lint/v2/cmd/golangci-lint
exec bin/golangci-lint run "$@"
