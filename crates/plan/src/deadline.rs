//! Time limits of attempts and the retry budget.
//!
//! An attempt may use only a part of the time left until the caller's deadline while another
//! upstream could still answer, so the number of attempts follows from the deadline and not from a
//! fixed count. The idea is from "A hundred per cent success rate and one usable answer";
//! docs/design/retries.md compares it with a fixed count.

use crate::EngineProfile;

/// Fraction of the remaining time that an attempt may use while another upstream is available.
const ATTEMPT_FRACTION: f64 = 0.6;

/// Shortest time for which an attempt is worth making.
const MIN_ATTEMPT_MS: u64 = 20;

/// Time in which an attempt must show that the upstream responds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptTimeout {
    /// Time after which the attempt is given up; at least `MIN_ATTEMPT_MS`.
    pub timeout_ms: u64,
}

impl AttemptTimeout {
    /// Timeout of the next attempt with `left_ms` until the deadline and `alternatives` other
    /// upstreams to fall back on; `None` if too little time is left for an attempt.
    pub fn next(left_ms: u64, alternatives: usize) -> Option<Self> {
        if left_ms < MIN_ATTEMPT_MS {
            return None;
        }
        let timeout_ms = if alternatives == 0 {
            left_ms
        } else {
            (left_ms as f64 * ATTEMPT_FRACTION) as u64
        };
        Some(Self {
            timeout_ms: timeout_ms.max(MIN_ATTEMPT_MS),
        })
    }
}

/// Time at which a request without a first token can no longer meet its deadline.
///
/// Producing the output takes this long even if the request runs alone on the engine. Cancelling
/// it then frees the engine from work whose result comes too late, and the caller gets its final
/// answer while it can still act on it.
pub fn give_up_ms(profile: &EngineProfile, due_ms: f64, output_tokens: f64) -> f64 {
    due_ms - output_tokens * profile.iteration_ms(1.0, 0.0)
}

/// Credits that one retry costs; a first attempt earns one credit.
const CREDITS_PER_RETRY: u32 = 10;

/// Most retries that the budget saves up.
const MAX_SAVED_RETRIES: u32 = 20;

/// Limits retries to a fraction of first attempts, so that retries do not double the load on a
/// fleet that is failing.
///
/// Ten first attempts pay for one retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryBudget {
    credits: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            credits: MAX_SAVED_RETRIES * CREDITS_PER_RETRY,
        }
    }
}

impl RetryBudget {
    /// Credits a first attempt.
    pub fn deposit(&mut self) {
        self.credits = (self.credits + 1).min(MAX_SAVED_RETRIES * CREDITS_PER_RETRY);
    }

    /// Pays for a retry, or returns false if the budget does not cover one.
    pub fn try_withdraw(&mut self) -> bool {
        let left = self.credits.checked_sub(CREDITS_PER_RETRY);
        self.credits = left.unwrap_or(self.credits);
        left.is_some()
    }
}
