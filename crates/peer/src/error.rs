//! Failures between instances.

use derive_more::{Display, Error};

/// Another instance did not do what was asked.
#[derive(Debug, Display, Error, Clone)]
#[display("{operation} at {peer}: {detail}")]
pub struct Error {
    /// What was being done.
    pub operation: &'static str,
    /// Address of the other instance.
    pub peer: String,
    /// What went wrong.
    pub detail: String,
    /// Whether the connection could not be made, so that nothing was asked.
    pub never_sent: bool,
}

/// Result of a call to another instance.
pub type Result<T> = std::result::Result<T, Error>;
