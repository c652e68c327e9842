//! Serves language models and plain services from a fixed fleet of upstreams.
//!
//! Most of the code is in the crates of the workspace. This crate combines them for the programs
//! under `src/bin`, which only parse their command line and call into it. See
//! docs/ARCHITECTURE.md.

pub mod benches;
pub mod daemon;
pub mod demo;
pub mod logging;

pub use {
    conf, ctl, entry, fault, feed, lease, load, model, once, peer, perf, plan, standin, tick, wire,
};
