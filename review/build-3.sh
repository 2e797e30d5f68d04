#!/bin/bash
# Builds the stand-ins of the cases 9 to 13. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2021 -O -o target/review-3/standin-3 review/standin-3.rs
