//! Stand-ins for the platform and the upstreams, with fault injection.
//!
//! Each is an HTTP server that can be started in a test, in the demo or as a process with
//! `chicoryrack standin`. Engines, the log and services take their faults from `PUT /faults`.

mod engine;
mod instances;
mod log;
mod service;
mod text;
mod weights;

pub use engine::{
    EndingBehavior, EngineFaults, EngineOptions, EngineStandin, POISON_MARKER, PoisonBehavior,
};
pub use instances::{InstanceEntry, InstanceList, InstanceState, register};
pub use log::{LogFaults, LogStandin};
pub use service::{ServiceFaults, ServiceOptions, ServiceStandin};
pub use text::{expected_text, expected_token, prompt_tokens};
pub use weights::WeightStoreStandin;
