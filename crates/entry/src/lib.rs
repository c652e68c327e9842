//! An entry instance: callers, administration and upstreams.
//!
//! One thread owns all state of an instance, so no lock stands on the path of a request; orders
//! to engines alone leave from a thread of their own, at which the lease guard is aimed. See
//! docs/ARCHITECTURE.md.

mod admin;
mod app;
mod auth;
mod call;
mod completion;
mod control;
mod engine;
mod error;
mod heartbeats;
mod instance;
mod instance_list;
mod load_guard;
mod log_follower;
mod lookup;
mod metrics;
mod openai;
mod order_sender;
mod refusal;
mod request_context;
mod resume;
mod routes;
mod runner;
mod upstreams;

pub use error::{Error, Result};
pub use instance::Instance;
