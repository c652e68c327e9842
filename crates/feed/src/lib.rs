//! State folded from the platform's log, and the edge to the log service.
//!
//! The order of the log is the only arbiter in a deployment: every instance folds the same
//! records in the same order, so all of them accept and refuse the same ones. Nothing here reads
//! a clock or draws a random number. See docs/design/log.md.

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

/// One record with its place in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawRecord {
    /// Offset that the log gave it.
    pub offset: u64,
    /// The record as it was appended.
    pub data: Vec<u8>,
}

/// What a read of the log gives.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Page {
    /// Oldest offset that the log still keeps.
    pub oldest_offset: u64,
    /// Where to read on.
    pub next_offset: u64,
    /// Records from the asked offset on.
    pub records: Vec<RawRecord>,
}

/// The platform's append-only log.
#[allow(async_fn_in_trait, reason = "every caller runs on one thread")]
pub trait Log {
    /// Appends records in order and gives the offset of the first.
    async fn append(&self, records: &[Vec<u8>]) -> Result<u64>;

    /// Reads from an offset on; with nothing there the answer may wait for `wait_ms`.
    async fn read(&self, from: u64, wait_ms: u64) -> Result<Page>;
}
