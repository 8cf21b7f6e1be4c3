#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. The gateway itself is built by the command of the deploy file.
set -eu
cd "$(dirname "$0")/rig2"
mkdir -p bin
go build -o bin/rig2 .
