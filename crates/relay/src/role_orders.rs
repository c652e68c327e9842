//! Role changes of engines between prefill and decode: which are needed, and the orders for them.
//!
//! Every instance measures its own demand and learns the fleet's by gossip. Of the hubs that reach the store,
//! the sender of the last order is the leader. This only avoids duplicate orders for one change;
//! `lease::AppendLease` keeps orders safe even if several instances consider themselves the leader. Without
//! any leader, requests are served with the roles as they are. See docs/design/orders.md.

mod sending;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use lease::{AppendLease, AppendLeaseTimes};
use plan::{
    Demand, HealthStatus, MovingRate, PeakDemand, RoleSplit, SplitChange, SplitPlanner,
    max_changes_at_once, speed_class,
};
use rand::Rng;
use serde::{Deserialize, Serialize};
use view::polling::ReaderRole;
use view::{InstanceKey, ServiceDemand};

use crate::relay::Relay;
use crate::upstream::{Stage, Upstream};

pub use sending::{order_logged, send_order};

/// Interval between checks of the role split, in ms.
pub const CHECK_INTERVAL_MS: u64 = 250;

/// Time for which demand must have been observed before anything is ordered, in ms: some dozens of requests
/// per instance at the usual load.
const MIN_OBSERVED_MS: u64 = 1_500;

/// Minimum request rate of the fleet for role changes, per second. With fewer requests none waits, and an
/// instance without gossip and callers would conclude that there is no demand.
const MIN_REQUESTS_PER_S: f64 = 3.0;

/// Number of a service's engines for each order that one check may give. With four checks per second, a fleet of
/// 200 reaches the limit on concurrent role changes within two seconds.
const ENGINES_PER_ORDER: usize = 48;

/// Interval at which a log reader that does not lead checks for orders of another instance, in ms. It is shorter
/// than the pause that `lease::AppendLease` requires after such an order, so it need not wait before its own first one.
pub const STANDBY_READ_INTERVAL_MS: u64 = 6_000;

/// Minimum age of an engine for an order, in ms; one that has just returned may be about to leave again.
const MIN_ENGINE_AGE_MS: u64 = 1_000;

/// Minimum time between two orders to one engine, in ms: an order may take effect up to 12 s late.
const ENGINE_PAUSE_MS: u64 = 15_000;

/// An order's record in the log, appended before the order is sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoleOrderRecord {
    /// Random number of the process that appended the record and may send the order.
    pub holder: u64,
    /// Name of its instance, for operators.
    pub instance: String,
    /// Id of the engine.
    pub engine: String,
    /// The engine's new role.
    pub stage: Stage,
}

/// An order as sent to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoleOrder<'a> {
    /// Name of the instance that sends it.
    pub holder: &'a str,
    /// Fencing token.
    pub fence: u64,
    /// Number of orders that the engine must have accepted before; it refuses the order if it has another number.
    pub orders_before: u64,
    /// Whether the new role is prefill; decode otherwise.
    pub is_prefill: bool,
}

/// A planned role change of one engine.
pub struct PlannedChange {
    /// The engine.
    pub engine: Rc<Upstream>,
    /// Its new role.
    pub stage: Stage,
    service: String,
    change: SplitChange,
    demand: Demand,
    split: RoleSplit,
}

/// Demand for one service as measured at this instance, and the plan for its engines.
#[derive(Default)]
struct ServiceState {
    prefill: MovingRate,
    decode: MovingRate,
    requests: MovingRate,
    peak: PeakDemand,
    planner: SplitPlanner,
}

/// State of role orders at one instance, whether it leads or not.
pub struct RoleOrders {
    append_lease: RefCell<AppendLease>,
    services: RefCell<HashMap<String, ServiceState>>,
    /// Time of the last order to each engine.
    ordered_ms: RefCell<HashMap<String, u64>>,
    checked_ms: Cell<u64>,
    /// Fencing token of the last order that this instance gave, or 0.
    last_fence: Cell<u64>,
    last_store_call_failed: Cell<bool>,
}

impl RoleOrders {
    /// Creates the state at start; orders of two leaders are at least `lease_ms` apart.
    pub fn new(lease_ms: u64) -> Self {
        Self {
            append_lease: RefCell::new(AppendLease::new(
                rand::rng().random(),
                AppendLeaseTimes::for_orders(lease_ms),
            )),
            services: RefCell::default(),
            ordered_ms: RefCell::default(),
            checked_ms: Cell::default(),
            last_fence: Cell::default(),
            last_store_call_failed: Cell::default(),
        }
    }

    /// Records whether a call to the store was answered.
    pub fn record_store_call(&self, was_answered: bool) {
        self.last_store_call_failed.set(!was_answered);
    }

