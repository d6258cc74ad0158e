#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. They use only the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standins-2/Cargo.toml \
  --target-dir target/review-2
