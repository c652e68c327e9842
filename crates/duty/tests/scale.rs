//! Engines that are ordered, taken back, not to be had, or late.

use duty::scale::{
    CapacityKind, OrderOutcome, ScalePlanner, ScalingBounds, ZoneCapacity, ZoneTarget,
};

fn terms() -> ScalingBounds {
    let prices = [("a", 1.0), ("b", 0.8), ("c", 1.25)];
    ScalingBounds {
        min_per_zone: 1,
        max_per_zone: 76,
        spot_price: 0.22,
        zone_prices: prices.map(|(name, price)| (name.to_owned(), price)).into(),
    }
}

/// A platform that gives what is ordered after the boot time, unless a zone is dry.
struct Platform {
    now_ms: u64,
    scaling: ScalePlanner,
    zones: Vec<ZoneCapacity>,
    coming: Vec<(u64, ZoneTarget)>,
    dry: Vec<&'static str>,
    least: usize,
    most_of_a_zone: usize,
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
            scaling: ScalePlanner::default(),
            zones: ["a", "b", "c"].map(zone).into(),
            coming: Vec::new(),
            dry: Vec::new(),
            least: usize::MAX,
            most_of_a_zone: 0,
            orders: 0,
        }
    }

    fn run(&mut self, for_ms: u64) {
        let until_ms = self.now_ms + for_ms;
        while self.now_ms < until_ms {
            self.now_ms += 250;
            let due = self
                .coming
                .extract_if(.., |(at_ms, _)| *at_ms <= self.now_ms);
            for (_, wish) in due {
                let zone = self
                    .zones
                    .iter_mut()
                    .find(|zone| zone.name == wish.zone)
                    .unwrap();
                match wish.kind {
                    CapacityKind::OnDemand => zone.on_demand = wish.desired,
                    CapacityKind::Spot => zone.spot = wish.desired,
                }
            }
            let wishes = self.scaling.due_orders(self.now_ms, &terms(), &self.zones);
            for wish in wishes {
                self.order(&wish);
            }
            let serving = self
                .zones
                .iter()
                .map(|zone| zone.on_demand + zone.spot)
                .sum();
            self.least = self.least.min(serving);
            let sizes = self.zones.iter().map(|zone| zone.on_demand + zone.spot);
            self.most_of_a_zone = sizes.fold(self.most_of_a_zone, usize::max);
        }
    }

    fn order(&mut self, wish: &ZoneTarget) {
        self.orders += 1;
        let zone = self
            .zones
            .iter()
            .find(|zone| zone.name == wish.zone)
            .unwrap();
        let there = match wish.kind {
            CapacityKind::OnDemand => zone.on_demand,
            CapacityKind::Spot => zone.spot,
        };
        let is_dry = wish.kind == CapacityKind::Spot && self.dry.contains(&wish.zone.as_str());
        let outcome = if is_dry && wish.desired > there {
            OrderOutcome::Dry
        } else {
            let wait_ms = if wish.desired > there { 4_000 } else { 0 };
            self.coming.push((self.now_ms + wait_ms, wish.clone()));
            OrderOutcome::Taken
        };
        self.scaling.record_order(self.now_ms, wish, outcome);
    }

    fn take_back(&mut self, name: &str) {
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

/// Load: a fleet of engines on demand. The others cost a fifth, so all of them are replaced, by as many as leave the size
/// that the operators set up when a zone is lost; at no moment fewer serve, and no zone goes beyond its bound.
#[test]
fn the_fleet_becomes_one_that_costs_less_and_never_shrinks() {
    let mut platform = Platform::with(111);
    platform.run(12_000);
    assert_eq!(platform.counts(), [(0, 56), (0, 56), (0, 55)]);
    assert_eq!(platform.least, 111);
    assert!(platform.most_of_a_zone <= 76);
    let orders = platform.orders;
    platform.run(60_000);
    assert_eq!(platform.orders, orders, "orders without a cause");
}

/// Load: a zone's engines are all taken back and none are to be had there. Those that are left are as many as were set up,
/// the other zones give what they may within the boot time, and nothing more is asked of the dry one than it must have.
#[test]
fn what_a_zone_takes_back_comes_from_the_others() {
    let mut platform = Platform::with(111);
    platform.run(12_000);
    platform.dry = vec!["b"];
    platform.take_back("b");
    platform.run(5_000);
    assert_eq!(platform.counts(), [(0, 76), (1, 0), (0, 76)]);
    assert_eq!(platform.least, 111);
}

/// Load: no zone has any of the cheap ones left. Those on demand come back until it has.
#[test]
fn where_none_are_to_be_had_engines_on_demand_come_back() {
    let mut platform = Platform::with(111);
    platform.run(12_000);
    platform.dry = vec!["a", "b", "c"];
    for zone in ["a", "b", "c"] {
        platform.take_back(zone);
    }
    platform.run(10_000);
    assert_eq!(platform.counts(), [(37, 0), (37, 0), (37, 0)]);
    platform.dry = Vec::new();
    platform
        .zones
        .iter_mut()
        .for_each(|zone| zone.spot_reclaimed = 0);
    platform.run(20_000);
    assert_eq!(platform.counts(), [(0, 56), (0, 56), (0, 55)]);
}

/// Guards against an order that is given again at each look while the API does not answer.
#[test]
fn an_order_without_an_answer_rests_before_it_is_given_again() {
    let mut scaling = ScalePlanner::default();
    let zone = |name: &str| ZoneCapacity {
        name: name.to_owned(),
        on_demand: 4,
        ..ZoneCapacity::default()
    };
    let zones = ["a", "b", "c"].map(zone);
    scaling.due_orders(0, &terms(), &zones);
    let wishes = scaling.due_orders(1_000, &terms(), &zones);
    assert_eq!(wishes.len(), 3);
    for wish in &wishes {
        scaling.record_order(1_000, wish, OrderOutcome::Unanswered);
    }
    assert!(scaling.due_orders(2_400, &terms(), &zones).is_empty());
    assert_eq!(scaling.due_orders(2_500, &terms(), &zones), wishes);
}

/// Guards against a successor that takes the half of a fleet which is left for the size that is wanted.
#[test]
fn a_successor_goes_on_with_the_size_that_was_wanted() {
    let mut scaling = ScalePlanner::default();
    let wish = ZoneTarget {
        zone: "a".to_owned(),
        kind: CapacityKind::Spot,
        desired: 37,
    };
    scaling.adopt(111, &wish);
    let zone = |name: &str| ZoneCapacity {
        name: name.to_owned(),
        spot: if name == "a" { 37 } else { 0 },
        ..ZoneCapacity::default()
    };
    let wishes = scaling.due_orders(0, &terms(), &["a", "b", "c"].map(zone));
    let spot: usize = wishes
        .iter()
        .filter(|wish| wish.kind == CapacityKind::Spot)
        .map(|wish| wish.desired)
        .sum();
    assert_eq!((scaling.target_size(), spot), (Some(111), 167));
}

fn fleet(on_demand: usize, spot: usize) -> [ZoneCapacity; 3] {
    ["a", "b", "c"].map(|name| ZoneCapacity {
        name: name.to_owned(),
        on_demand,
        spot,
        ..ZoneCapacity::default()
    })
}

/// Guards against orders for a kind that there is not, or that would cost more than what it replaces.
#[test]
fn nothing_is_replaced_where_it_would_not_cost_less() {
    for spot_price in [0.0, 0.7, 1.0] {
        let terms = ScalingBounds {
            spot_price,
            ..terms()
        };
        let mut scaling = ScalePlanner::default();
        assert!(
            scaling.due_orders(0, &terms, &fleet(10, 0)).is_empty(),
            "{spot_price}"
        );
    }
}

/// Guards against a fleet that grows by half with each restart of all instances, when the log has lost what was wanted.
#[test]
fn a_fleet_that_was_replaced_before_keeps_its_size() {
    let mut scaling = ScalePlanner::default();
    assert!(scaling.due_orders(0, &terms(), &fleet(0, 56)).is_empty());
    assert_eq!(scaling.target_size(), Some(112));
}

/// Guards against an order that the API refuses for good and that is given again every other second.
#[test]
fn an_order_that_was_refused_rests_for_long() {
    let mut scaling = ScalePlanner::default();
    let wishes = scaling.due_orders(0, &terms(), &fleet(4, 0));
    for wish in &wishes {
        scaling.record_order(0, wish, OrderOutcome::Refused);
    }
    assert!(scaling.due_orders(7_999, &terms(), &fleet(4, 0)).is_empty());
    assert_eq!(scaling.due_orders(8_000, &terms(), &fleet(4, 0)), wishes);
}
