#!/bin/sh
# Builds the stand-ins of the cases; the program of the deploy file is built before.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
