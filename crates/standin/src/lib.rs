//! Small stand-ins for the platform and for upstreams, with fault switches.
//!
//! Each is an HTTP service of its own and can be started inside a test, inside the demo or as a
//! process by `chicoryrack standin`. `PUT /faults` sets its fault switches.

mod engine;
mod instances;
mod log;

mod service;
mod text;
mod weights;

pub use engine::{AtPoison, EngineFaults, EngineOptions, EngineStandin, POISON};
pub use instances::{InstanceList, Listed, Standing, register};
pub use log::{LogFaults, LogStandin};

pub use service::{ServiceFaults, ServiceOptions, ServiceStandin};
pub use text::{expected_text, prompt_tokens, word};
pub use weights::WeightStandin;
