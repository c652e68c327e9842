//! Whether the store is available to this instance for singleton tasks.
//!
//! The store may reject calls for some of its topics and serve the others. If the last call of any kind
//! decided, each leader candidate would lose and regain the store several times a second. The last leader would
//! regain it each time before another candidate had taken over, and no task would be performed.

use std::cell::Cell;

/// Time without a response after which the store counts as unavailable, in ms: a few calls.
const SILENT_MS: u64 = 1_500;

/// Time for which an instance does not lead after a failed call for the log of singleton tasks, in ms.
const LOG_FAILURE_PAUSE_MS: u64 = 3_000;

/// Results of recent calls to the store.
#[derive(Debug, Default)]
pub struct StoreHealth {
    answered_ms: Cell<u64>,
    last_failed: Cell<bool>,
    log_failed_ms: Cell<Option<u64>>,
}

impl StoreHealth {
    /// Records whether a call was answered; `is_log` if it was for the log of singleton tasks.
    pub fn record_call(&self, now_ms: u64, is_log: bool, was_answered: bool) {
        self.last_failed.set(!was_answered);
        if was_answered {
            self.answered_ms.set(now_ms);
        }
        if is_log {
            self.log_failed_ms.set((!was_answered).then_some(now_ms));
        }
    }

    /// Whether the store counts as unavailable, so that another instance should lead.
    pub fn is_unavailable(&self, now_ms: u64) -> bool {
        let is_silent = self.last_failed.get() && now_ms >= self.answered_ms.get() + SILENT_MS;
        let log_failed = self.log_failed_ms.get();
        is_silent || log_failed.is_some_and(|at_ms| now_ms < at_ms + LOG_FAILURE_PAUSE_MS)
    }
}
