//! Serves language models and plain services from a fixed fleet of upstreams.
//!
//! The areas are crates of their own; this one gathers them for the programs under `src/bin`,
//! which only read their command line and call in here. See docs/ARCHITECTURE.md.

pub mod benches;
pub mod daemon;
pub mod demo;
pub mod logging;

pub use {
    conf, ctl, entry, fault, feed, lease, load, model, once, peer, perf, plan, standin, tick, wire,
};
