//! How many engines of each kind each zone should have, for a given size of the fleet.

use super::capacity::{CapacityKind, ScalingBounds, ZoneCapacity, ZoneTarget};
use super::orders::OrderBook;
use super::size::size_after_loss;

/// Fraction of a zone's even share that it keeps when engines of expensive zones are given back
/// first: callers of the zone should not all be served from others.
const MIN_EVEN_FRACTION: f64 = 0.75;

/// Fraction of its even share below which a zone is filled up again although the fleet is large
/// enough, since the loss of another zone would cost too much.
const REFILL_FRACTION: f64 = 0.5;

/// What the size stands for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Sizing {
    /// Engines that must remain when all spot engines of one zone are reclaimed.
    Fixed,
    /// Engines that the forecast of demand needs, with headroom. It covers a part of the loss of a
    /// zone.
    ByDemand {
        /// Spot engines that may be given back now.
        give_back: usize,
    },
}

/// Distributes a fleet over the zones.
pub(super) struct Distribution<'a> {
    pub now_ms: u64,
    pub bounds: &'a ScalingBounds,
    pub zones: &'a [ZoneCapacity],
    pub orders: &'a OrderBook,
    pub size: usize,
    pub sizing: Sizing,
}

struct SpotZone {
    count: usize,
    limit: usize,
    price: f64,
}

