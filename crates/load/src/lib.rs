//! Load generator: callers that look up instances, retry and resume, with outcome counts.
//!
//! The demo drives a deployment with it. Every answer is checked against the deterministic text
//! that the engine stand-ins produce.

mod caller;
mod completion;
mod generator;
mod mix;
mod served;
mod service;
mod tally;

pub use caller::{Caller, Tenant};
pub use completion::{CompletionRequest, RequestResult};
pub use generator::{LoadRun, run};
pub use mix::{
    CallKind, ClassSampler, DrawnPart, DrawnSizes, GenerationSizes, RequestClass, SharedPart,
    SizeDistribution, Swing,
};
pub use served::{Ending, Floors, Served, ServedRequest, ServiceRecord, Shortfall, SizeClass};
pub use tally::{ClassCounts, Outcome, Tally};
