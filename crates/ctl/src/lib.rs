//! The operators' command line.
//!
//! It talks to the administration API of any instance; all of them give the same answers. See
//! docs/OPERATIONS.md.

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
