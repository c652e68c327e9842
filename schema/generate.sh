#!/usr/bin/env bash
# Regenerates the committed code from the schemas. It needs capnp, capnpc-rust (from the crate
# capnpc 0.27) and cargo-typify on PATH. Builds do not run it.
set -eu
cd "$(dirname "$0")/.."
capnp compile --src-prefix=schema -o "$(command -v capnpc-rust)":crates/wire/src/gen schema/record.capnp schema/peer.capnp
for kind in settings bundle; do
  cargo typify schema/$kind.json --no-builder --output crates/conf/src/gen/$kind.rs
done
cargo fmt -p wire -p conf
