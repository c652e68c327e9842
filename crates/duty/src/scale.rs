//! How many engines of a service each zone should have, on demand and on spot capacity.
//!
//! Engines are paid for by the second, and spot engines cost a fraction of those on demand. But all
//! spot engines of a zone may be reclaimed within seconds, and for a while the zone has no more to
//! give. So the fleet consists of spot engines spread over the zones, and what one zone loses is
//! ordered in the others. Engines on demand are kept until spot engines serve, and come back where
//! no spot capacity is available. The size of the fleet is that of its start, or follows demand.
//! See docs/design/duties.md and docs/design/scaling.md.

mod capacity;
mod forecast;
mod orders;
mod size;
mod targets;

use view::ServiceDemand;

pub use capacity::{CapacityKind, OrderOutcome, ScalingBounds, ZoneCapacity, ZoneTarget};
pub use forecast::{DemandForecast, EngineDemand, UnusableDemand};
pub use size::{SizePlan, SizeReason};

use orders::OrderBook;
use size::{SizeBounds, SizePlanner};
use targets::{Distribution, Sizing};

/// Time after the first engine is seen within which the rest of the initial fleet appears in the
/// list, in ms.
const STARTUP_MS: u64 = 6_000;

/// Plans the engines of one service.
#[derive(Debug, Clone, Default)]
pub struct ScalePlanner {
    /// Size of the fleet at its start; 0 while unknown.
    starting_size: usize,
    /// Target size; 0 while unknown. Without demand to follow it is the starting size.
    target_size: usize,
    seen_since_ms: Option<u64>,
    is_adopted: bool,
    orders: OrderBook,
    /// Present if the size may follow demand.
    sizes: Option<SizePlanner>,
    /// Whether the size follows demand by now. Until demand has been observed for long enough, the
    /// starting size and the reserve for the loss of a zone are kept: the prefix caches of engines
    /// that are missing at the first peak would be missed for seconds.
    is_following: bool,
    last_plan: Option<SizePlan>,
}

impl ScalePlanner {
    /// A planner whose target size follows demand; that of `default` holds the starting size.
    pub fn following_demand() -> Self {
        Self {
            sizes: Some(SizePlanner::default()),
            ..Self::default()
        }
    }

    /// Engines that the service should have; `None` while that number is unknown. If the size does
    /// not follow demand, as many must serve even after all spot engines of one zone are reclaimed.
    pub fn target_size(&self) -> Option<usize> {
        (self.target_size > 0).then_some(self.target_size)
    }

    /// Size of the fleet at its start, for the records of orders; `None` while it is unknown or
    /// the size does not follow demand.
    pub fn starting_size(&self) -> Option<usize> {
        (self.sizes.is_some() && self.starting_size > 0).then_some(self.starting_size)
    }

    /// The last planned size; `None` while it is unknown or does not follow demand.
    pub fn last_plan(&self) -> Option<SizePlan> {
        self.last_plan
    }

    /// Takes over the target size and the last order of another instance that holds the starting
    /// size.
    pub fn adopt(&mut self, target_size: usize, target: &ZoneTarget) {
        self.adopt_following(target_size, target_size, target);
    }

    /// Takes over the target size, the starting size and the last order of another instance whose
    /// target size follows demand.
    pub fn adopt_following(
        &mut self,
        target_size: usize,
        starting_size: usize,
        target: &ZoneTarget,
    ) {
        self.starting_size = starting_size;
        self.target_size = match self.sizes {
            Some(_) => target_size,
            None => starting_size,
        };
        self.is_adopted = true;
        self.is_following |= self.sizes.is_some() && target_size != starting_size;
        self.orders.adopt(target);
    }

    /// Records an order and its outcome.
    pub fn record_order(&mut self, now_ms: u64, target: &ZoneTarget, outcome: OrderOutcome) {
        self.orders.record(now_ms, target, outcome);
    }

    /// Records the fleet's demand, `None` while it is unknown, and whether the store is away. Does
    /// nothing if the size does not follow demand.
    pub fn observe_demand(
        &mut self,
        now_ms: u64,
        bounds: &ScalingBounds,
        demand: Option<&ServiceDemand>,
        is_store_away: bool,
    ) {
        if let Some(sizes) = &mut self.sizes {
            sizes.observe(now_ms, bounds, demand, is_store_away);
        }
    }

    /// The orders that are due now.
    pub fn due_orders(
        &mut self,
        now_ms: u64,
        bounds: &ScalingBounds,
        zones: &[ZoneCapacity],
    ) -> Vec<ZoneTarget> {
        self.observe_size(now_ms, zones);
        self.orders.observe_reclaimed(now_ms, zones);
        if self.target_size == 0 {
            return Vec::new();
        }
        let sizing = self.plan_size(now_ms, bounds, zones);
        let late_ms = self.sizes.as_ref().map(|_| size::late_ms(bounds));
        let is_starting = self.is_starting(now_ms);
        let distribution = self.distribution(now_ms, bounds, zones, sizing);
        let is_due = |target: &ZoneTarget| {
            self.orders
                .is_due(now_ms, target, zones, is_starting, late_ms)
        };
        distribution.targets().filter(is_due).collect()
    }

    fn distribution<'a>(
        &'a self,
        now_ms: u64,
        bounds: &'a ScalingBounds,
        zones: &'a [ZoneCapacity],
        sizing: Sizing,
    ) -> Distribution<'a> {
        Distribution {
            now_ms,
            bounds,
            zones,
            orders: &self.orders,
            size: self.target_size,
            sizing,
        }
    }

    /// Brings the target size up to date, if it follows demand.
    fn plan_size(&mut self, now_ms: u64, bounds: &ScalingBounds, zones: &[ZoneCapacity]) -> Sizing {
        let keeping = Sizing::ByDemand { give_back: 0 };
        let has_surplus = self
            .distribution(now_ms, bounds, zones, keeping)
            .has_surplus();
        let with_reserve = self
            .distribution(now_ms, bounds, zones, Sizing::Fixed)
            .spot_target();
        let Some(sizes) = &mut self.sizes else {
            return Sizing::Fixed;
        };
        let is_short = sizes.needed(now_ms) > with_reserve.max(self.target_size);
        self.is_following |= is_short || sizes.is_settled(now_ms, bounds);
        if !self.is_following {
            self.last_plan = Some(sizes.keep(now_ms, self.target_size));
            return Sizing::Fixed;
        }
        let limits = SizeBounds {
            starting: self.starting_size,
            min: bounds.min_per_zone * zones.len(),
            max: bounds.max_per_zone * zones.len(),
        };
        let plan = sizes.next(now_ms, bounds, limits, self.target_size, has_surplus);
        let give_back = match plan.reason {
            SizeReason::GivingBack => size::step(self.target_size),
            _ => 0,
        };
        self.target_size = plan.size;
        self.last_plan = Some(plan);
        Sizing::ByDemand { give_back }
    }

    /// Takes the size of the initial fleet, which the operators set up, as the starting size. Its
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
        self.starting_size = self.starting_size.max(on_demand + kept);
        self.target_size = self.target_size.max(self.starting_size);
    }

    fn is_starting(&self, now_ms: u64) -> bool {
        self.seen_since_ms
            .is_some_and(|since_ms| now_ms < since_ms + STARTUP_MS)
    }
}
