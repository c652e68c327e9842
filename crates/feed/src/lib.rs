//! State machine over the platform's log, and the client of the log service.
//!
//! The order of the log decides all conflicts in a deployment: every instance applies the same
//! records in the same order, so all of them accept and refuse the same ones. The state machine
//! must therefore not depend on clocks or random numbers. See docs/design/log.md.

mod audit;
mod bundles;
mod error;
mod http;
mod leases;
mod log_reader;
mod outbox;
mod state;

pub use error::{AppendEffect, Error, Result};
pub use http::HttpLog;
pub use log_reader::{AppliedRecord, LogReader};
pub use outbox::Outbox;
pub use state::{Outcome, State};

/// An encoded record and its offset in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawRecord {
    /// Offset in the log.
    pub offset: u64,
    /// Encoded record, as appended.
    pub data: Vec<u8>,
}

/// Result of a read of the log.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Page {
    /// Oldest offset that the log still retains.
    pub oldest_offset: u64,
    /// Offset at which to continue reading.
    pub next_offset: u64,
    /// Records from the requested offset on.
    pub records: Vec<RawRecord>,
}

/// The platform's append-only log.
#[allow(async_fn_in_trait, reason = "every caller runs on one thread")]
pub trait Log {
    /// Appends records in order and returns the offset of the first.
    async fn append(&self, records: &[Vec<u8>]) -> Result<u64>;

    /// Reads records from an offset on, and waits up to `wait_ms` if there are none.
    async fn read(&self, from: u64, wait_ms: u64) -> Result<Page>;
}
