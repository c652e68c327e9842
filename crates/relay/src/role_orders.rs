//! Changes of engines' roles: which are wished for, and how one is ordered.
//!
//! Every instance measures what it is asked and knows the sum of what all are; of the hubs that
//! reach the store, the one that gave the last order acts on it. That only keeps instances from asking for
//! the same change at once: what makes an order safe is `lease::AppendLease`, whoever believes to be the one.
//! Without any of them requests are served as before. See docs/design/orders.md.

mod sending;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use lease::{AppendLease, AppendLeaseTimes};
use plan::{
    Demand, HealthStatus, MovingRate, PeakDemand, RoleSplit, SplitChange, SplitPlanner,
    max_changes_at_once,
};
use rand::Rng;
use serde::{Deserialize, Serialize};
use view::polling::ReaderRole;
use view::{InstanceKey, ServiceDemand};

use crate::relay::Relay;
use crate::upstream::{Stage, Upstream};

pub use sending::{order_logged, send_order};

/// Time between two looks at the split, in ms.
pub const CHECK_INTERVAL_MS: u64 = 250;

/// Time for which traffic must have been seen before anything is ordered, in ms: some dozens of
/// requests an instance at the usual load.
const SEEN_MS: u64 = 1_500;

/// Requests a second that all instances must have for the split to be changed: with fewer nobody waits, and
/// one that hears nobody and is reached by no caller would believe that nothing is asked for.
const LEAST_REQUESTS_A_S: f64 = 3.0;

/// Engines of a service for each order that one look may give: with four looks a second, a fleet
/// of two hundred has as many on their way as may be away within two seconds.
const ENGINES_AN_ORDER: usize = 48;

/// Time between two looks of a reader that gives no orders at whether another one does, in ms: less than
/// the quiet time that it would else have to wait before its first.
pub const STANDBY_READ_INTERVAL_MS: u64 = 6_000;

/// Age from which an upstream may be ordered, in ms; one that is newly back may go again.
const SETTLED_MS: u64 = 1_000;

/// Time after an order until its engine may get another one, in ms: orders that are carried out late
/// come up to 12 s after.
const REST_MS: u64 = 15_000;

/// An order as it stands in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleOrderRecord {
    /// Life of the process that may send it.
    pub holder: u64,
    /// Name of its instance, for people.
    pub instance: String,
    /// Engine that it is for.
    pub engine: String,
    /// What the engine is to do.
    pub stage: Stage,
}

/// An order as an engine gets it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoleOrder<'a> {
    /// Instance that gives it.
    pub holder: &'a str,
    /// Fencing token.
    pub fence: u64,
    /// Orders that the engine must have taken before; another number makes it refuse.
    pub orders_before: u64,
    /// Whether it is to read prompts, or to make output.
    pub is_prefill: bool,
}

/// A change that is wished for.
pub struct PlannedChange {
    /// The engine.
    pub engine: Rc<Upstream>,
    /// What it is to do.
    pub stage: Stage,
    service: String,
    turn: SplitChange,
    demand: Demand,
    split: RoleSplit,
}

/// What is asked of one service, as this instance sees it.
#[derive(Default)]
struct Asked {
    reading: MovingRate,
    making: MovingRate,
    requests: MovingRate,
    peak: PeakDemand,
    plan: SplitPlanner,
}

/// Orders of one instance.
pub struct RoleOrders {
    append_lease: RefCell<AppendLease>,
    asked: RefCell<HashMap<String, Asked>>,
    given: RefCell<HashMap<String, u64>>,
    looked_ms: Cell<u64>,
    last_fence: Cell<u64>,
    lost_store: Cell<bool>,
}

impl RoleOrders {
    /// An instance that has given none, where holders must be `lease_ms` apart.
    pub fn new(lease_ms: u64) -> Self {
        Self {
            append_lease: RefCell::new(AppendLease::new(
                rand::rng().random(),
                AppendLeaseTimes::for_orders(lease_ms),
            )),
            asked: RefCell::default(),
            given: RefCell::default(),
            looked_ms: Cell::default(),
            last_fence: Cell::default(),
            lost_store: Cell::default(),
        }
    }

