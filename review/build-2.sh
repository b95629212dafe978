#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. Needs the Rust toolchain alone: they use its standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/stand_ins_2 review/stand_ins_2/main.rs
