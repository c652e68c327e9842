//! How many engines of a service each zone has, and of which kind.
//!
//! Load pattern: a fleet is paid for by the second, and engines that may be taken back cost a fraction of the others. A
//! zone's are all taken back at once, within seconds, and for a while no others are to be had there. So the fleet
//! consists of these, spread over the zones, and what one zone loses is ordered where there are more; engines on demand
//! are kept until the others serve, and come back where none of these can be had. See docs/design/duties.md.

use std::cmp::Ordering;
use std::collections::HashMap;

use serde::{Deserialize, Serialize};

/// Time after an order until the same is given again, in ms: the API refused it or was not heard.
const RETRY_MS: u64 = 1_500;

/// Time after which a zone that had none to give, or took its own back, is asked again, and an order that was refused
/// given again, in ms.
const DRY_MS: u64 = 8_000;

/// Part of a zone's engines that leave together when they are taken back; single ones that leave are replaced, drained
/// or reported so by their own.
const TAKEN_BACK_SHARE: f64 = 0.5;

/// Time after the first engine was seen in which the fleet that the operators set up comes into the list, in ms.
const GROWING_MS: u64 = 6_000;

/// Time between two orders for more of a kind in a zone, in ms: a list that fills up needs no order an entry.
const MORE_MS: u64 = 1_000;

/// How an engine is paid for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CapacityKind {
    /// It stays until it is given back.
    OnDemand,
    /// It costs less, and may be taken back.
    Spot,
}

/// Bounds on a service's engines, as the operators set them.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ScalingBounds {
    /// Least engines of a zone, of both kinds together.
    #[serde(rename = "least")]
    pub min_per_zone: usize,
    /// Most engines of a zone, of both kinds together.
    #[serde(rename = "most")]
    pub max_per_zone: usize,
    /// Price of an engine that may be taken back, as a part of that of another one; 0 where there are none.
    pub spot_price: f64,
    /// Price of an engine in each zone, relative to the others.
    pub zone_prices: HashMap<String, f64>,
}

/// Engines of a zone now.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ZoneCapacity {
    /// Its name.
    pub name: String,
    /// Those on demand that serve.
    pub on_demand: usize,
    /// Those that may be taken back and serve.
    pub spot: usize,
    /// Those that were taken back and leave.
    pub spot_reclaimed: usize,
}

/// An order that is wished for: a zone is to have so many engines of a kind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneTarget {
    /// The zone.
    pub zone: String,
    /// The kind.
    pub kind: CapacityKind,
    /// Engines that it is to have.
    pub desired: usize,
}

/// What came of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It was taken.
    Taken,
    /// There are none to be had.
    Dry,
    /// It was refused for another reason.
    Refused,
    /// It was not answered.
    Unanswered,
}

#[derive(Debug, Clone, Copy, Default)]
struct Ordered {
    /// What the platform was last told to have; nothing while it was told nothing.
    desired: Option<usize>,
    /// What was ordered last, whatever came of it, and until when the same rests.
    tried: Option<Tried>,
}

#[derive(Debug, Clone, Copy)]
struct Tried {
    desired: usize,
    at_ms: u64,
    rest_ms: u64,
}

/// Plans the engines of one service.
#[derive(Debug, Clone, Default)]
pub struct ScalePlanner {
    /// Engines that the service is to have in all zones.
    wanted: usize,
    seen_since_ms: Option<u64>,
    is_adopted: bool,
    ordered: HashMap<(String, CapacityKind), Ordered>,
    dry_until_ms: HashMap<String, u64>,
    taken_back_until_ms: HashMap<String, u64>,
}

impl ScalePlanner {
    /// Engines that the service is to have; nothing while that is not known.
    pub fn target_size(&self) -> Option<usize> {
        (self.wanted > 0).then_some(self.wanted)
    }

    /// Another instance has ordered so that the service is to have so many engines.
    pub fn adopt(&mut self, wanted: usize, wish: &ZoneTarget) {
        self.wanted = wanted;
        self.is_adopted = true;
        self.order(wish).desired = Some(wish.desired);
    }

