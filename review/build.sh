#!/usr/bin/env bash
# Builds the programs of the cases, which hold their stand-ins, with the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in broken head stop uploads waiting; do
    rustc --edition 2024 -O -o "target/review/$case" "review/standins/$case.rs"
done
