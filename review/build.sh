#!/bin/sh
# Builds the stand-ins of the cases into review/bin/, after the build of the deploy file. Only the standard library is used.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
CGO_ENABLED=0 go build -o review/bin/rig ./review/rig
