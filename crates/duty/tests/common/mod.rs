//! A platform that boots ordered engines, and the demand of callers, in virtual time.

use duty::scale::{
    CapacityKind, OrderOutcome, ScalePlanner, ScalingBounds, ZoneCapacity, ZoneTarget,
};
use view::ServiceDemand;

pub const BOOT_MS: u64 = 4_000;
const CHECK_MS: u64 = 250;
/// Time constant of the averages that instances gossip.
const AVERAGE_MS: f64 = 4_000.0;

pub fn bounds() -> ScalingBounds {
    let prices = [("a", 1.0), ("b", 0.85), ("c", 1.2), ("d", 1.1)];
    ScalingBounds {
        min_per_zone: 1,
        max_per_zone: 46,
        boot_ms: BOOT_MS,
        spot_price: 0.22,
        zone_prices: prices.map(|(name, price)| (name.to_owned(), price)).into(),
    }
}

/// What the platform does with orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Api {
    Works,
    /// Orders neither arrive nor are answered.
    Silent,
    /// Orders are accepted, and engines that should boot are forgotten.
    Forgets,
}

pub struct Replay {
    pub now_ms: u64,
    pub planner: ScalePlanner,
    pub zones: Vec<ZoneCapacity>,
    pub dry: Vec<&'static str>,
    pub api: Api,
    booting: Vec<(u64, ZoneTarget)>,
    /// Averages of demand as gossiped.
    average: [f64; 2],
    pub orders: Vec<(u64, ZoneTarget)>,
    pub engine_ms: u64,
    pub short_ms: u64,
    pub max_utilization: f64,
}

impl Replay {
    pub fn new(engines: usize, zones: usize, planner: ScalePlanner) -> Self {
        let names = &["a", "b", "c", "d"][..zones];
        let zone = |(at, name): (usize, &&str)| ZoneCapacity {
            name: (*name).to_owned(),
            on_demand: engines / zones + usize::from(at < engines % zones),
            ..ZoneCapacity::default()
        };
        Self {
            now_ms: 0,
            planner,
            zones: names.iter().enumerate().map(zone).collect(),
            dry: Vec::new(),
            api: Api::Works,
            booting: Vec::new(),
            average: [0.0; 2],
            orders: Vec::new(),
            engine_ms: 0,
            short_ms: 0,
            max_utilization: 0.0,
        }
    }

    pub fn serving(&self) -> usize {
        let all = self.zones.iter();
        all.map(|zone| zone.on_demand + zone.spot).sum()
    }

    pub fn spot(&self, name: &str) -> usize {
        let zone = self.zones.iter().find(|zone| zone.name == name);
        zone.map_or(0, |zone| zone.spot)
    }

    /// Runs with the demand for prefill and decode at each time.
    pub fn run(&mut self, for_ms: u64, demand: impl Fn(u64) -> [f64; 2]) {
        let until_ms = self.now_ms + for_ms;
        while self.now_ms < until_ms {
            self.now_ms += CHECK_MS;
            self.boot();
            let now = demand(self.now_ms);
            let weight = 1.0 - (-(CHECK_MS as f64) / AVERAGE_MS).exp();
            for (average, now) in self.average.iter_mut().zip(now) {
                *average += (now - *average) * weight;
            }
            let used = now.iter().sum::<f64>() / self.serving() as f64;
            self.max_utilization = self.max_utilization.max(used);
            self.short_ms += CHECK_MS * u64::from(used > 1.0);
            self.engine_ms += CHECK_MS * self.serving() as u64;
            let average = self.average.map(|engines| engines as f32);
            self.check(Some(&gossip(average)));
        }
    }

    /// Runs with what instances gossip, whatever the demand is.
    pub fn run_told(&mut self, for_ms: u64, told: Option<&ServiceDemand>) {
        let until_ms = self.now_ms + for_ms;
        while self.now_ms < until_ms {
            self.now_ms += CHECK_MS;
            self.boot();
            self.check(told);
        }
    }

