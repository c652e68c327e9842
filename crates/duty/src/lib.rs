//! What one instance does for the whole fleet.
//!
//! Every instance counts what runs for whom, and what it has counted reaches a few others soon ([`UsageLedger`]). Of these
//! one reports each window of time once ([`UsageReports`]) and orders engines ([`scale`]). Who that is, and that no two are
//! heard at a time, rests on `lease::AppendLease`. Nothing here does input or output. See docs/design/duties.md.

mod ledger;
mod reports;
pub mod scale;
mod windows;

pub use ledger::UsageLedger;
pub use reports::{ReportAction, UsageReport, UsageReports};
pub use windows::UsageWindows;