impl Distribution<'_> {
    /// Targets for both kinds in all zones.
    pub fn targets(&self) -> impl Iterator<Item = ZoneTarget> {
        let spot = self.spot_targets();
        let on_demand = self.on_demand_targets(&spot);
        spot.into_iter().chain(on_demand)
    }

    /// Whether more spot engines are ordered than the size needs.
    pub fn has_surplus(&self) -> bool {
        let all = self.zones.iter();
        let ordered: usize = all.map(|zone| self.ordered_spot(zone)).sum();
        ordered > self.spot_target()
    }

    /// Spot engines to have in all zones: enough that those of one zone can be reclaimed at once.
    /// New ones take seconds to start, and longer until they hold the prompts that the reclaimed
    /// ones had cached. Zero if that many would not cost less than engines on demand.
    pub fn spot_target(&self) -> usize {
        let must_remain = match self.sizing {
            Sizing::Fixed => self.size,
            Sizing::ByDemand { .. } => size_after_loss(self.size),
        };
        let count = match self.zones.len() {
            0 | 1 => self.size,
            zones => (must_remain * zones).div_ceil(zones - 1).max(self.size),
        };
        let is_cheaper = count as f64 * self.bounds.spot_price < self.size as f64;
        if self.bounds.spot_price > 0.0 && is_cheaper {
            count
        } else {
            0
        }
    }

    /// Spot engines last ordered for a zone. By demand, those of a fleet whose orders are not known
    /// count as ordered, so that they are kept until there is a reason to give them back.
    fn ordered_spot(&self, zone: &ZoneCapacity) -> usize {
        let ordered = self.orders.desired(&zone.name, CapacityKind::Spot);
        ordered.unwrap_or(match self.sizing {
            Sizing::Fixed => 0,
            Sizing::ByDemand { .. } => zone.spot,
        })
    }

    /// Distributes the spot engines over the zones that have capacity. Zones keep what they have.
    /// Missing engines go to the zone with the fewest, so that the loss of one zone costs the
    /// least, and among equal zones to the cheapest.
    fn spot_targets(&self) -> Vec<ZoneTarget> {
        let all = self.zones.iter();
        let mut targets: Vec<SpotZone> = all.map(|zone| self.spot_zone(zone)).collect();
        let spot_target = self.spot_target();
        if let Sizing::ByDemand { give_back } = self.sizing {
            self.refill(&mut targets, spot_target);
            self.give_back(&mut targets, spot_target, give_back);
        }
        loop {
            let total: usize = targets.iter().map(|target| target.count).sum();
            let least = targets
                .iter_mut()
                .filter(|target| target.count < target.limit)
                .min_by(|a, b| a.count.cmp(&b.count).then(a.price.total_cmp(&b.price)));
            match least {
                Some(target) if total < spot_target => target.count += 1,
                _ => break,
            }
        }
        let all = self.zones.iter().zip(targets);
        all.map(|(zone, target)| ZoneTarget {
            zone: zone.name.clone(),
            kind: CapacityKind::Spot,
            desired: target.count,
        })
        .collect()
    }

    fn spot_zone(&self, zone: &ZoneCapacity) -> SpotZone {
        let has_no_capacity = self.orders.has_no_capacity(self.now_ms, &zone.name);
        let is_reclaimed = self.orders.is_reclaimed(self.now_ms, &zone.name);
        let ordered = self.ordered_spot(zone);
        let count = match (has_no_capacity, is_reclaimed) {
            (_, true) => 0,
            (true, false) => zone.spot.min(ordered),
            (false, false) => ordered,
        };
        // Both kinds together stay within the bound, with the engines on demand that are yet to
        // leave.
        let limit = self.bounds.max_per_zone.saturating_sub(zone.on_demand);
        SpotZone {
            count,
            limit: if has_no_capacity { 0 } else { limit },
            price: self.bounds.zone_price(&zone.name),
        }
    }

    /// Fills zones that have far less than their share, and those below the operators' minimum.
    fn refill(&self, targets: &mut [SpotZone], spot_target: usize) {
        if spot_target == 0 {
            return;
        }
        let even = spot_target / targets.len();
        for target in targets {
            let is_low = (target.count as f64) < even as f64 * REFILL_FRACTION;
            let least = if is_low { even } else { 0 };
            let least = least.max(self.bounds.min_per_zone).min(target.limit);
            target.count = target.count.max(least);
        }
    }

    fn give_back(&self, targets: &mut [SpotZone], spot_target: usize, give_back: usize) {
        let even = spot_target as f64 / targets.len().max(1) as f64;
        let kept = ((even * MIN_EVEN_FRACTION).ceil() as usize).max(self.bounds.min_per_zone);
        let must_remain = size_after_loss(self.size);
        for _ in 0..give_back {
            let total: usize = targets.iter().map(|target| target.count).sum();
            let largest = targets.iter().map(|target| target.count).max();
            let largest = largest.unwrap_or_default();
            if total <= spot_target {
                return;
            }
            let bears_loss = total > must_remain + largest;
            let dearest = targets
                .iter_mut()
                .filter(|target| target.count > kept && (bears_loss || target.count == largest))
                .max_by(|a, b| a.price.total_cmp(&b.price).then(a.count.cmp(&b.count)));
            match dearest {
                Some(target) => target.count -= 1,
                None => return,
            }
        }
    }

    /// Engines on demand for what spot engines do not cover. Existing ones stay until spot engines
    /// serve, and more are ordered only where no spot capacity is available.
    fn on_demand_targets(&self, spot: &[ZoneTarget]) -> Vec<ZoneTarget> {
        let mut targets: Vec<(usize, f64)> = self
            .zones
            .iter()
            .map(|zone| {
                let ordered = self.orders.desired(&zone.name, CapacityKind::OnDemand);
                let price = match self.sizing {
                    Sizing::Fixed => 1.0,
                    Sizing::ByDemand { .. } => self.bounds.zone_price(&zone.name),
                };
                (ordered.unwrap_or(zone.on_demand), price)
            })
            .collect();
        let serving: usize = self.zones.iter().map(|zone| zone.spot).sum();
        let planned: usize = spot.iter().map(|target| target.desired).sum();
        let uncovered = self.size.saturating_sub(serving);
        let shortfall = self.size.saturating_sub(planned);
        let mut total: usize = targets.iter().map(|(count, _)| count).sum();
        let needed = uncovered.min(total.max(shortfall));
        let order = |a: &(usize, f64), b: &(usize, f64)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1));
        while total > needed {
            if let Some((most, _)) = targets.iter_mut().max_by(|a, b| order(a, b)) {
                *most -= 1;
            }
            total -= 1;
        }
        while total < needed {
            if let Some((least, _)) = targets.iter_mut().min_by(|a, b| order(a, b)) {
                *least += 1;
            }
            total += 1;
        }
        let all = self.zones.iter().zip(spot).zip(targets);
        all.map(|((zone, spot), (desired, _))| {
            let lacks_spot = spot.desired < self.bounds.min_per_zone
                || self.orders.has_no_capacity(self.now_ms, &zone.name);
            let least = if lacks_spot {
                self.bounds.min_per_zone
            } else {
                0
            };
            let most = self.bounds.max_per_zone.saturating_sub(spot.desired);
            ZoneTarget {
                zone: zone.name.clone(),
                kind: CapacityKind::OnDemand,
                desired: desired.clamp(least, most.max(least)),
            }
        })
        .collect()
    }
}
