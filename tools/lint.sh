#!/bin/bash
# Runs golangci-lint on all packages, tests included, with the checks of .golangci.yml. tools/go.mod pins its version.
# The script builds that version into bin/ if bin/ has no golangci-lint or another version of it.
set -euo pipefail
cd "$(dirname "$0")/.."

module=github.com/golangci/golangci-lint/v2
linter=bin/golangci-lint

version=$(go -C tools list -m -f '{{.Version}}' "$module")
if ! go version -m "$linter" 2>/dev/null | grep -qF "$module	$version	"; then
	echo "building golangci-lint $version into bin/" >&2
	mkdir -p bin
	go -C tools build -o "../$linter" "$module/cmd/golangci-lint"
fi
exec "$linter" run --allow-parallel-runners ./...
