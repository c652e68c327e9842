//! Retries belong to the deadline, not to a count.
//!
//! The idea that a request's deadline travels with it, and that an attempt may use only part of
//! what is left while another upstream could still answer, is from "A hundred per cent success
//! rate and one usable answer"; docs/design/retries.md has the share measured against others.

use crate::EngineProfile;

/// Share of the remaining time that one attempt may spend while another upstream is available.
const ATTEMPT_SHARE: f64 = 0.6;

/// Time an attempt needs to be worth making.
const LEAST_ATTEMPT_MS: u64 = 20;

/// Time that an attempt may take to show a sign of life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptTimeout {
    /// Time for the attempt; none left means that no further attempt is made.
    pub timeout_ms: u64,
}

impl AttemptTimeout {
    /// What an attempt may spend of the time left, with `others` upstreams that could still
    /// answer instead.
    pub fn next(left_ms: u64, others: usize) -> Option<Self> {
        if left_ms < LEAST_ATTEMPT_MS {
            return None;
        }
        let spend_ms = if others == 0 {
            left_ms
        } else {
            (left_ms as f64 * ATTEMPT_SHARE) as u64
        };
        Some(Self {
            timeout_ms: spend_ms.max(LEAST_ATTEMPT_MS),
        })
    }
}

/// Moment at which a request without a first token can no longer be in time.
///
/// Even alone on the engine its output takes this long. Cancelling it then frees the engine of
/// work for nobody, and its caller gets its final answer while it can still act on it.
pub fn give_up_ms(shape: &EngineProfile, due_ms: f64, output_tokens: f64) -> f64 {
    due_ms - output_tokens * shape.iteration_ms(1.0, 0.0)
}

/// Parts of a retry that first attempts pay with.
const PARTS: u32 = 10;

/// Most retries saved up.
const SAVED: u32 = 20;

/// Retries as a share of first attempts, so that a fleet in trouble is not asked twice as much.
///
/// Ten first attempts pay for one retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryBudget {
    parts: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            parts: SAVED * PARTS,
        }
    }
}

impl RetryBudget {
    /// A first attempt was made.
    pub fn deposit(&mut self) {
        self.parts = (self.parts + 1).min(SAVED * PARTS);
    }

    /// Whether a retry may be made; takes it from the budget.
    pub fn try_withdraw(&mut self) -> bool {
        let left = self.parts.checked_sub(PARTS);
        self.parts = left.unwrap_or(self.parts);
        left.is_some()
    }
}
