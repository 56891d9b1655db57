#!/bin/sh
# Builds the programs that the cases in review/ start, into target/review. It is part of the build
# of deploy/system.toml, so that the cases need no build of their own: that one fails without a go
# command or modules, and in a checkout that belongs to another user. A fault here does not fail
# the build of the system.
cd "$(dirname "$0")/.." || exit 0
for program in harness stand2; do
	if [ -d "review/_$program" ]; then
		mkdir -p target/review && go build -buildvcs=false -o "target/review/$program" "./review/_$program" ||
			echo "build-standins: target/review/$program is not built; the cases in review/ that use it cannot run" >&2
	fi
done
