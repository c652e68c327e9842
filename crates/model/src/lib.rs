//! What the system serves: engines iteration by iteration, and the mixes of requests.
//!
//! The stand-ins run it in real time and the benches in virtual time; docs/BENCH.md states its
//! source and its limits.

mod batch;
mod prefix;
mod traffic;

pub use batch::{Batch, Iteration, Job};
pub use prefix::PrefixCache;
pub use traffic::{Deployment, Phase, RequestKind, RequestSizes, TrafficMix};
