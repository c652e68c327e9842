//! Implements `chicoryctl`, the command line for operators.
//!
//! It sends requests to the administration API of any one instance, as all instances accept the
//! same commands. See docs/OPERATIONS.md.

mod client;
mod error;
mod flags;
mod output;
mod run;
mod trace;

pub use error::{Error, Result};
pub use flags::Chicoryctl;
pub use run::run;
pub use trace::request_timeline;
