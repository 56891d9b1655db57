#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases. Run after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/harness ./review/_harness
