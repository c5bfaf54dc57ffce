#!/bin/sh
# Builds the programs that the scripts of this review start, except the system itself, which the build
# command of deploy/system.toml builds.
set -e
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
for case in review/standins-3/case_*.rs; do
    name=$(basename "$case" .rs)
    rustc --edition 2024 -O "$case" -o "$out/$name"
done
