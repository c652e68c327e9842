//! Errors of remote calls between instances.

use derive_more::{Display, Error};

/// A call to another instance failed.
#[derive(Debug, Display, Error, Clone)]
#[display("{operation} at {peer}: {detail}")]
pub struct Error {
    /// Operation that failed.
    pub operation: &'static str,
    /// Address of the other instance.
    pub peer: String,
    /// What went wrong.
    pub detail: String,
    /// Whether the connection failed, so that nothing was sent.
    pub never_sent: bool,
}

/// Result of a call to another instance.
pub type Result<T> = std::result::Result<T, Error>;
