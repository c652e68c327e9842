//! Whether the engines of a service have room for all requests.

/// Time for which room must look short before it counts as short, in ms: longer than the peaks that
/// random arrivals cause.
const ENTER_MS: u64 = 150;

/// Time for which room must look free before it counts as free again, in ms. While requests are
/// refused, engines have room for moments.
const LEAVE_MS: u64 = 500;

/// Fraction of the engines that are full from which room looks short.
const SHORT_FRACTION: f64 = 0.7;

/// Fraction of the engines that are full below which room looks free.
const FREE_FRACTION: f64 = 0.5;

/// Predicted wait from which room looks short, as a fraction of the objective.
const LONG_WAIT: f64 = 0.6;

/// Predicted wait below which room looks free, as a fraction of the objective.
const SHORT_WAIT: f64 = 0.3;

/// Weight of the latest request in the average of predicted waits.
const WAIT_SMOOTHING: f64 = 0.2;

/// Age at which a predicted wait no longer counts, in ms.
const WAIT_MAX_AGE_MS: u64 = 300;

/// The decode engines of a service that may be used, and how many of them have all slots taken.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct RoomSample {
    /// Engines.
    pub engines: usize,
    /// Engines whose load is at their slots or above.
    pub full: usize,
    /// Requests at all engines, running or waiting.
    pub requests: f64,
    /// Slots of all engines.
    pub slots: f64,
}

impl RoomSample {
    fn full_fraction(self) -> f64 {
        self.full as f64 / self.engines.max(1) as f64
    }

    /// Whether there are as many requests as slots. Loads are known late, so single engines look
    /// free while others have a queue.
    pub fn is_all_full(self) -> bool {
        self.engines > 0 && self.requests >= self.slots
    }

    /// Requests beyond the slots, relative to these.
    pub fn queue(self) -> f64 {
        (self.requests / self.slots.max(1.0) - 1.0).max(0.0)
    }
}

/// Why room is short.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShortCause {
    /// The slots of most engines are taken.
    FullEngines,
    /// Requests are predicted to wait for long.
    LongWaits,
}

/// A change that was observed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoomChange {
    /// Room became short.
    Short(ShortCause),
    /// Room is no longer short.
    Free,
}

/// Observes the room of one service.
#[derive(Debug, Clone, Copy, Default)]
pub struct RoomWatch {
    is_short: bool,
    /// Since when the observations have contradicted `is_short`.
    contradicted_since_ms: Option<u64>,
    /// Average of predicted waits relative to the objective, and when the last one was predicted.
    wait: f64,
    wait_at_ms: Option<u64>,
}

impl RoomWatch {
    /// Whether room is short.
    pub fn is_short(&self) -> bool {
        self.is_short
    }

    /// Adds the wait that was predicted for a request.
    pub fn observe_wait(&mut self, now_ms: u64, wait_ms: f64, goal_ms: f64) {
        let wait = wait_ms / goal_ms.max(1.0);
        self.wait = self.recent_wait(now_ms) * (1.0 - WAIT_SMOOTHING) + wait * WAIT_SMOOTHING;
        self.wait_at_ms = Some(now_ms);
    }

    fn recent_wait(&self, now_ms: u64) -> f64 {
        let is_recent = |at_ms: u64| now_ms <= at_ms + WAIT_MAX_AGE_MS;
        if self.wait_at_ms.is_some_and(is_recent) {
            self.wait
        } else {
            0.0
        }
    }

    /// Processes an observation of the engines; returns the change, if there is one.
    pub fn observe(&mut self, now_ms: u64, sample: RoomSample) -> Option<RoomChange> {
        let full = sample.full_fraction();
        let wait = self.recent_wait(now_ms);
        let cause = if self.is_short {
            cause(full >= FREE_FRACTION, wait >= SHORT_WAIT)
        } else {
            cause(full >= SHORT_FRACTION, wait >= LONG_WAIT)
        };
        if cause.is_some() == self.is_short {
            self.contradicted_since_ms = None;
            return None;
        }
        let since_ms = *self.contradicted_since_ms.get_or_insert(now_ms);
        let needed_ms = if self.is_short { LEAVE_MS } else { ENTER_MS };
        if now_ms < since_ms + needed_ms {
            return None;
        }
        self.is_short = cause.is_some();
        self.contradicted_since_ms = None;
        Some(cause.map_or(RoomChange::Free, RoomChange::Short))
    }
}

fn cause(is_full: bool, is_long: bool) -> Option<ShortCause> {
    match (is_full, is_long) {
        (true, _) => Some(ShortCause::FullEngines),
        (false, true) => Some(ShortCause::LongWaits),
        (false, false) => None,
    }
}
