#!/bin/sh
# Builds the stand-ins of the cases, each a single program of the standard library alone, into target/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for main in review/*/main.rs; do
  case=$(basename "$(dirname "$main")")
  rustc --edition 2024 -O -o "target/review/case-$case" "$main"
done
