//! How many engines of a service each zone should have, on demand and on spot capacity.
//!
//! Engines are paid for by the second, and spot engines cost a fraction of those on demand. But all
//! spot engines of a zone may be reclaimed within seconds, and for a while the zone has no more to
//! give. So the fleet consists of spot engines spread over the zones, and what one zone loses is
//! ordered in the others. Engines on demand are kept until spot engines serve, and come back where
//! no spot capacity is available. See docs/design/duties.md.

use std::cmp::Ordering;
use std::collections::HashMap;

use serde::{Deserialize, Serialize};

/// Pause before the same order is repeated, in ms, where the API had no capacity or did not answer.
const RETRY_MS: u64 = 1_500;

/// Pause before a zone that had no capacity, or reclaimed its engines, gets another order, and
/// before a refused order is repeated, in ms.
const COOLDOWN_MS: u64 = 8_000;

/// A zone counts as reclaimed if more than this share of its spot engines are leaving. Single
/// engines that leave are being replaced or drained, or leave for reasons of their own.
const RECLAIMED_SHARE: f64 = 0.5;

/// Time after the first engine is seen within which the rest of the initial fleet appears in the
/// list, in ms.
const STARTUP_MS: u64 = 6_000;

/// Pause between two orders for more engines of a kind in a zone while the initial fleet appears,
/// in ms. Without it, there would be an order for each new entry.
const SCALE_UP_PAUSE_MS: u64 = 1_000;

/// How an engine is paid for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CapacityKind {
    /// Stays until it is given back.
    OnDemand,
    /// Costs less, and may be reclaimed.
    Spot,
}

/// The operators' bounds on the engines of a service.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ScalingBounds {
    /// Fewest engines in a zone, of both kinds together.
    #[serde(rename = "least")]
    pub min_per_zone: usize,
    /// Most engines in a zone, of both kinds together.
    #[serde(rename = "most")]
    pub max_per_zone: usize,
    /// Price of a spot engine as a share of that of one on demand; 0 where there are no spot
    /// engines.
    pub spot_price: f64,
    /// Price of an engine in each zone, relative to the other zones; 1 where a zone is missing.
    pub zone_prices: HashMap<String, f64>,
}

/// The engines that a zone has now.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ZoneCapacity {
    /// Name of the zone.
    pub name: String,
    /// Engines on demand that serve.
    pub on_demand: usize,
    /// Spot engines that serve.
    pub spot: usize,
    /// Spot engines that were reclaimed and are leaving.
    pub spot_reclaimed: usize,
}

/// An order: how many engines of a kind a zone should have.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneTarget {
    /// Name of the zone.
    pub zone: String,
    /// Kind of the engines.
    pub kind: CapacityKind,
    /// Engines that the zone should have.
    pub desired: usize,
}

/// Outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It was accepted.
    Taken,
    /// The zone has no capacity of this kind.
    Dry,
    /// It was refused for another reason.
    Refused,
    /// There was no answer.
    Unanswered,
}

#[derive(Debug, Clone, Copy, Default)]
struct OrderState {
    /// What the platform last accepted; `None` before the first accepted order.
    desired: Option<usize>,
    /// The last order, whatever its outcome.
    last_attempt: Option<Attempt>,
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    desired: usize,
    at_ms: u64,
    pause_ms: u64,
}

/// Plans the engines of one service.
#[derive(Debug, Clone, Default)]
pub struct ScalePlanner {
    /// Target size: engines that must serve even after all spot engines of one zone are reclaimed;
    /// 0 while unknown.
    target_size: usize,
    seen_since_ms: Option<u64>,
    is_adopted: bool,
    ordered: HashMap<(String, CapacityKind), OrderState>,
    no_capacity_until_ms: HashMap<String, u64>,
    reclaimed_until_ms: HashMap<String, u64>,
}

impl ScalePlanner {
    /// Engines that must serve even after all spot engines of one zone are reclaimed; `None` while
    /// that number is unknown.
    pub fn target_size(&self) -> Option<usize> {
        (self.target_size > 0).then_some(self.target_size)
    }

    /// Takes over the target size and the last order of another instance.
    pub fn adopt(&mut self, target_size: usize, target: &ZoneTarget) {
        self.target_size = target_size;
        self.is_adopted = true;
        self.order(target).desired = Some(target.desired);
    }

