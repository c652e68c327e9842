//! Errors of the log service.

use derive_more::{Display, Error};

/// Whether a failed call may have taken effect.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum AppendEffect {
    /// The call took no effect.
    #[display("not done")]
    NotApplied,
    /// The call may have taken effect, or may still do so.
    #[display("unknown")]
    Unknown,
}

/// A call to the log service failed.
#[derive(Debug, Display, Error, Clone)]
#[display("{operation} at {peer}: {detail} ({effect})")]
pub struct Error {
    /// Operation that failed.
    pub operation: &'static str,
    /// Address of the log service.
    pub peer: String,
    /// What went wrong.
    pub detail: String,
    /// Whether the call may have taken effect.
    pub effect: AppendEffect,
}

/// Result of a call to the log service.
pub type Result<T> = std::result::Result<T, Error>;
