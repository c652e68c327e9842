//! What was ordered for each zone, what came of it, and which zones have no capacity.

use std::cmp::Ordering;
use std::collections::HashMap;

use super::capacity::{CapacityKind, OrderOutcome, ZoneCapacity, ZoneTarget};

/// Pause before the same order is repeated, in ms, where the API had no capacity or did not answer.
const RETRY_MS: u64 = 1_500;

/// Pause before a zone that had no capacity, or reclaimed its engines, gets another order, and
/// before a refused order is repeated, in ms.
const COOLDOWN_MS: u64 = 8_000;

/// A zone counts as reclaimed if more than this share of its spot engines are leaving. Single
/// engines that leave are being replaced or drained, or leave for reasons of their own.
const RECLAIMED_SHARE: f64 = 0.5;

/// Pause between two orders for more engines of a kind in a zone while the initial fleet appears,
/// in ms. Without it, there would be an order for each new entry.
const SCALE_UP_PAUSE_MS: u64 = 1_000;

#[derive(Debug, Clone, Copy, Default)]
struct OrderState {
    /// What the platform last accepted; `None` before the first accepted order.
    desired: Option<usize>,
    /// The last order, whatever its outcome.
    last_attempt: Option<Attempt>,
    /// Whether the platform may have an order other than `desired`: the last one was not answered,
    /// or was recorded by another instance that may have ended before it called.
    is_unconfirmed: bool,
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    desired: usize,
    at_ms: u64,
    pause_ms: u64,
}

/// The orders of one service.
#[derive(Debug, Clone, Default)]
pub(super) struct OrderBook {
    ordered: HashMap<(String, CapacityKind), OrderState>,
    no_capacity_until_ms: HashMap<String, u64>,
    reclaimed_until_ms: HashMap<String, u64>,
}

impl OrderBook {
    /// Takes over an order that another instance recorded.
    pub fn adopt(&mut self, target: &ZoneTarget) {
        let order = self.order(target);
        order.desired = Some(target.desired);
        order.is_unconfirmed = true;
    }

    /// Records an order and its outcome.
    pub fn record(&mut self, now_ms: u64, target: &ZoneTarget, outcome: OrderOutcome) {
        let pause_ms = match outcome {
            OrderOutcome::Taken | OrderOutcome::Dry | OrderOutcome::Unanswered => RETRY_MS,
            OrderOutcome::Refused => COOLDOWN_MS,
        };
        let order = self.order(target);
        order.last_attempt = Some(Attempt {
            desired: target.desired,
            at_ms: now_ms,
            pause_ms,
        });
        match outcome {
            OrderOutcome::Taken => {
                order.desired = Some(target.desired);
                order.is_unconfirmed = false;
            }
            OrderOutcome::Unanswered => order.is_unconfirmed = true,
            OrderOutcome::Dry => {
                self.no_capacity_until_ms
                    .insert(target.zone.clone(), now_ms + COOLDOWN_MS);
            }
            OrderOutcome::Refused => {}
        }
    }

    fn order(&mut self, target: &ZoneTarget) -> &mut OrderState {
        let key = (target.zone.clone(), target.kind);
        self.ordered.entry(key).or_default()
    }

    /// Engines of a kind that were last ordered for a zone; `None` before the first order.
    pub fn desired(&self, zone: &str, kind: CapacityKind) -> Option<usize> {
        self.ordered.get(&(zone.to_owned(), kind))?.desired
    }

    pub fn observe_reclaimed(&mut self, now_ms: u64, zones: &[ZoneCapacity]) {
        for zone in zones {
            let spot_before = zone.spot + zone.spot_reclaimed;
            if spot_before > 0 && zone.spot_reclaimed as f64 > spot_before as f64 * RECLAIMED_SHARE
            {
                let until_ms = now_ms + COOLDOWN_MS;
                self.no_capacity_until_ms
                    .insert(zone.name.clone(), until_ms);
                self.reclaimed_until_ms.insert(zone.name.clone(), until_ms);
            }
        }
    }

    /// Whether the spot engines that still serve in a zone are about to leave. Their notices arrive
    /// one after the other.
    pub fn is_reclaimed(&self, now_ms: u64, zone: &str) -> bool {
        let until_ms = self.reclaimed_until_ms.get(zone);
        until_ms.is_some_and(|until_ms| now_ms < *until_ms)
    }

    pub fn has_no_capacity(&self, now_ms: u64, zone: &str) -> bool {
        self.no_capacity_until_ms
            .get(zone)
            .is_some_and(|until_ms| now_ms < *until_ms)
    }

    /// Whether a target is to be ordered now. With `late_ms`, an order whose engines are not in the
    /// list is repeated: at once if it may not have arrived, after that time otherwise.
    pub fn is_due(
        &self,
        now_ms: u64,
        target: &ZoneTarget,
        zones: &[ZoneCapacity],
        is_starting: bool,
        late_ms: Option<u64>,
    ) -> bool {
        let ordered = self.ordered.get(&(target.zone.clone(), target.kind));
        let ordered = ordered.copied().unwrap_or_default();
        let is_paused = ordered.last_attempt.is_some_and(|last_attempt| {
            let wait_ms = match target.desired.cmp(&last_attempt.desired) {
                Ordering::Equal => last_attempt.pause_ms,
                Ordering::Greater if is_starting => SCALE_UP_PAUSE_MS,
                Ordering::Less | Ordering::Greater => 0,
            };
            now_ms < last_attempt.at_ms + wait_ms
        });
        let current = zones.iter().find(|zone| zone.name == target.zone);
        let serving = current.map_or(0, |zone| zone.serving(target.kind));
        let is_unanswered = late_ms.is_some_and(|late_ms| {
            let last = ordered.last_attempt;
            let is_late = last.is_some_and(|last| now_ms >= last.at_ms + late_ms);
            serving != target.desired && (ordered.is_unconfirmed || is_late)
        });
        let is_new = ordered.desired.unwrap_or(serving) != target.desired;
        !is_paused && (is_new || is_unanswered)
    }
}
