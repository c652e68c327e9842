//! How many requests all instances together may send a second time.
//!
//! Load pattern: an engine that fails half of what it gets, or callers that come back at once,
//! would double the work of a fleet that is already short of capacity. The bound is a share of
//! the first sends within a sliding window plus a fixed allowance, which the instances split
//! between them; nothing is exchanged, so it holds while they cannot reach each other.

use std::collections::VecDeque;
use std::ops::RangeInclusive;

/// Part of the whole allowance that is used, so that the bound still holds where callers go over to other instances,
/// which count their requests anew.
const USED_SHARE: f64 = 0.8;

/// Slots that a window is counted in.
const SLOTS: u64 = 20;

/// Slots that a window may touch beyond its own: one that it cuts at either end, and one for repeats that take some time
/// to arrive.
const MARGIN: u64 = 2;

/// Terms of the bound.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetSettings {
    /// Repeats for each first send.
    pub ratio: f64,
    /// Window, in ms.
    pub window_ms: u64,
    /// Repeats allowed beside the ratio, for all instances together.
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

/// How an instance has a share in the fixed allowance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetShare {
    /// Instances among which it is split.
    pub instances: usize,
    /// Time for which the process has been running.
    pub age_ms: u64,
}

impl BudgetShare {
    /// Its part of the allowance.
    ///
    /// A process does not know what the one before it sent, which still counts for a window. Were each to begin with
    /// a whole part, an instance that is killed some times in a window would use as many.
    fn part(&self, terms: &RetryBudgetSettings) -> f64 {
        if self.age_ms < terms.window_ms {
            return 0.0;
        }
        terms.slack / self.instances.max(1) as f64
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Slot {
    number: u64,
    first: u32,
    again: u32,
}

/// First and repeated sends of one instance to one service, in two sliding windows: the requests of one window may
/// pay for repeats in the next.
#[derive(Debug, Clone, Default)]
pub struct FleetRetryBudget {
    slots: VecDeque<Slot>,
}

impl FleetRetryBudget {
    /// A request was sent for the first time.
    pub fn record_first_send(&mut self, now_ms: u64, terms: &RetryBudgetSettings) {
        self.slot(now_ms, terms).first += 1;
    }

    /// Repeats that are left of this instance's part: the least that any window has left which one now would be in.
    pub fn remaining(
        &mut self,
        now_ms: u64,
        terms: &RetryBudgetSettings,
        share: &BudgetShare,
    ) -> f64 {
        let now = self.slot(now_ms, terms).number;
        let part = share.part(terms);
        let left = |start: u64| {
            let most = USED_SHARE * (terms.ratio * self.paying(start) + part);
            most - self.sum(start..=now, |slot| slot.again)
        };
        let starts = now.saturating_sub(SLOTS + MARGIN)..=now;
        starts.map(left).fold(f64::MAX, f64::min).max(0.0)
    }

    /// First sends that pay for repeats in the window which begins at a slot: its own, those of the window before it or
    /// of the one that lies half a window earlier, whichever are most.
    fn paying(&self, start: u64) -> f64 {
        let windows = [0, SLOTS / 2, SLOTS].map(|earlier| {
            let end = (start + SLOTS).saturating_sub(earlier);
            self.sum(end.saturating_sub(SLOTS)..=end.saturating_sub(1), |slot| {
                slot.first
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

    /// Whether one more repeat is within this instance's part, and counts it if so.
    pub fn try_retry(
        &mut self,
        now_ms: u64,
        terms: &RetryBudgetSettings,
        share: &BudgetShare,
    ) -> bool {
        if self.remaining(now_ms, terms, share) < 1.0 {
            return false;
        }
        self.slot(now_ms, terms).again += 1;
        true
    }

    /// First and repeated sends in the window.
    pub fn counts(&mut self, now_ms: u64, terms: &RetryBudgetSettings) -> (u32, u32) {
        let now = self.slot(now_ms, terms).number;
        let window = (now + 1).saturating_sub(SLOTS)..=now;
        let first = self.sum(window.clone(), |slot| slot.first);
        (first as u32, self.sum(window, |slot| slot.again) as u32)
    }

    fn slot(&mut self, now_ms: u64, terms: &RetryBudgetSettings) -> &mut Slot {
        let number = now_ms * SLOTS / terms.window_ms.max(SLOTS);
        while self
            .slots
            .front()
            .is_some_and(|slot| slot.number + 2 * SLOTS + MARGIN < number)
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
