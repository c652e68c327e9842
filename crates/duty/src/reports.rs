//! Which window's usage is to be reported now, and with which counts.
//!
//! Failure: an instance reports a window and dies before its answer; the next one has heard of a few more requests and
//! reports other counts. So counts are fixed in a log that all who report read, before they are sent, and whoever sends
//! the window again sends those.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::UsageWindows;

/// Time after a window's end in which tallies of it still come, in ms: what was counted last reaches the hub and from
/// there those that report, several times each.
const SETTLE_MS: u64 = 2_000;

/// Time after a call until the same window is sent once more, in ms.
const RETRY_MS: u64 = 1_500;

/// Time after its end for which a window is still sent, in ms: late is better than never, and in the end the next ones
/// matter more.
const LATE_MS: u64 = 40_000;

/// Time after its end for which a window that another instance has fixed is sent once more, in ms: its answer may not
/// have come, and only that instance knows.
const OTHERS_MS: u64 = 12_000;

/// A window's counts as they stand in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Number of the window.
    pub window: u64,
    /// Requests by name of the workspace.
    pub counts: BTreeMap<String, u64>,
}

/// What is to be done now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReportAction {
    /// Its counts are to be fixed and sent.
    Fix(u64),
    /// It is to be sent as it was fixed.
    Send(UsageReport),
}

#[derive(Debug, Clone)]
struct Fixed {
    report: UsageReport,
    is_accepted: bool,
    is_own: bool,
    tried_ms: Option<u64>,
}

/// What is known of the reports so far. All times are the fleet's, in ms since 1970.
#[derive(Debug, Clone)]
pub struct UsageReports {
    windows: UsageWindows,
    /// Windows from this one on are this instance's to tell: it has been there for all of them.
    first: u64,
    fixed: BTreeMap<u64, Fixed>,
}

impl UsageReports {
    /// Of an instance that starts now.
    pub fn new(windows: UsageWindows, now_ms: u64) -> Self {
        Self {
            windows,
            first: windows.at(now_ms) + 1,
            fixed: BTreeMap::new(),
        }
    }

    /// The log holds a report; the first of a window counts.
    pub fn record_fixed(&mut self, report: UsageReport, is_own: bool) {
        let window = report.window;
        self.fixed.entry(window).or_insert(Fixed {
            report,
            is_accepted: false,
            is_own,
            tried_ms: None,
        });
    }

    /// The log may have lost reports that were sent: windows that ended before are not fixed anew, since nobody knows
    /// whether they were reported with other counts.
    pub fn log_was_lost(&mut self, now_ms: u64) {
        self.first = self.first.max(self.windows.at(now_ms));
    }

    /// A window was sent, and accepted or not.
    pub fn record_sent(&mut self, now_ms: u64, window: u64, is_accepted: bool) {
        if let Some(fixed) = self.fixed.get_mut(&window) {
            fixed.tried_ms = Some(now_ms);
            fixed.is_accepted |= is_accepted;
        }
    }

    /// The oldest window for which something is to be done; `is_known` tells whether anything is known of what ran in one.
    pub fn next_action(
        &mut self,
        now_ms: u64,
        is_known: impl Fn(u64) -> bool,
    ) -> Option<ReportAction> {
        let oldest = self.windows.at(now_ms.saturating_sub(LATE_MS));
        self.fixed = self.fixed.split_off(&oldest);
        let is_over = |window: &u64| now_ms >= self.windows.end_ms(*window) + SETTLE_MS;
        (oldest..=self.windows.at(now_ms))
            .take_while(is_over)
            .find_map(|window| match self.fixed.get(&window) {
                Some(fixed) => self
                    .is_to_be_sent(now_ms, fixed)
                    .then(|| ReportAction::Send(fixed.report.clone())),
                None => {
                    (window >= self.first || is_known(window)).then_some(ReportAction::Fix(window))
                }
            })
    }

    fn is_to_be_sent(&self, now_ms: u64, fixed: &Fixed) -> bool {
        let end_ms = self.windows.end_ms(fixed.report.window);
        match fixed.tried_ms {
            _ if fixed.is_accepted => false,
            Some(tried_ms) => now_ms >= tried_ms + RETRY_MS,
            None => fixed.is_own || now_ms < end_ms + OTHERS_MS,
        }
    }
}
