#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. Run it after the build of
# deploy/system.toml.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review && go build -o target/review/stand2 ./review/_stand2
