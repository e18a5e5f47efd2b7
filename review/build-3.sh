#!/bin/sh
# Builds the stand-ins of the third review, with the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O review/standin-3/tests/main.rs -o target/review-3/standin-3
