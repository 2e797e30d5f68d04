#!/bin/sh
# Builds the stand-ins of the second review's cases. Needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O review/world/main.rs -o target/review-2/world
