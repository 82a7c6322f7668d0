#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. It needs no network: they use the standard library alone.
set -eu
cd "$(dirname "$0")/stand"
CGO_ENABLED=0 go build -o bin/stand .
