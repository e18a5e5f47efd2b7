#!/usr/bin/env bash
# Builds the stand-ins of the review cases, with the compiler alone. The build of the deploy file
# comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stand_in review/tests/stand_in.rs
