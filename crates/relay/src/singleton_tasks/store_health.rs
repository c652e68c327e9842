//! Whether the store can be reached, as far as duties need it.
//!
//! Failure: the store turns away what concerns some of its topics and serves the others. Judged by its last call, of whatever
//! kind, each keeper would lose the store and have it back several times a second; the one that acted last would always
//! come back before another one had taken over, and nobody acted.

use std::cell::Cell;

/// Time without any answer after which the store counts as lost, in ms: a few calls.
const SILENT_MS: u64 = 1_500;

/// Time for which an instance leaves acting to others after its own log could not be reached, in ms.
const REST_MS: u64 = 3_000;

/// What calls to the store have shown.
#[derive(Debug, Default)]
pub struct StoreHealth {
    answered_ms: Cell<u64>,
    last_failed: Cell<bool>,
    log_failed_ms: Cell<Option<u64>>,
}

impl StoreHealth {
    /// A call was answered, or was not; `is_log` if it was for the log of duties.
    pub fn record_call(&self, now_ms: u64, is_log: bool, was_answered: bool) {
        self.last_failed.set(!was_answered);
        if was_answered {
            self.answered_ms.set(now_ms);
        }
        if is_log {
            self.log_failed_ms.set((!was_answered).then_some(now_ms));
        }
    }

    /// Whether another instance should act.
    pub fn is_unavailable(&self, now_ms: u64) -> bool {
        let is_silent = self.last_failed.get() && now_ms >= self.answered_ms.get() + SILENT_MS;
        let log_failed = self.log_failed_ms.get();
        is_silent || log_failed.is_some_and(|at_ms| now_ms < at_ms + REST_MS)
    }
}
