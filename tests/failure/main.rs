//! Failures of real processes and stand-ins while requests are in flight.

#[path = "../common/mod.rs"]
mod common;

mod claims;
mod engines;
mod helpers;
mod instances;
mod log;
