#!/bin/sh
# Builds the stand-ins of the cases of the second review (one program a case, the standard library only) into
# target/review-2. Run from anywhere, after the build of the deploy file. Needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/case.rs; do
    number=$(basename "$(dirname "$source")")
    rustc --edition 2021 -O -o "target/review-2/case-$number" "$source"
done