    /// An order was given.
    pub fn record_order(&mut self, now_ms: u64, wish: &ZoneTarget, outcome: OrderOutcome) {
        let rest_ms = match outcome {
            OrderOutcome::Taken | OrderOutcome::Dry | OrderOutcome::Unanswered => RETRY_MS,
            OrderOutcome::Refused => DRY_MS,
        };
        let order = self.order(wish);
        order.tried = Some(Tried {
            desired: wish.desired,
            at_ms: now_ms,
            rest_ms,
        });
        match outcome {
            OrderOutcome::Taken => order.desired = Some(wish.desired),
            OrderOutcome::Dry => {
                self.dry_until_ms.insert(wish.zone.clone(), now_ms + DRY_MS);
            }
            OrderOutcome::Refused | OrderOutcome::Unanswered => {}
        }
    }

    fn order(&mut self, wish: &ZoneTarget) -> &mut Ordered {
        let key = (wish.zone.clone(), wish.kind);
        self.ordered.entry(key).or_default()
    }

    fn desired(&self, zone: &str, kind: CapacityKind) -> Option<usize> {
        self.ordered.get(&(zone.to_owned(), kind))?.desired
    }

    /// The orders that should be given now.
    pub fn due_orders(
        &mut self,
        now_ms: u64,
        terms: &ScalingBounds,
        zones: &[ZoneCapacity],
    ) -> Vec<ZoneTarget> {
        self.note_size(now_ms, zones);
        self.note_taken_back(now_ms, zones);
        if self.wanted == 0 {
            return Vec::new();
        }
        let spot = self.spot_wished(now_ms, terms, zones);
        let on_demand = self.on_demand_wished(now_ms, terms, zones, &spot);
        let all = spot.into_iter().chain(on_demand);
        all.filter(|wish| self.is_due(now_ms, wish, zones))
            .collect()
    }

    /// The fleet that the operators set up is the size that is wanted. Its engines come into the list one after the other,
    /// and each that is there can be replaced already.
    fn note_size(&mut self, now_ms: u64, zones: &[ZoneCapacity]) {
        let on_demand: usize = zones.iter().map(|zone| zone.on_demand).sum();
        let spot: usize = zones.iter().map(|zone| zone.spot).sum();
        if on_demand + spot == 0 {
            return;
        }
        let is_first = self.seen_since_ms.is_none();
        let since_ms = *self.seen_since_ms.get_or_insert(now_ms);
        if self.is_adopted || now_ms >= since_ms + GROWING_MS {
            return;
        }
        // Those that are there already were ordered so that a zone can be lost.
        let kept = if is_first {
            spot * zones.len().saturating_sub(1) / zones.len()
        } else {
            0
        };
        self.wanted = self.wanted.max(on_demand + kept);
    }

    fn is_growing(&self, now_ms: u64) -> bool {
        self.seen_since_ms
            .is_some_and(|since_ms| now_ms < since_ms + GROWING_MS)
    }

    fn note_taken_back(&mut self, now_ms: u64, zones: &[ZoneCapacity]) {
        for zone in zones {
            let had = zone.spot + zone.spot_reclaimed;
            if had > 0 && zone.spot_reclaimed as f64 > had as f64 * TAKEN_BACK_SHARE {
                let until_ms = now_ms + DRY_MS;
                self.dry_until_ms.insert(zone.name.clone(), until_ms);
                self.taken_back_until_ms.insert(zone.name.clone(), until_ms);
            }
        }
    }

    /// Whether those that still serve in a zone are on their way out: their notices come one after the other.
    fn is_taken_back(&self, now_ms: u64, zone: &str) -> bool {
        let until_ms = self.taken_back_until_ms.get(zone);
        until_ms.is_some_and(|until_ms| now_ms < *until_ms)
    }

    fn is_dry(&self, now_ms: u64, zone: &str) -> bool {
        self.dry_until_ms
            .get(zone)
            .is_some_and(|until_ms| now_ms < *until_ms)
    }

    /// Engines of the cheaper kind that are to be had: as many as leave what is wanted when all of a zone are taken back
    /// at once. New ones take seconds to come, and longer until they hold what those that went had read. None where so
    /// many cost more than those on demand.
    fn spot_wanted(&self, terms: &ScalingBounds, zones: usize) -> usize {
        let wanted = match zones {
            0 | 1 => self.wanted,
            _ => (self.wanted * zones).div_ceil(zones - 1),
        };
        let is_cheaper = wanted as f64 * terms.spot_price < self.wanted as f64;
        if terms.spot_price > 0.0 && is_cheaper {
            wanted
        } else {
            0
        }
    }

