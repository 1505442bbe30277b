#!/usr/bin/env bash
# Builds the linter at the version that tools/go.mod pins, and runs it over the tree with .golangci.yml, then over the
# packages on a request's way with .golangci.request-path.yml, and over package policy with .golangci.policy.yml.
# Arguments are passed on to golangci-lint in place of that: `scripts/lint.sh ./internal/counter/...` checks one package
# with .golangci.yml, `scripts/lint.sh --fix` fixes what can be fixed automatically.
set -euo pipefail
cd "$(dirname "$0")/.."
request_path=(./policy/... ./internal/dispatch/... ./internal/counter/... ./internal/discovery/...
	./internal/backend/... ./internal/frontend/... ./internal/limitserver/...)
go build -C tools -o ../bin/golangci-lint github.com/golangci/golangci-lint/v2/cmd/golangci-lint
if [ $# -gt 0 ]; then
	exec bin/golangci-lint run "$@"
fi
bin/golangci-lint run
bin/golangci-lint run -c .golangci.request-path.yml "${request_path[@]}"
bin/golangci-lint run -c .golangci.policy.yml ./policy/...
