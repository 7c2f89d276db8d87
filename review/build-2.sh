#!/bin/bash
# Builds the stand-ins of the second review into review/bin/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
go build -buildvcs=false -o bin/rig2 ./rig2
