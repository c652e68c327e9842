//! How many requests all instances together may send a second time.
//!
//! Load pattern: an engine that fails half of what it gets, or callers that come back at once,
//! would double the work of a fleet that is already short of capacity. The bound is a share of
//! the first sends within a sliding window plus a fixed allowance, which the instances split
//! between them; nothing is exchanged, so it holds while they cannot reach each other.

use std::collections::VecDeque;

/// Part of the whole allowance that is used, so that windows which do not line up with those of
/// a reader still hold.
const USED_SHARE: f64 = 0.8;

/// Slots that a window is counted in.
const SLOTS: u64 = 10;

/// Terms of the bound.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RepeatTerms {
    /// Repeats for each first send.
    pub ratio: f64,
    /// Window, in ms.
    pub window_ms: u64,
    /// Repeats allowed beside the ratio, for all instances together.
    pub slack: f64,
}

impl Default for RepeatTerms {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            window_ms: 10_000,
            slack: 20.0,
        }
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Slot {
    number: u64,
    first: u32,
    again: u32,
}

/// First and repeated sends of one instance to one service, in a sliding window.
#[derive(Debug, Clone, Default)]
pub struct Repeats {
    slots: VecDeque<Slot>,
}

impl Repeats {
    /// A request was sent for the first time.
    pub fn first(&mut self, now_ms: u64, terms: &RepeatTerms) {
        self.slot(now_ms, terms).first += 1;
    }

    /// Repeats that are left of this instance's part.
    pub fn left(&mut self, now_ms: u64, terms: &RepeatTerms, instances: usize) -> f64 {
        let (first, again) = self.counts(now_ms, terms);
        let part = terms.slack / instances.max(1) as f64;
        let most = USED_SHARE * (terms.ratio * f64::from(first) + part);
        (most - f64::from(again)).max(0.0)
    }

    /// Whether one more repeat is within this instance's part, and counts it if so.
    pub fn take(&mut self, now_ms: u64, terms: &RepeatTerms, instances: usize) -> bool {
        if self.left(now_ms, terms, instances) < 1.0 {
            return false;
        }
        self.slot(now_ms, terms).again += 1;
        true
    }

    /// First and repeated sends in the window.
    pub fn counts(&mut self, now_ms: u64, terms: &RepeatTerms) -> (u32, u32) {
        self.slot(now_ms, terms);
        let first = self.slots.iter().map(|slot| slot.first).sum();
        let again = self.slots.iter().map(|slot| slot.again).sum();
        (first, again)
    }

    fn slot(&mut self, now_ms: u64, terms: &RepeatTerms) -> &mut Slot {
        let number = now_ms * SLOTS / terms.window_ms.max(SLOTS);
        while self
            .slots
            .front()
            .is_some_and(|slot| slot.number + SLOTS <= number)
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
