#!/bin/sh
# Builds the stand-ins of the review's scripts with the compiler alone; needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stale_check review/2/stale_check.rs
rustc --edition 2024 -O -o target/review/big_bodies review/3/big_bodies.rs
