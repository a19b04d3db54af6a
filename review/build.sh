#!/bin/sh
# Builds the stand-ins of the scripts, without a network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/standin/main.rs
