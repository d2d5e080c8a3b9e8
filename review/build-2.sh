#!/bin/sh
# Builds the stand-ins that the scripts of review/4 to review/8 start.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/4/stand/Cargo.toml --target-dir target/review-2
