//! Limits the retries that all instances together send to a service.
//!
//! An engine that fails half of its requests, or callers that retry at once, would double the load
//! on a fleet that is already short of capacity. The limit is a fraction of the first sends within
//! a sliding window plus a fixed allowance, of which each instance has a share. The instances
//! exchange nothing, so the limit also holds while they cannot reach each other.

use std::collections::VecDeque;
use std::ops::RangeInclusive;

/// Fraction of the limit that is used, so that it still holds when callers move to other
/// instances, which start counting their requests from zero.
const USED_FRACTION: f64 = 0.8;

/// Slots into which a window is divided.
const SLOTS: u64 = 20;

/// Slots that a window may touch beyond its own: one that it overlaps in part, and one for retries
/// that arrive at the upstream with a delay.
const MARGIN_SLOTS: u64 = 2;

/// The limit on retries to a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetSettings {
    /// Retries per first send.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window_ms: u64,
    /// Retries allowed beyond the ratio in a window, for all instances together.
    pub slack: f64,
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            window_ms: 10_000,
            slack: 20.0,
        }
    }
}

/// What determines an instance's share of the fixed allowance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetShare {
    /// Number of instances among which the allowance is split.
    pub instances: usize,
    /// Time for which the process has been running.
    pub age_ms: u64,
}

impl BudgetShare {
    /// The share in retries; 0 until the process has run for a window.
    ///
    /// A process does not know what its predecessor sent, which still counts for a window. If each
    /// process started with a full share, an instance that is restarted several times within a
    /// window would use its share as many times.
    fn retries(&self, settings: &RetryBudgetSettings) -> f64 {
        if self.age_ms < settings.window_ms {
            return 0.0;
        }
        settings.slack / self.instances.max(1) as f64
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Slot {
    number: u64,
    first_sends: u32,
    retries: u32,
}

/// Counts the first sends and retries of one instance to one service, and limits the retries.
///
/// It keeps two windows, since requests of one window may pay for retries in the next.
#[derive(Debug, Clone, Default)]
pub struct FleetRetryBudget {
    slots: VecDeque<Slot>,
}

impl FleetRetryBudget {
    /// Counts the first send of a request.
    pub fn record_first_send(&mut self, now_ms: u64, settings: &RetryBudgetSettings) {
        self.slot(now_ms, settings).first_sends += 1;
    }

    /// Retries that this instance may still send now.
    ///
    /// A retry falls into every window that includes the present, so this is the minimum over all
    /// of them.
    pub fn remaining(
        &mut self,
        now_ms: u64,
        settings: &RetryBudgetSettings,
        share: &BudgetShare,
    ) -> f64 {
        let now = self.slot(now_ms, settings).number;
        let allowance = share.retries(settings);
        let remaining_from = |start: u64| {
            let limit =
                USED_FRACTION * (settings.ratio * self.paying_first_sends(start) + allowance);
            limit - self.sum(start..=now, |slot| slot.retries)
        };
        let starts = now.saturating_sub(SLOTS + MARGIN_SLOTS)..=now;
        starts.map(remaining_from).fold(f64::MAX, f64::min).max(0.0)
    }

    /// First sends that pay for retries in the window that starts at a slot: those of that window,
    /// of the preceding one or of the one that lies half a window earlier, whichever are most.
    fn paying_first_sends(&self, start: u64) -> f64 {
        let windows = [0, SLOTS / 2, SLOTS].map(|earlier| {
            let end = (start + SLOTS).saturating_sub(earlier);
            self.sum(end.saturating_sub(SLOTS)..=end.saturating_sub(1), |slot| {
                slot.first_sends
            })
        });
        windows.into_iter().fold(0.0, f64::max)
    }

    fn sum(&self, slots: RangeInclusive<u64>, count: impl Fn(&Slot) -> u32) -> f64 {
        let within = self
            .slots
            .iter()
            .filter(|slot| slots.contains(&slot.number));
        f64::from(within.map(count).sum::<u32>())
    }

    /// Counts one more retry, or returns false if the budget does not cover it.
    pub fn try_retry(
        &mut self,
        now_ms: u64,
        settings: &RetryBudgetSettings,
        share: &BudgetShare,
    ) -> bool {
        if self.remaining(now_ms, settings, share) < 1.0 {
            return false;
        }
        self.slot(now_ms, settings).retries += 1;
        true
    }

    /// First sends and retries in the window that ends now.
    pub fn counts(&mut self, now_ms: u64, settings: &RetryBudgetSettings) -> (u32, u32) {
        let now = self.slot(now_ms, settings).number;
        let window = (now + 1).saturating_sub(SLOTS)..=now;
        let first_sends = self.sum(window.clone(), |slot| slot.first_sends);
        (
            first_sends as u32,
            self.sum(window, |slot| slot.retries) as u32,
        )
    }

    /// The current slot; drops slots that no longer matter.
    fn slot(&mut self, now_ms: u64, settings: &RetryBudgetSettings) -> &mut Slot {
        let number = now_ms * SLOTS / settings.window_ms.max(SLOTS);
        while self
            .slots
            .front()
            .is_some_and(|slot| slot.number + 2 * SLOTS + MARGIN_SLOTS < number)
        {
            self.slots.pop_front();
        }
        if self.slots.back().is_none_or(|slot| slot.number < number) {
            self.slots.push_back(Slot {
                number,
                ..Slot::default()
            });
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }
}
