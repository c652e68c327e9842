//! Callers that look instances up, retry and resume, and what became of their requests.
//!
//! The demo and the load command drive a deployment with these, and check every answer against
//! the text that the stand-ins are known to produce.

mod caller;
mod completion;
mod generator;

mod service;
mod tally;

pub use caller::{Caller, Tenant};
pub use completion::{CompletionRequest, RequestResult};
pub use generator::{LoadRun, run};

pub use tally::{ClassCounts, Outcome, Tally};
