//! An entry instance: callers, administration and upstreams.
//!
//! One thread owns all state of an instance, so no lock stands on the path of a request; orders
//! to engines alone leave from a thread of their own, at which the lease guard is aimed. See
//! docs/ARCHITECTURE.md.

mod admin;
mod app;
mod auth;
mod beats;
mod booking;
mod call;
mod caller;
mod completion;
mod control;
mod engine;
mod error;
mod follow;
mod instance;
mod lookup;
mod metrics;
mod openai;
mod ordering;
mod platform;
mod pump;
mod refusal;
mod resume;
mod routes;
mod upstreams;

pub use error::{Error, Result};
pub use instance::Instance;
