#!/bin/sh
# Builds the stand-ins and cases of the second review, with the compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standin review/standin-2/tests/main.rs