    /// Records an order and its outcome.
    pub fn record_order(&mut self, now_ms: u64, target: &ZoneTarget, outcome: OrderOutcome) {
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
            OrderOutcome::Taken => order.desired = Some(target.desired),
            OrderOutcome::Dry => {
                self.no_capacity_until_ms
                    .insert(target.zone.clone(), now_ms + COOLDOWN_MS);
            }
            OrderOutcome::Refused | OrderOutcome::Unanswered => {}
        }
    }

    fn order(&mut self, target: &ZoneTarget) -> &mut OrderState {
        let key = (target.zone.clone(), target.kind);
        self.ordered.entry(key).or_default()
    }

    fn desired(&self, zone: &str, kind: CapacityKind) -> Option<usize> {
        self.ordered.get(&(zone.to_owned(), kind))?.desired
    }

    /// The orders that are due now.
    pub fn due_orders(
        &mut self,
        now_ms: u64,
        bounds: &ScalingBounds,
        zones: &[ZoneCapacity],
    ) -> Vec<ZoneTarget> {
        self.observe_size(now_ms, zones);
        self.observe_reclaimed(now_ms, zones);
        if self.target_size == 0 {
            return Vec::new();
        }
        let spot = self.spot_targets(now_ms, bounds, zones);
        let on_demand = self.on_demand_targets(now_ms, bounds, zones, &spot);
        let all = spot.into_iter().chain(on_demand);
        all.filter(|target| self.is_due(now_ms, target, zones))
            .collect()
    }

    /// Takes the size of the initial fleet, which the operators set up, as the target size. Its
    /// engines appear in the list one after the other, and each can be replaced as soon as it
    /// appears.
    fn observe_size(&mut self, now_ms: u64, zones: &[ZoneCapacity]) {
        let on_demand: usize = zones.iter().map(|zone| zone.on_demand).sum();
        let spot: usize = zones.iter().map(|zone| zone.spot).sum();
        if on_demand + spot == 0 {
            return;
        }
        let is_first_observation = self.seen_since_ms.is_none();
        let since_ms = *self.seen_since_ms.get_or_insert(now_ms);
        if self.is_adopted || now_ms >= since_ms + STARTUP_MS {
            return;
        }
        // Spot engines that the first observation shows come from earlier orders, which allowed for
        // the loss of a zone.
        let kept = if is_first_observation {
            spot * zones.len().saturating_sub(1) / zones.len()
        } else {
            0
        };
        self.target_size = self.target_size.max(on_demand + kept);
    }

    fn is_starting(&self, now_ms: u64) -> bool {
        self.seen_since_ms
            .is_some_and(|since_ms| now_ms < since_ms + STARTUP_MS)
    }

    fn observe_reclaimed(&mut self, now_ms: u64, zones: &[ZoneCapacity]) {
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
    fn is_reclaimed(&self, now_ms: u64, zone: &str) -> bool {
        let until_ms = self.reclaimed_until_ms.get(zone);
        until_ms.is_some_and(|until_ms| now_ms < *until_ms)
    }

    fn has_no_capacity(&self, now_ms: u64, zone: &str) -> bool {
        self.no_capacity_until_ms
            .get(zone)
            .is_some_and(|until_ms| now_ms < *until_ms)
    }

    /// Spot engines to have in all zones: enough that the target size remains when all of one zone
    /// are reclaimed at once. New ones take seconds to start, and longer until they hold the
    /// prompts that the reclaimed ones had cached. Zero if that many would not cost less than
    /// engines on demand.
    fn spot_target(&self, bounds: &ScalingBounds, zones: usize) -> usize {
        let count = match zones {
            0 | 1 => self.target_size,
            _ => (self.target_size * zones).div_ceil(zones - 1),
        };
        let is_cheaper = count as f64 * bounds.spot_price < self.target_size as f64;
        if bounds.spot_price > 0.0 && is_cheaper {
            count
        } else {
            0
        }
    }

    /// Distributes the spot engines over the zones that have capacity. Zones keep what they have.
    /// Missing engines go to the zone with the fewest, so that the loss of one zone costs the
    /// least, and among equal zones to the cheapest.
    fn spot_targets(
        &self,
        now_ms: u64,
        bounds: &ScalingBounds,
        zones: &[ZoneCapacity],
    ) -> Vec<ZoneTarget> {
        let mut targets: Vec<(usize, usize, f64)> = zones
            .iter()
            .map(|zone| {
                let has_no_capacity = self.has_no_capacity(now_ms, &zone.name);
                let ordered = self
                    .desired(&zone.name, CapacityKind::Spot)
                    .unwrap_or_default();
                let count = match (has_no_capacity, self.is_reclaimed(now_ms, &zone.name)) {
                    (_, true) => 0,
                    (true, false) => zone.spot.min(ordered),
                    (false, false) => ordered,
                };
                // Both kinds together stay within the bound, with the engines on demand that are
                // yet to leave.
                let limit = bounds.max_per_zone.saturating_sub(zone.on_demand);
                let price = bounds.zone_prices.get(&zone.name).copied();
                (
                    count,
                    if has_no_capacity { 0 } else { limit },
                    price.unwrap_or(1.0),
                )
            })
            .collect();
        let spot_target = self.spot_target(bounds, zones.len());
        loop {
            let total: usize = targets.iter().map(|(count, ..)| count).sum();
            let least = targets
                .iter_mut()
                .filter(|(count, limit, _)| count < limit)
                .min_by(|(a, _, one), (b, _, other)| a.cmp(b).then(one.total_cmp(other)));
            match least {
                Some((count, ..)) if total < spot_target => *count += 1,
                _ => break,
            }
        }
        let all = zones.iter().zip(targets);
        all.map(|(zone, (desired, ..))| ZoneTarget {
            zone: zone.name.clone(),
            kind: CapacityKind::Spot,
            desired,
        })
        .collect()
    }

    /// Engines on demand for what spot engines do not cover. Existing ones stay until spot engines
    /// serve, and more are ordered only where no spot capacity is available.
    fn on_demand_targets(
        &self,
        now_ms: u64,
        bounds: &ScalingBounds,
        zones: &[ZoneCapacity],
        spot: &[ZoneTarget],
    ) -> Vec<ZoneTarget> {
        let current = |zone: &ZoneCapacity| {
            let ordered = self.desired(&zone.name, CapacityKind::OnDemand);
            ordered.unwrap_or(zone.on_demand)
        };
        let mut targets: Vec<usize> = zones.iter().map(current).collect();
        let serving: usize = zones.iter().map(|zone| zone.spot).sum();
        let planned: usize = spot.iter().map(|target| target.desired).sum();
        let uncovered = self.target_size.saturating_sub(serving);
        let shortfall = self.target_size.saturating_sub(planned);
        let mut total: usize = targets.iter().sum();
        let needed = uncovered.min(total.max(shortfall));
        while total > needed {
            if let Some(most) = targets.iter_mut().max() {
                *most -= 1;
            }
            total -= 1;
        }
        while total < needed {
            if let Some(least) = targets.iter_mut().min() {
                *least += 1;
            }
            total += 1;
        }
        let all = zones.iter().zip(spot).zip(targets);
        all.map(|((zone, spot), desired)| {
            let lacks_spot =
                spot.desired < bounds.min_per_zone || self.has_no_capacity(now_ms, &zone.name);
            let least = if lacks_spot { bounds.min_per_zone } else { 0 };
            let most = bounds.max_per_zone.saturating_sub(spot.desired).max(least);
            ZoneTarget {
                zone: zone.name.clone(),
                kind: CapacityKind::OnDemand,
                desired: desired.clamp(least, most),
            }
        })
        .collect()
    }

    fn is_due(&self, now_ms: u64, target: &ZoneTarget, zones: &[ZoneCapacity]) -> bool {
        let ordered = self.ordered.get(&(target.zone.clone(), target.kind));
        let ordered = ordered.copied().unwrap_or_default();
        let is_paused = ordered.last_attempt.is_some_and(|last_attempt| {
            let wait_ms = match target.desired.cmp(&last_attempt.desired) {
                Ordering::Equal => last_attempt.pause_ms,
                Ordering::Greater if self.is_starting(now_ms) => SCALE_UP_PAUSE_MS,
                Ordering::Less | Ordering::Greater => 0,
            };
            now_ms < last_attempt.at_ms + wait_ms
        });
        let current = zones.iter().find(|zone| zone.name == target.zone);
        let serving = current.map_or(0, |zone| match target.kind {
            CapacityKind::OnDemand => zone.on_demand,
            CapacityKind::Spot => zone.spot,
        });
        !is_paused && ordered.desired.unwrap_or(serving) != target.desired
    }
}