    /// The demand of this instance's callers, for gossip.
    pub fn demand(&self, now_ms: u64) -> Vec<ServiceDemand> {
        let services = self.services.borrow();
        let demand = services.iter().map(|(service, state)| ServiceDemand {
            service: service.clone(),
            prefill_engines: state.prefill.per_ms(now_ms) as f32,
            decode_engines: state.decode.per_ms(now_ms) as f32,
            requests_per_s: (state.requests.per_ms(now_ms) * 1_000.0) as f32,
        });
        demand.collect()
    }

    /// Append lease on the log of orders, with the last known end of the log.
    pub fn append_lease(&self) -> &RefCell<AppendLease> {
        &self.append_lease
    }

    /// Records a requested generation, served or not, with the time that its prefill takes an engine.
    pub fn record_demand(&self, service: &str, now_ms: u64, prefill_ms: f64) {
        let mut services = self.services.borrow_mut();
        if !services.contains_key(service) {
            services.insert(service.to_owned(), ServiceState::default());
        }
        if let Some(state) = services.get_mut(service) {
            state.prefill.add(now_ms, prefill_ms);
            state.requests.add(now_ms, 1.0);
        }
    }
}

/// Fencing token of the last order that this instance gave, or 0; none if it may not give the next one. Only
/// hubs may, since they know the demand of the whole fleet, and only while they reach the store and all services.
pub fn leader_fence(relay: &Relay, reader_role: ReaderRole) -> Option<u64> {
    let is_alone = !relay.members.borrow().has_members();
    let knows_demand = reader_role <= ReaderRole::Hub || is_alone;
    let may_lead = relay.is_ready()
        && knows_demand
        && !relay.role_orders.last_store_call_failed.get()
        && relay.unreached_services().is_empty();
    may_lead.then(|| relay.role_orders.last_fence.get())
}

/// Whether this instance is the leader. The sender of the last order has precedence, since it need not wait
/// for the pause between orders of two instances; without one, the lowest key has.
fn is_leader(relay: &Relay) -> bool {
    let Some(fence) = leader_fence(relay, relay.reader_role()) else {
        return false;
    };
    let own = InstanceKey::of(&relay.settings.borrow().name);
    has_precedence((own, fence), relay.gossip.borrow().order_candidates())
}

/// Whether an instance has precedence over others, each given with its last fencing token: the highest token wins,
/// then the lowest key.
pub fn has_precedence(
    (own, fence): (InstanceKey, u64),
    mut others: impl Iterator<Item = (InstanceKey, u64)>,
) -> bool {
    let precedes =
        |(key, theirs)| (theirs, std::cmp::Reverse(key)) > (fence, std::cmp::Reverse(own));
    !others.any(precedes)
}

/// Updates the demand and returns the role changes that this instance should order now; none if it does not lead.
pub fn plan_changes(relay: &Relay) -> Vec<Rc<PlannedChange>> {
    let now_ms = relay.now_ms();
    let orders = &relay.role_orders;
    let checked_ms = orders.checked_ms.replace(now_ms);
    let elapsed_ms = now_ms.saturating_sub(checked_ms).min(CHECK_INTERVAL_MS);
    let is_leader = is_leader(relay);
    let peer_demand = relay.gossip.borrow().demand();
    let mut services = orders.services.borrow_mut();
    let mut changes = Vec::new();
    for (service, state) in services.iter_mut() {
        let engines = engines(relay, service, now_ms);
        let busy_engines: f64 = engines
            .iter()
            .filter(|each| each.stage() == Stage::Decode)
            .map(|each| f64::from(each.decoding()) / f64::from(each.slots))
            .sum();
        state.decode.add(now_ms, busy_engines * elapsed_ms as f64);
        let peers = peer_demand.iter().find(|each| each.service == *service);
        // Recorded by all instances, so that a new leader knows earlier peaks.
        let demand = state.fleet_demand(now_ms, peers);
        if is_leader && let Some(demand) = demand {
            changes.extend(plan_service(relay, service, state, &engines, &demand));
        }
    }
    changes
}

impl ServiceState {
    /// The recent peak demand of the fleet; none while there are too few observations or requests.
    fn fleet_demand(&mut self, now_ms: u64, peers: Option<&ServiceDemand>) -> Option<Demand> {
        let peers = peers.cloned().unwrap_or_default();
        let requests_per_s =
            self.requests.per_ms(now_ms) * 1_000.0 + f64::from(peers.requests_per_s);
        if self.requests.observed_ms(now_ms) < MIN_OBSERVED_MS
            || requests_per_s < MIN_REQUESTS_PER_S
        {
            return None;
        }
        let now = Demand {
            prefill: self.prefill.per_ms(now_ms) + f64::from(peers.prefill_engines),
            decode: self.decode.per_ms(now_ms) + f64::from(peers.decode_engines),
        };
        Some(self.peak.record(now_ms, &now))
    }
}

