//! Which usage window must be reported now, and with which counts.
//!
//! An instance may report a window and end before the answer arrives. Its successor has received a
//! few more tallies and would report other counts. So the counts of a window are fixed in a log
//! that all reporting instances read, before they are sent, and an instance that resends the window
//! sends those counts.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::UsageWindows;

/// How long after a window's end its tallies may still arrive, in ms. The last counts travel to the
/// hub, and from there to the reporting instances, in several datagrams each.
const SETTLE_MS: u64 = 2_000;

/// Pause before a window is resent, in ms.
const RETRY_MS: u64 = 1_500;

/// How long after its end a window is still sent, in ms. A late report is better than none, but in
/// the end the later windows matter more.
const GIVE_UP_MS: u64 = 40_000;

/// How long after its end a window that another instance has fixed is sent once more, in ms. Only
/// that instance knows whether it was accepted.
const SEND_FOR_OTHERS_MS: u64 = 12_000;

/// The counts of a window as the log has them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Number of the window.
    pub window: u64,
    /// Started requests by name of the workspace.
    pub counts: BTreeMap<String, u64>,
}

/// The next step of a report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReportAction {
    /// Fix the counts of this window in the log and send them.
    Fix(u64),
    /// Send a report whose counts are fixed.
    Send(UsageReport),
}

#[derive(Debug, Clone)]
struct Fixed {
    report: UsageReport,
    is_accepted: bool,
    is_own: bool,
    last_sent_ms: Option<u64>,
}

/// Progress of the reports. All times are the fleet's, in ms since 1970.
#[derive(Debug, Clone)]
pub struct UsageReports {
    windows: UsageWindows,
    /// First window that this instance has seen from its start on. It reports windows from here on
    /// even if nothing ran in them.
    first_own_window: u64,
    /// First window that the log cannot have lost a report of.
    first_kept_window: u64,
    fixed: BTreeMap<u64, Fixed>,
}

impl UsageReports {
    /// The reports of an instance that starts at `now_ms`.
    pub fn new(windows: UsageWindows, now_ms: u64) -> Self {
        Self {
            windows,
            first_own_window: windows.at(now_ms) + 1,
            first_kept_window: 0,
            fixed: BTreeMap::new(),
        }
    }

    /// Records a report that the log holds. The first one of a window counts.
    pub fn record_fixed(&mut self, report: UsageReport, is_own: bool) {
        let window = report.window;
        self.fixed.entry(window).or_insert(Fixed {
            report,
            is_accepted: false,
            is_own,
            last_sent_ms: None,
        });
    }

    /// Records that the log may have lost reports that were sent. Windows that ended before are not
    /// fixed again, since they may have been reported with other counts, whatever tallies of them are known here.
    pub fn log_was_lost(&mut self, now_ms: u64) {
        self.first_kept_window = self.first_kept_window.max(self.windows.at(now_ms));
    }

    /// Records that a window was sent, and whether it was accepted.
    pub fn record_sent(&mut self, now_ms: u64, window: u64, is_accepted: bool) {
        if let Some(fixed) = self.fixed.get_mut(&window) {
            fixed.last_sent_ms = Some(now_ms);
            fixed.is_accepted |= is_accepted;
        }
    }

    /// The step that is due for the oldest window that needs one. `is_known` says whether any tally
    /// of a window is known.
    pub fn next_action(
        &mut self,
        now_ms: u64,
        is_known: impl Fn(u64) -> bool,
    ) -> Option<ReportAction> {
        let oldest = self.windows.at(now_ms.saturating_sub(GIVE_UP_MS));
        self.fixed = self.fixed.split_off(&oldest);
        let is_over = |window: &u64| now_ms >= self.windows.end_ms(*window) + SETTLE_MS;
        (oldest..=self.windows.at(now_ms))
            .take_while(is_over)
            .find_map(|window| {
                if let Some(fixed) = self.fixed.get(&window) {
                    let must_send = self.must_send(now_ms, fixed);
                    return must_send.then(|| ReportAction::Send(fixed.report.clone()));
                }
                let is_counted = window >= self.first_own_window || is_known(window);
                let is_kept = window >= self.first_kept_window;
                (is_counted && is_kept).then_some(ReportAction::Fix(window))
            })
    }

    fn must_send(&self, now_ms: u64, fixed: &Fixed) -> bool {
        let end_ms = self.windows.end_ms(fixed.report.window);
        match fixed.last_sent_ms {
            _ if fixed.is_accepted => false,
            Some(last_sent_ms) => now_ms >= last_sent_ms + RETRY_MS,
            None => fixed.is_own || now_ms < end_ms + SEND_FOR_OTHERS_MS,
        }
    }
}
