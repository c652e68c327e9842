//! Engines that are ordered, reclaimed, unavailable or late.

use duty::scale::{
    CapacityKind, OrderOutcome, ScalePlanner, ScalingBounds, ZoneCapacity, ZoneTarget,
};

fn bounds() -> ScalingBounds {
    let prices = [("a", 1.0), ("b", 0.8), ("c", 1.25)];
    ScalingBounds {
        min_per_zone: 1,
        max_per_zone: 76,
        boot_ms: 4_000,
        spot_price: 0.22,
        zone_prices: prices.map(|(name, price)| (name.to_owned(), price)).into(),
    }
}

/// A platform that fulfils orders after the engines' startup time, unless a zone has no spot
/// capacity.
struct Platform {
    now_ms: u64,
    planner: ScalePlanner,
    zones: Vec<ZoneCapacity>,
    pending: Vec<(u64, ZoneTarget)>,
    zones_without_spot: Vec<&'static str>,
    min_serving: usize,
    max_in_zone: usize,
    orders: usize,
}

impl Platform {
    fn with(engines: usize) -> Self {
        let zone = |name: &str| ZoneCapacity {
            name: name.to_owned(),
            on_demand: engines / 3,
            ..ZoneCapacity::default()
        };
        Self {
            now_ms: 0,
            planner: ScalePlanner::default(),
            zones: ["a", "b", "c"].map(zone).into(),
            pending: Vec::new(),
            zones_without_spot: Vec::new(),
            min_serving: usize::MAX,
            max_in_zone: 0,
            orders: 0,
        }
    }

    fn run(&mut self, for_ms: u64) {
        let until_ms = self.now_ms + for_ms;
        while self.now_ms < until_ms {
            self.now_ms += 250;
            let due = self
                .pending
                .extract_if(.., |(at_ms, _)| *at_ms <= self.now_ms);
            for (_, target) in due {
                let zone = self
                    .zones
                    .iter_mut()
                    .find(|zone| zone.name == target.zone)
                    .unwrap();
                match target.kind {
                    CapacityKind::OnDemand => zone.on_demand = target.desired,
                    CapacityKind::Spot => zone.spot = target.desired,
                }
            }
            let targets = self.planner.due_orders(self.now_ms, &bounds(), &self.zones);
            for target in targets {
                self.order(&target);
            }
            let serving = self
                .zones
                .iter()
                .map(|zone| zone.on_demand + zone.spot)
                .sum();
            self.min_serving = self.min_serving.min(serving);
            let sizes = self.zones.iter().map(|zone| zone.on_demand + zone.spot);
            self.max_in_zone = sizes.fold(self.max_in_zone, usize::max);
        }
    }

    fn order(&mut self, target: &ZoneTarget) {
        self.orders += 1;
        let zone = self
            .zones
            .iter()
            .find(|zone| zone.name == target.zone)
            .unwrap();
        let current = match target.kind {
            CapacityKind::OnDemand => zone.on_demand,
            CapacityKind::Spot => zone.spot,
        };
        let has_no_capacity = target.kind == CapacityKind::Spot
            && self.zones_without_spot.contains(&target.zone.as_str());
        let outcome = if has_no_capacity && target.desired > current {
            OrderOutcome::Dry
        } else {
            let wait_ms = if target.desired > current { 4_000 } else { 0 };
            self.pending.push((self.now_ms + wait_ms, target.clone()));
            OrderOutcome::Taken
        };
        self.planner.record_order(self.now_ms, target, outcome);
    }

    fn reclaim(&mut self, name: &str) {
        let zone = self
            .zones
            .iter_mut()
            .find(|zone| zone.name == name)
            .unwrap();
        zone.spot_reclaimed = std::mem::take(&mut zone.spot);
    }

    fn counts(&self) -> Vec<(usize, usize)> {
        self.zones
            .iter()
            .map(|zone| (zone.on_demand, zone.spot))
            .collect()
    }
}

/// Guards against a fleet that shrinks while spot engines, at a fifth of the price, replace those
/// on demand. There must be enough of them that the loss of a zone leaves the size that the
/// operators set up, and no zone may exceed its bound.
#[test]
fn spot_replaces_on_demand_without_a_dip() {
    let mut platform = Platform::with(111);
    platform.run(12_000);
    assert_eq!(platform.counts(), [(0, 56), (0, 56), (0, 55)]);
    assert_eq!(platform.min_serving, 111);
    assert!(platform.max_in_zone <= 76);
    let orders = platform.orders;
    platform.run(60_000);
    assert_eq!(platform.orders, orders, "orders without a cause");
}