    /// A call to the store was answered, or was not.
    pub fn record_store_call(&self, was_answered: bool) {
        self.lost_store.set(!was_answered);
    }

    /// What callers ask of this instance, to be told to others.
    pub fn demand(&self, now_ms: u64) -> Vec<ServiceDemand> {
        let all = self.asked.borrow();
        let told = all.iter().map(|(service, asked)| ServiceDemand {
            service: service.clone(),
            prefill_engines: asked.reading.per_ms(now_ms) as f32,
            decode_engines: asked.making.per_ms(now_ms) as f32,
            requests_per_s: (asked.requests.per_ms(now_ms) * 1_000.0) as f32,
        });
        told.collect()
    }

    /// What this instance knows of the log of orders.
    pub fn append_lease(&self) -> &RefCell<AppendLease> {
        &self.append_lease
    }

    /// A generation was asked for that takes an engine `read_ms` to read, served or not.
    pub fn record_demand(&self, service: &str, now_ms: u64, read_ms: f64) {
        let mut all = self.asked.borrow_mut();
        if !all.contains_key(service) {
            all.insert(service.to_owned(), Asked::default());
        }
        if let Some(asked) = all.get_mut(service) {
            asked.reading.add(now_ms, read_ms);
            asked.requests.add(now_ms, 1.0);
        }
    }
}

/// Fencing token of the last order that this instance gave, if it may give the next: it is a hub, so that
/// it hears what all are asked, and has not lost the store.
pub fn leader_fence(relay: &Relay, duty: ReaderRole) -> Option<u64> {
    let is_alone = !relay.members.borrow().has_members();
    let hears_all = duty <= ReaderRole::Hub || is_alone;
    let may = relay.is_ready() && hears_all && !relay.role_orders.lost_store.get();
    may.then(|| relay.role_orders.last_fence.get())
}

/// Whether this instance gives the orders now: the one that gave the last, so that no time passes in
/// which two must be apart, or else the first by key.
fn is_giver(relay: &Relay) -> bool {
    let Some(fence) = leader_fence(relay, relay.reader_role()) else {
        return false;
    };
    let own = InstanceKey::of(&relay.settings.borrow().name);
    has_precedence((own, fence), relay.gossip.borrow().order_candidates())
}

/// Whether one instance goes before the others, each with the token of what it did last: the one that acted last, or
/// else the first by key.
pub fn has_precedence(
    (own, fence): (InstanceKey, u64),
    mut others: impl Iterator<Item = (InstanceKey, u64)>,
) -> bool {
    let goes_before =
        |(key, theirs)| (theirs, std::cmp::Reverse(key)) > (fence, std::cmp::Reverse(own));
    !others.any(goes_before)
}

/// Measures what is asked, and gives the changes that this instance should order now.
pub fn plan_changes(relay: &Relay) -> Vec<Rc<PlannedChange>> {
    let now_ms = relay.now_ms();
    let orders = &relay.role_orders;
    let looked_ms = orders.looked_ms.replace(now_ms);
    let passed_ms = now_ms.saturating_sub(looked_ms).min(CHECK_INTERVAL_MS);
    let is_giver = is_giver(relay);
    let others = relay.gossip.borrow().demand();
    let mut all = orders.asked.borrow_mut();
    let mut wishes = Vec::new();
    for (service, asked) in all.iter_mut() {
        let engines = engines(relay, service, now_ms);
        let places: f64 = engines
            .iter()
            .filter(|each| each.stage() == Stage::Decode)
            .map(|each| f64::from(each.decoding()) / f64::from(each.slots))
            .sum();
        asked.making.add(now_ms, places * passed_ms as f64);
        let others = others.iter().find(|each| each.service == *service);
        // Noted by all, so that whoever gives the next orders knows the rushes of before.
        let demand = asked.demand(now_ms, others);
        if is_giver && let Some(demand) = demand {
            wishes.extend(wished(relay, service, asked, &engines, &demand));
        }
    }
    wishes
}

