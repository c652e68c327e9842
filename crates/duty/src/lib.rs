//! Singleton tasks: work that one instance does for the whole fleet.
//!
//! Every instance counts the requests of each workspace, and its counts reach a few peers soon
//! ([`UsageLedger`]). One of those, the fleet leader, reports each time window once
//! ([`UsageReports`]) and orders engines ([`scale`]). `lease::AppendLease` decides which instance
//! that is, and ensures that at most one is obeyed at a time. Nothing here does I/O. See
//! docs/design/duties.md.

mod ledger;
mod reports;
pub mod scale;
mod windows;

pub use ledger::UsageLedger;
pub use reports::{ReportAction, UsageReport, UsageReports};
pub use windows::UsageWindows;
