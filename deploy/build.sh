#!/bin/sh
# Builds both programs into bin/, linked dynamically against the C library: where the platform loads a library of its own into each
# gateway, a static program would not take it.
set -eu
cd "$(dirname "$0")/.."
compiler=$(go env CC)
if ! command -v "${compiler%% *}" >/dev/null 2>&1; then
	echo "spanmux: no C compiler ('$compiler'): gcc and the C library's headers are needed to link against the C library" >&2
	exit 1
fi
mkdir -p bin
CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...
