//! An entry instance: serves callers, the administration API and peers, and sends requests to
//! upstreams.
//!
//! One thread owns all state of an instance, so that requests need no locks. Only orders to engines
//! are sent from a separate thread, which is the target of the lease guard's signal. See
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