    /// As many as are wanted, in the zones that give them: what is there stays, and what is lacking comes where there
    /// are fewest, so that the loss of a zone takes the least along, and of these where they cost least.
    fn spot_wished(
        &self,
        now_ms: u64,
        terms: &ScalingBounds,
        zones: &[ZoneCapacity],
    ) -> Vec<ZoneTarget> {
        let mut wished: Vec<(usize, usize, f64)> = zones
            .iter()
            .map(|zone| {
                let is_dry = self.is_dry(now_ms, &zone.name);
                let told = self
                    .desired(&zone.name, CapacityKind::Spot)
                    .unwrap_or_default();
                let count = match (is_dry, self.is_taken_back(now_ms, &zone.name)) {
                    (_, true) => 0,
                    (true, false) => zone.spot.min(told),
                    (false, false) => told,
                };
                // Both kinds together keep within the bound, those on demand that are still to go included.
                let room = terms.max_per_zone.saturating_sub(zone.on_demand);
                let price = terms.zone_prices.get(&zone.name).copied();
                (count, if is_dry { 0 } else { room }, price.unwrap_or(1.0))
            })
            .collect();
        let enough = self.spot_wanted(terms, zones.len());
        loop {
            let total: usize = wished.iter().map(|(count, ..)| count).sum();
            let least = wished
                .iter_mut()
                .filter(|(count, room, _)| count < room)
                .min_by(|(a, _, one), (b, _, other)| a.cmp(b).then(one.total_cmp(other)));
            match least {
                Some((count, ..)) if total < enough => *count += 1,
                _ => break,
            }
        }
        let all = zones.iter().zip(wished);
        all.map(|(zone, (desired, ..))| ZoneTarget {
            zone: zone.name.clone(),
            kind: CapacityKind::Spot,
            desired,
        })
        .collect()
    }

    /// What those that may be taken back leave open: what is there stays until they serve, and more come only where
    /// none of these are to be had.
    fn on_demand_wished(
        &self,
        now_ms: u64,
        terms: &ScalingBounds,
        zones: &[ZoneCapacity],
        spot: &[ZoneTarget],
    ) -> Vec<ZoneTarget> {
        let there = |zone: &ZoneCapacity| {
            let told = self.desired(&zone.name, CapacityKind::OnDemand);
            told.unwrap_or(zone.on_demand)
        };
        let mut wished: Vec<usize> = zones.iter().map(there).collect();
        let serving: usize = zones.iter().map(|zone| zone.spot).sum();
        let to_come: usize = spot.iter().map(|wish| wish.desired).sum();
        let open = self.wanted.saturating_sub(serving);
        let lacking = self.wanted.saturating_sub(to_come);
        let mut total: usize = wished.iter().sum();
        let meant = open.min(total.max(lacking));
        while total > meant {
            if let Some(most) = wished.iter_mut().max() {
                *most -= 1;
            }
            total -= 1;
        }
        while total < meant {
            if let Some(least) = wished.iter_mut().min() {
                *least += 1;
            }
            total += 1;
        }
        let all = zones.iter().zip(spot).zip(wished);
        all.map(|((zone, spot), desired)| {
            let is_bare = spot.desired < terms.min_per_zone || self.is_dry(now_ms, &zone.name);
            let least = if is_bare { terms.min_per_zone } else { 0 };
            let most = terms.max_per_zone.saturating_sub(spot.desired).max(least);
            ZoneTarget {
                zone: zone.name.clone(),
                kind: CapacityKind::OnDemand,
                desired: desired.clamp(least, most),
            }
        })
        .collect()
    }

    fn is_due(&self, now_ms: u64, wish: &ZoneTarget, zones: &[ZoneCapacity]) -> bool {
        let ordered = self.ordered.get(&(wish.zone.clone(), wish.kind));
        let ordered = ordered.copied().unwrap_or_default();
        let rests = ordered.tried.is_some_and(|tried| {
            let wait_ms = match wish.desired.cmp(&tried.desired) {
                Ordering::Equal => tried.rest_ms,
                Ordering::Greater if self.is_growing(now_ms) => MORE_MS,
                Ordering::Less | Ordering::Greater => 0,
            };
            now_ms < tried.at_ms + wait_ms
        });
        let there = zones.iter().find(|zone| zone.name == wish.zone);
        let as_it_is = there.map_or(0, |zone| match wish.kind {
            CapacityKind::OnDemand => zone.on_demand,
            CapacityKind::Spot => zone.spot,
        });
        !rests && ordered.desired.unwrap_or(as_it_is) != wish.desired
    }
}
