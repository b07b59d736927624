#!/usr/bin/env bash
# Builds the stand-ins of the second review: one program with the standard library only. The build
# command of the deploy file has to run first, because it makes the folder and the broker.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
exec rustc --edition 2024 -O -o target/review-2 review/standin-2/main.rs
