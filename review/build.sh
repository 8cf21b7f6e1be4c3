#!/bin/sh
# Builds the stand-ins of the cases. The gateway is built by the deploy file's command.
set -eu
cd "$(dirname "$0")/rig"
mkdir -p ../../bin
CGO_ENABLED=0 go build -o ../../bin/review-rig .
