//! Simulation model of engines and of request traffic.
//!
//! The stand-ins run the model in real time, the benches in virtual time. docs/BENCH.md states
//! where its parameters come from and what it leaves out.

mod batch;
mod prefix;
mod serving;
mod traffic;

pub use batch::{Batch, Iteration, Job};
pub use prefix::PrefixCache;
pub use serving::{
    EngineSheet, Generation, Part, Progress, QueueFull, ServingEngine, ServingIteration,
    ServingLoad, ServingStage,
};
pub use traffic::{Deployment, Phase, RequestKind, RequestSizes, TrafficMix};
