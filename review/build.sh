#!/bin/sh
# Builds the stand-ins of the scripts in this folder. They use the standard library only.
set -eu
cd "$(dirname "$0")"
mkdir -p ../target/review
rustc --edition 2024 -O -o ../target/review/stand 1/main.rs
