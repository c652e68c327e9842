//! Limits the retries that all instances together send to a service.
//!
//! An engine that fails half of its requests, or callers that retry at once, would double the load
//! on a fleet that is already short of capacity. The limit is a fraction of the first sends within
//! a sliding window plus a fixed allowance, of which each instance has a share. The instances
//! exchange nothing, so the limit also holds while they cannot reach each other.

use std::collections::VecDeque;

/// Slots into which a window is divided.
const SLOTS: usize = 20;

/// Longest time from the decision to retry to the arrival at the upstream, in ms: a silent upstream, or one behind a cut
/// path, gets all that was sent to it meanwhile at once, and after this time a send is given up.
const MAX_LAG_MS: u64 = 2_500;

/// Slots that a window overlaps in part, at its two ends.
const PARTIAL_SLOTS: usize = 1;

/// Slots by which a first send may be recorded after its caller sent it.
const RECORD_DELAY_SLOTS: usize = 1;

/// Part of the limit that the first sends of the preceding window pay for; those of the window that lies half a window
/// earlier pay for the rest.
const PRECEDING_FRACTION: f64 = 0.5;

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
/// The limit of all instances depends on the first sends of the window, the preceding one or the one in between, whichever
/// are most. Here a fixed mix of the latter two counts. Its sum over all instances is the same mix of the sums, so it
/// stays within the largest of them wherever the callers are. If each instance took its own largest, callers that move
/// would pay for retries at both ends. See docs/design/retries.md.
#[derive(Debug, Clone, Default)]
pub struct FleetRetryBudget {
    slots: VecDeque<Slot>,
}

/// Sums of first sends and retries up to each slot of the remembered time, which ends with the current slot.
struct Sums {
    /// Number of the first slot.
    first: u64,
    first_sends: Vec<f64>,
    retries: Vec<f64>,
}

impl Sums {
    fn of(slots: &VecDeque<Slot>, now: u64) -> Self {
        let first = now.saturating_sub(2 * SLOTS as u64);
        let length = (now - first + 1) as usize;
        let (mut first_sends, mut retries) = (vec![0.0; length + 1], vec![0.0; length + 1]);
        for slot in slots.iter().filter(|slot| slot.number >= first) {
            let at = (slot.number - first + 1) as usize;
            first_sends[at] = f64::from(slot.first_sends);
            retries[at] = f64::from(slot.retries);
        }
        for at in 1..=length {
            first_sends[at] += first_sends[at - 1];
            retries[at] += retries[at - 1];
        }
        Self {
            first,
            first_sends,
            retries,
        }
    }

    /// Sum over the slots from `start` up to but not including `end`; what lies outside the remembered time counts as 0.
    fn between(&self, sums: &[f64], start: u64, end: u64) -> f64 {
        let at = |slot: u64| (slot.saturating_sub(self.first) as usize).min(sums.len() - 1);
        (sums[at(end)] - sums[at(start)]).max(0.0)
    }

    /// First sends that pay for the retries of a window that begins within the slot `start`: only slots that
    /// are part of the paying windows wherever in the slot it begins.
    fn paying_first_sends(&self, start: u64) -> f64 {
        let (slots, half) = (SLOTS as u64, SLOTS as u64 / 2);
        let inset = (PARTIAL_SLOTS + RECORD_DELAY_SLOTS) as u64;
        let sent = |from: u64, to: u64| self.between(&self.first_sends, from, to);
        let preceding = sent((start + inset).saturating_sub(slots), start);
        let between = sent((start + inset).saturating_sub(half), start + half);
        PRECEDING_FRACTION * preceding + (1.0 - PRECEDING_FRACTION) * between
    }

    /// Retries that may arrive in a window that begins within the slot `start`.
    fn arriving_retries(&self, start: u64, lag_slots: u64) -> f64 {
        let end = start + (SLOTS + PARTIAL_SLOTS) as u64;
        self.between(&self.retries, start.saturating_sub(lag_slots), end)
    }
}

impl FleetRetryBudget {
    /// Counts the first send of a request.
    pub fn record_first_send(&mut self, now_ms: u64, settings: &RetryBudgetSettings) {
        self.slot(now_ms, settings).first_sends += 1;
    }

    /// Retries that this instance may still send now.
    ///
    /// A retry may fall into every window that includes its decision or begins before its latest arrival, so this is
    /// the minimum over all of them.
    pub fn remaining(
        &mut self,
        now_ms: u64,
        settings: &RetryBudgetSettings,
        share: &BudgetShare,
    ) -> f64 {
        let now = self.slot(now_ms, settings).number;
        let allowance = share.retries(settings);
        let sums = Sums::of(&self.slots, now);
        let lag_slots = MAX_LAG_MS.div_ceil(slot_ms(settings));
        let remaining_from = |start: u64| {
            let limit = settings.ratio * sums.paying_first_sends(start) + allowance;
            limit - sums.arriving_retries(start, lag_slots)
        };
        let starts = now.saturating_sub(SLOTS as u64)..=now + lag_slots;
        starts.map(remaining_from).fold(f64::MAX, f64::min).max(0.0)
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
        let sums = Sums::of(&self.slots, now);
        let start = (now + 1).saturating_sub(SLOTS as u64);
        let count = |of: &[f64]| sums.between(of, start, now + 1) as u32;
        (count(&sums.first_sends), count(&sums.retries))
    }

    /// The current slot; drops slots that no longer matter.
    fn slot(&mut self, now_ms: u64, settings: &RetryBudgetSettings) -> &mut Slot {
        let number = now_ms / slot_ms(settings);
        while self
            .slots
            .front()
            .is_some_and(|slot| slot.number + 2 * (SLOTS as u64) < number)
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

/// Length of a slot, in ms; rounded up, so that a window is never longer than its slots.
fn slot_ms(settings: &RetryBudgetSettings) -> u64 {
    settings.window_ms.div_ceil(SLOTS as u64).max(1)
}
