//! Failures at the log service.

use derive_more::{Display, Error};

/// What is known of an append that failed.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum AppendEffect {
    /// It took no effect.
    #[display("not done")]
    NotApplied,
    /// It may have taken effect, or may yet.
    #[display("unknown")]
    Unknown,
}

/// The log service did not do what was asked.
#[derive(Debug, Display, Error, Clone)]
#[display("{operation} at {peer}: {detail} ({effect})")]
pub struct Error {
    /// What was being done.
    pub operation: &'static str,
    /// Address of the log service.
    pub peer: String,
    /// What went wrong.
    pub detail: String,
    /// Whether it may have taken effect.
    pub effect: AppendEffect,
}

/// Result of a call to the log service.
pub type Result<T> = std::result::Result<T, Error>;
