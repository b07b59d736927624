#!/bin/sh
# Builds the stand-ins and clients of the cases. They need nothing but the Rust compiler.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
rustc --edition 2024 -O -o bin/standin standin/main.rs