/// Ready engines of a service whose role is prefill or decode; those that do both have no role to change.
fn engines(relay: &Relay, service: &str, now_ms: u64) -> Vec<Rc<Upstream>> {
    let upstreams = relay.upstreams.borrow();
    let all = upstreams.ready(service, now_ms);
    all.filter(|each| each.stage() != Stage::Whole)
        .cloned()
        .collect()
}

fn plan_service(
    relay: &Relay,
    service: &str,
    service_state: &mut ServiceState,
    engines: &[Rc<Upstream>],
    demand: &Demand,
) -> Vec<Rc<PlannedChange>> {
    let now_ms = relay.now_ms();
    let is_changing = |each: &&Rc<Upstream>| each.is_changing_role(now_ms);
    let is_prefill = |each: &&Rc<Upstream>| each.target_stage(now_ms) == Stage::Prefill;
    let split = RoleSplit {
        prefill: engines.iter().filter(is_prefill).count(),
        decode: engines.iter().filter(|each| !is_prefill(each)).count(),
        changing: engines.iter().filter(is_changing).count(),
    };
    let Some(change) = service_state.planner.next_change(now_ms, demand, &split) else {
        return Vec::new();
    };
    let stage = match change {
        SplitChange::ToPrefill => Stage::Prefill,
        SplitChange::ToDecode => Stage::Decode,
    };
    let max = engines.len().div_ceil(ENGINES_PER_ORDER);
    let count = max.min(max_changes_at_once(change, demand, &split));
    let chosen = choose_engines(relay, engines, stage, count);
    let planned = |engine| {
        Rc::new(PlannedChange {
            engine,
            stage,
            service: service.to_owned(),
            change,
            demand: *demand,
            split,
        })
    };
    chosen.into_iter().map(planned).collect()
}

/// Chooses the engines to change, one after the other: a fast one to prefill or a slow one to decode, then the one
/// with the lowest load in the zone with the fewest engines of the new role.
///
/// A prompt keeps a prefill engine busy, so a fast one serves more of them; a decode engine is bound by its slots.
fn choose_engines(
    relay: &Relay,
    engines: &[Rc<Upstream>],
    stage: Stage,
    count: usize,
) -> Vec<Rc<Upstream>> {
    let now_ms = relay.now_ms();
    let ordered_ms = relay.role_orders.ordered_ms.borrow();
    let is_paused = |each: &Upstream| {
        let at_ms = ordered_ms.get(&each.id);
        at_ms.is_some_and(|at_ms| now_ms < at_ms + ENGINE_PAUSE_MS)
    };
    let mut in_zone: HashMap<&str, usize> = HashMap::new();
    for each in engines {
        let has_role = each.target_stage(now_ms) == stage;
        *in_zone.entry(&each.zone).or_default() += usize::from(has_role);
    }
    let mut candidates: Vec<&Rc<Upstream>> = engines
        .iter()
        .filter(|each| each.stage() != stage && !each.is_changing_role(now_ms) && !is_paused(each))
        .filter(|each| {
            each.health_status(now_ms) == HealthStatus::Healthy
                && each.accepts_requests(now_ms)
                && each.age_ms(now_ms) >= MIN_ENGINE_AGE_MS
        })
        .collect();
    let mut chosen = Vec::new();
    while chosen.len() < count {
        let best = candidates.iter().enumerate().min_by(|(_, a), (_, b)| {
            let by_speed = speed_rank(a, stage).cmp(&speed_rank(b, stage));
            let by_zone = in_zone[a.zone.as_str()].cmp(&in_zone[b.zone.as_str()]);
            by_speed
                .then(by_zone)
                .then(a.load(now_ms).total_cmp(&b.load(now_ms)))
        });
        let Some((at, _)) = best else {
            break;
        };
        let engine = candidates.swap_remove(at);
        *in_zone.entry(&engine.zone).or_default() += 1;
        chosen.push(Rc::clone(engine));
    }
    chosen
}

/// Place of an engine, by its speed, among those that may change to a stage; equal while no pace is known.
fn speed_rank(engine: &Upstream, stage: Stage) -> i32 {
    let class = speed_class(engine.lasting_factor());
    match stage {
        Stage::Prefill => class,
        Stage::Decode | Stage::Whole => -class,
    }
}

/// The record of the order for a planned change.
pub fn order_record(relay: &Relay, planned: &PlannedChange) -> RoleOrderRecord {
    RoleOrderRecord {
        holder: relay.role_orders.append_lease.borrow().holder(),
        instance: relay.settings.borrow().name.clone(),
        engine: planned.engine.id.clone(),
        stage: planned.stage,
    }
}
