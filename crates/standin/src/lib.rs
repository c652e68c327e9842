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

pub use engine::{EngineFaults, EngineOptions, EngineStandin, POISON_MARKER, PoisonBehavior};
pub use instances::{InstanceEntry, InstanceList, InstanceState, register};
pub use log::{LogFaults, LogStandin};

pub use service::{ServiceFaults, ServiceOptions, ServiceStandin};
pub use text::{expected_text, expected_token, prompt_tokens};
pub use weights::WeightStoreStandin;
