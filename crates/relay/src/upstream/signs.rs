//! What tells whether the process of an upstream lives, and whether it is the listed incarnation.

use std::cell::Cell;

use super::Upstream;

/// Time for which an upstream that lost an answer and then gave no sign of life gets no requests, in ms, unless it answers
/// before; it is asked more often than that.
const UNPROVEN_MS: u64 = 1_000;

/// Shortest pause between two questions for its incarnation, in ms: longer than one takes.
const CONFIRMATION_PAUSE_MS: u64 = 500;

/// Signs of life of one incarnation, and of another one at its address.
#[derive(Debug, Default)]
pub(super) struct SignsOfLife {
    /// When the health check that is running began.
    health_check_ms: Cell<Option<u64>>,
    unproven_until_ms: Cell<u64>,
    /// When it was last found to be the listed incarnation, by its own word.
    confirmed_ms: Cell<Option<u64>>,
    /// When it was last asked for that.
    confirming_ms: Cell<Option<u64>>,
    /// Whether another incarnation was found at its address.
    is_replaced: Cell<bool>,
}

impl Upstream {
    /// Marks a health check as running, which finds out whether it has ended; false if one already was.
    pub fn begin_health_check(&self) -> bool {
        if self.is_health_check_running() {
            return false;
        }
        let now_ms = Some(self.clock.now_ms());
        self.signs.health_check_ms.set(now_ms);
        true
    }

    /// Marks the health check as complete.
    pub fn end_health_check(&self) {
        self.signs.health_check_ms.set(None);
    }

    /// Whether a health check is running.
    pub fn is_health_check_running(&self) -> bool {
        self.signs.health_check_ms.get().is_some()
    }

    /// Time for which the health check has been running, in ms; none if none is.
    pub fn health_check_age_ms(&self, now_ms: u64) -> Option<u64> {
        let began_ms = self.signs.health_check_ms.get()?;
        Some(now_ms.saturating_sub(began_ms))
    }

    /// Records that it lost an answer and gave no sign of life since.
    pub fn note_unproven(&self, now_ms: u64) {
        self.signs.unproven_until_ms.set(now_ms + UNPROVEN_MS);
    }

    /// Records a sign of life.
    pub fn note_proven(&self) {
        self.signs.unproven_until_ms.set(0);
    }

    /// Whether it lost an answer and gave no sign of life since: a request sent there would probably be lost too.
    pub fn is_unproven(&self, now_ms: u64) -> bool {
        now_ms < self.signs.unproven_until_ms.get()
    }

    /// Records that it answered as the listed incarnation.
    pub fn note_confirmed(&self) {
        self.signs.confirmed_ms.set(Some(self.clock.now_ms()));
    }

    /// Whether it was the listed incarnation at `since_ms`, or later: a process that has run since then is no later one.
    pub fn is_confirmed_since(&self, since_ms: u64) -> bool {
        self.signs.confirmed_ms.get() >= Some(since_ms)
    }

    /// Time since it was last found to be the listed incarnation, in ms; none if it never was.
    pub fn confirmed_ago_ms(&self) -> Option<u64> {
        let confirmed_ms = self.signs.confirmed_ms.get()?;
        Some(self.clock.now_ms().saturating_sub(confirmed_ms))
    }

    /// Time since it was last asked for its incarnation, in ms; none if it never was.
    pub fn asked_ago_ms(&self) -> Option<u64> {
        let confirming_ms = self.signs.confirming_ms.get()?;
        Some(self.clock.now_ms().saturating_sub(confirming_ms))
    }

    /// Records that another incarnation answered at its address.
    pub fn note_replaced(&self) {
        self.signs.is_replaced.set(true);
    }

    /// Whether another incarnation is known to have answered at its address.
    pub fn is_replaced(&self) -> bool {
        self.signs.is_replaced.get()
    }

    /// Marks that it is asked for its incarnation; false if it was just now.
    pub fn begin_confirmation(&self) -> bool {
        let now_ms = self.clock.now_ms();
        let is_recent = |at_ms: u64| now_ms < at_ms + CONFIRMATION_PAUSE_MS;
        if self.signs.confirming_ms.get().is_some_and(is_recent) {
            return false;
        }
        self.signs.confirming_ms.set(Some(now_ms));
        true
    }
}
