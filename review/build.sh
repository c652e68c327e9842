#!/bin/sh
# Builds the stand-ins that the scripts start. Needs no network: the program has no dependencies.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --locked --manifest-path review/rig/Cargo.toml
