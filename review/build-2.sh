#!/usr/bin/env bash
# Builds every stand-in that a script of the second review starts. It needs no network: the package has no dependency.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2