impl Asked {
    /// The most that all instances were asked of late; nothing while too little is seen.
    fn demand(&mut self, now_ms: u64, others: Option<&ServiceDemand>) -> Option<Demand> {
        let others = others.cloned().unwrap_or_default();
        let requests_a_s =
            self.requests.per_ms(now_ms) * 1_000.0 + f64::from(others.requests_per_s);
        if self.requests.observed_ms(now_ms) < SEEN_MS || requests_a_s < LEAST_REQUESTS_A_S {
            return None;
        }
        let now = Demand {
            prefill: self.reading.per_ms(now_ms) + f64::from(others.prefill_engines),
            decode: self.making.per_ms(now_ms) + f64::from(others.decode_engines),
        };
        Some(self.peak.record(now_ms, &now))
    }
}

/// Engines of a service that split the two steps of a generation.
fn engines(relay: &Relay, service: &str, now_ms: u64) -> Vec<Rc<Upstream>> {
    let upstreams = relay.upstreams.borrow();
    let all = upstreams.ready(service, now_ms);
    all.filter(|each| each.stage() != Stage::Whole)
        .cloned()
        .collect()
}

fn wished(
    relay: &Relay,
    service: &str,
    asked: &mut Asked,
    engines: &[Rc<Upstream>],
    demand: &Demand,
) -> Vec<Rc<PlannedChange>> {
    let now_ms = relay.now_ms();
    let away = |each: &&Rc<Upstream>| each.is_changing_role(now_ms);
    let reads = |each: &&Rc<Upstream>| each.target_stage(now_ms) == Stage::Prefill;
    let split = RoleSplit {
        prefill: engines.iter().filter(reads).count(),
        decode: engines.iter().filter(|each| !reads(each)).count(),
        changing: engines.iter().filter(away).count(),
    };
    let Some(turn) = asked.plan.next_change(now_ms, demand, &split) else {
        return Vec::new();
    };
    let stage = match turn {
        SplitChange::ToPrefill => Stage::Prefill,
        SplitChange::ToDecode => Stage::Decode,
    };
    let most = engines.len().div_ceil(ENGINES_AN_ORDER);
    let count = most.min(max_changes_at_once(turn, demand, &split));
    let chosen = chosen(relay, engines, stage, count);
    let wish = |engine| {
        Rc::new(PlannedChange {
            engine,
            stage,
            service: service.to_owned(),
            turn,
            demand: *demand,
            split,
        })
    };
    chosen.into_iter().map(wish).collect()
}

/// The engines that are to change: each of the zone with the fewest of the new kind, the one there with
/// the least to do.
fn chosen(
    relay: &Relay,
    engines: &[Rc<Upstream>],
    stage: Stage,
    count: usize,
) -> Vec<Rc<Upstream>> {
    let now_ms = relay.now_ms();
    let given = relay.role_orders.given.borrow();
    let rests = |each: &Upstream| {
        let at_ms = given.get(&each.id);
        at_ms.is_some_and(|at_ms| now_ms < at_ms + REST_MS)
    };
    let mut there: HashMap<&str, usize> = HashMap::new();
    for each in engines {
        let is_there = each.target_stage(now_ms) == stage;
        *there.entry(&each.zone).or_default() += usize::from(is_there);
    }
    let mut free: Vec<&Rc<Upstream>> = engines
        .iter()
        .filter(|each| each.stage() != stage && !each.is_changing_role(now_ms) && !rests(each))
        .filter(|each| {
            each.verdict(now_ms) == HealthStatus::Healthy && each.age_ms(now_ms) >= SETTLED_MS
        })
        .collect();
    let mut chosen = Vec::new();
    while chosen.len() < count {
        let least = free.iter().enumerate().min_by(|(_, a), (_, b)| {
            let by_zone = there[a.zone.as_str()].cmp(&there[b.zone.as_str()]);
            by_zone.then(a.load(now_ms).total_cmp(&b.load(now_ms)))
        });
        let Some((at, _)) = least else {
            break;
        };
        let engine = free.swap_remove(at);
        *there.entry(&engine.zone).or_default() += 1;
        chosen.push(Rc::clone(engine));
    }
    chosen
}

/// The record of an order that is wished for.
pub fn order_record(relay: &Relay, wish: &PlannedChange) -> RoleOrderRecord {
    RoleOrderRecord {
        holder: relay.role_orders.append_lease.borrow().holder(),
        instance: relay.settings.borrow().name.clone(),
        engine: wish.engine.id.clone(),
        stage: wish.stage,
    }
}
