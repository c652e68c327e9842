//! Real programs that are killed, paused and stopped under real requests.

#[path = "../common/mod.rs"]
mod common;

mod claims;
mod engines;
mod helpers;
mod instances;
mod log;
