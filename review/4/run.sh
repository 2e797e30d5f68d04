#!/bin/sh
# Runs from any folder, after the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/world ] && [ -x target/release/sprucerudder ] || exit 2
exec target/review-2/world zone review/4
