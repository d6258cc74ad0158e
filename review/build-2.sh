#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. They use only the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2/release
mkdir -p "$out"
rustc --edition 2024 -O --crate-type rlib --crate-name review_standins_2 \
  review/standins-2/src/lib.rs -o "$out/libreview_standins_2.rlib"
for source in review/standins-2/src/bin/*.rs; do
  name=$(basename "$source" .rs)
  rustc --edition 2024 -O --crate-name "${name//-/_}" "$source" \
    --extern "review_standins_2=$out/libreview_standins_2.rlib" -o "$out/$name"
done