    fn check(&mut self, told: Option<&ServiceDemand>) {
        let bounds = bounds();
        let planner = &mut self.planner;
        planner.observe_demand(self.now_ms, &bounds, told, false);
        for target in planner.due_orders(self.now_ms, &bounds, &self.zones) {
            let outcome = self.order(&target);
            self.planner.record_order(self.now_ms, &target, outcome);
            self.orders.push((self.now_ms, target));
        }
    }

    pub fn boot(&mut self) {
        let now_ms = self.now_ms;
        let ready = self.booting.extract_if(.., |(at_ms, _)| *at_ms <= now_ms);
        for (_, booted) in ready {
            let zone = (self.zones.iter_mut()).find(|zone| zone.name == booted.zone);
            *serving_mut(zone.unwrap(), booted.kind) += booted.desired;
        }
    }

    pub fn order(&mut self, target: &ZoneTarget) -> OrderOutcome {
        let zone = (self.zones.iter_mut()).find(|zone| zone.name == target.zone);
        let serving = serving_mut(zone.unwrap(), target.kind);
        let is_same = |other: &ZoneTarget| other.zone == target.zone && other.kind == target.kind;
        let all = self.booting.iter();
        let booting = all.filter(|(_, each)| is_same(each));
        let coming: usize = booting.map(|(_, each)| each.desired).sum();
        let is_spot = target.kind == CapacityKind::Spot;
        if self.api == Api::Silent {
            return OrderOutcome::Unanswered;
        }
        if target.desired < *serving + coming {
            self.booting.retain(|(_, each)| !is_same(each));
            *serving = target.desired.min(*serving);
        }
        let missing = target.desired.saturating_sub(*serving + coming);
        if missing > 0 && is_spot && self.dry.contains(&target.zone.as_str()) {
            return OrderOutcome::Dry;
        }
        if missing > 0 && self.api == Api::Works {
            let booting = ZoneTarget {
                desired: missing,
                ..target.clone()
            };
            self.booting.push((self.now_ms + BOOT_MS, booting));
        }
        OrderOutcome::Taken
    }

    /// Reclaims the spot engines of a zone, which has no more for now.
    pub fn reclaim(&mut self, name: &'static str) {
        let zone = self
            .zones
            .iter_mut()
            .find(|zone| zone.name == name)
            .unwrap();
        zone.spot_reclaimed = std::mem::take(&mut zone.spot);
        self.dry.push(name);
    }

    pub fn restore(&mut self) {
        self.dry.clear();
        self.zones
            .iter_mut()
            .for_each(|zone| zone.spot_reclaimed = 0);
    }
}

fn serving_mut(zone: &mut ZoneCapacity, kind: CapacityKind) -> &mut usize {
    match kind {
        CapacityKind::OnDemand => &mut zone.on_demand,
        CapacityKind::Spot => &mut zone.spot,
    }
}

pub fn gossip([prefill_engines, decode_engines]: [f32; 2]) -> ServiceDemand {
    ServiceDemand {
        service: "llm".to_owned(),
        prefill_engines,
        decode_engines,
        requests_per_s: 500.0,
    }
}

/// Demand of a day as seen on the largest deployments, for a fleet that starts with `engines`: long
/// prompts rush for 14 s in 28, bursts of 3 s follow each other every 17 s, and the zones wave.
pub fn swings(engines: usize) -> impl Fn(u64) -> [f64; 2] + Copy {
    move |now_ms| {
        let rush = if now_ms % 28_000 < 14_000 { 1.8 } else { 1.0 };
        let burst = if now_ms % 17_000 < 3_000 { 1.9 } else { 1.0 };
        let wave = 1.0 + 0.1 * (now_ms as f64 / 6_000.0).sin();
        [0.115 * rush * wave, 0.065 * burst * wave].map(|part| part * engines as f64)
    }
}