/// Guards against a shortage when a zone reclaims all engines and has no more to give. The engines
/// that are left must be as many as were set up, the other zones must be filled up within the
/// startup time, and the lost zone gets only its minimum.
#[test]
fn reclaimed_zone_is_replaced_by_the_others() {
    let mut platform = Platform::with(111);
    platform.run(12_000);
    platform.zones_without_spot = vec!["b"];
    platform.reclaim("b");
    platform.run(5_000);
    assert_eq!(platform.counts(), [(0, 76), (1, 0), (0, 76)]);
    assert_eq!(platform.min_serving, 111);
}

/// Guards against a fleet without engines when no zone has spot capacity: engines on demand return
/// until there is some.
#[test]
fn on_demand_returns_without_spot_capacity() {
    let mut platform = Platform::with(111);
    platform.run(12_000);
    platform.zones_without_spot = vec!["a", "b", "c"];
    for zone in ["a", "b", "c"] {
        platform.reclaim(zone);
    }
    platform.run(10_000);
    assert_eq!(platform.counts(), [(37, 0), (37, 0), (37, 0)]);
    platform.zones_without_spot = Vec::new();
    platform
        .zones
        .iter_mut()
        .for_each(|zone| zone.spot_reclaimed = 0);
    platform.run(20_000);
    assert_eq!(platform.counts(), [(0, 56), (0, 56), (0, 55)]);
}

/// Guards against an order that is repeated at each check while the API does not answer.
#[test]
fn unanswered_order_pauses_before_its_retry() {
    let mut planner = ScalePlanner::default();
    let zone = |name: &str| ZoneCapacity {
        name: name.to_owned(),
        on_demand: 4,
        ..ZoneCapacity::default()
    };
    let zones = ["a", "b", "c"].map(zone);
    planner.due_orders(0, &bounds(), &zones);
    let targets = planner.due_orders(1_000, &bounds(), &zones);
    assert_eq!(targets.len(), 3);
    for target in &targets {
        planner.record_order(1_000, target, OrderOutcome::Unanswered);
    }
    assert!(planner.due_orders(2_400, &bounds(), &zones).is_empty());
    assert_eq!(planner.due_orders(2_500, &bounds(), &zones), targets);
}

/// Guards against a successor that takes what is left of a fleet for its target size.
#[test]
fn successor_keeps_the_target_size() {
    let mut planner = ScalePlanner::default();
    let target = ZoneTarget {
        zone: "a".to_owned(),
        kind: CapacityKind::Spot,
        desired: 37,
    };
    planner.adopt(111, &target);
    let zone = |name: &str| ZoneCapacity {
        name: name.to_owned(),
        spot: if name == "a" { 37 } else { 0 },
        ..ZoneCapacity::default()
    };
    let targets = planner.due_orders(0, &bounds(), &["a", "b", "c"].map(zone));
    let spot: usize = targets
        .iter()
        .filter(|target| target.kind == CapacityKind::Spot)
        .map(|target| target.desired)
        .sum();
    assert_eq!((planner.target_size(), spot), (Some(111), 167));
}

fn fleet(on_demand: usize, spot: usize) -> [ZoneCapacity; 3] {
    ["a", "b", "c"].map(|name| ZoneCapacity {
        name: name.to_owned(),
        on_demand,
        spot,
        ..ZoneCapacity::default()
    })
}

/// Guards against orders for a kind that does not exist, or that would cost more than what it
/// replaces.
#[test]
fn nothing_is_replaced_without_a_saving() {
    for spot_price in [0.0, 0.7, 1.0] {
        let bounds = ScalingBounds {
            spot_price,
            ..bounds()
        };
        let mut planner = ScalePlanner::default();
        assert!(
            planner.due_orders(0, &bounds, &fleet(10, 0)).is_empty(),
            "{spot_price}"
        );
    }
}

/// Guards against a fleet that grows by half with each restart of all instances, when the log has
/// lost the target size.
#[test]
fn replaced_fleet_keeps_its_size_after_restart() {
    let mut planner = ScalePlanner::default();
    assert!(planner.due_orders(0, &bounds(), &fleet(0, 56)).is_empty());
    assert_eq!(planner.target_size(), Some(112));
}

/// Guards against an order that the API refuses for good and that is repeated every other second.
#[test]
fn refused_order_pauses_long() {
    let mut planner = ScalePlanner::default();
    let targets = planner.due_orders(0, &bounds(), &fleet(4, 0));
    for target in &targets {
        planner.record_order(0, target, OrderOutcome::Refused);
    }
    assert!(
        planner
            .due_orders(7_999, &bounds(), &fleet(4, 0))
            .is_empty()
    );
    assert_eq!(planner.due_orders(8_000, &bounds(), &fleet(4, 0)), targets);
}
