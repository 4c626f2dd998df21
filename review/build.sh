#!/bin/sh
# Builds the stand-ins of the cases, with the Rust compiler and its standard library only.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review"
for name in tombstones silent_watch refused_after_run second_copy; do
    rustc --edition 2021 -O -A warnings -o "$root/target/review/$name" "$root/review/standins/$name.rs"
done
