//! Role changes of engines between prefill and decode: which are needed, and the orders for them.
//!
//! Every instance measures its own demand and learns the fleet's by gossip. Of the hubs that reach the store,
//! the sender of the last order is the leader. This only avoids duplicate orders for one change;
//! `lease::AppendLease` keeps orders safe even if several instances consider themselves the leader. Without
//! any leader, requests are served with the roles as they are. See docs/design/orders.md.

mod choice;
mod sending;
mod swaps;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use lease::{AppendLease, AppendLeaseTimes};
use plan::{
    Demand, MovingRate, PeakDemand, RoleSplit, SplitChange, SplitGoal, SplitPlanner,
    max_changes_at_once, max_changing,
};
use rand::Rng;
use serde::{Deserialize, Serialize};
use view::polling::ReaderRole;
use view::{InstanceKey, ServiceDemand};

use crate::relay::Relay;
use crate::upstream::{Stage, Upstream};

pub use sending::{order_logged, send_order};

use choice::Pauses;
use swaps::Swaps;

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

/// Why an engine is to change its role.
#[derive(Clone)]
enum ChangeReason {
    /// The number of engines in each role does not fit the demand.
    Split(SplitChange),
    /// A fast engine takes over prefill from the slow one with this id.
    SwapToPrefill { slow: String },
    /// A slow engine decodes, as a fast one has taken over prefill from it.
    SwapToDecode,
}

impl ChangeReason {
    /// Label in metrics and log lines.
    fn label(&self) -> &'static str {
        match self {
            Self::Split(_) => "split",
            Self::SwapToPrefill { .. } | Self::SwapToDecode => "swap",
        }
    }
}

/// A planned role change of one engine.
pub struct PlannedChange {
    /// The engine.
    pub engine: Rc<Upstream>,
    /// Its new role.
    pub stage: Stage,
    service: String,
    reason: ChangeReason,
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
    swaps: Swaps,
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
            .map(|each| f64::from(each.decoding()) / f64::from(each.slots) * speed(each))
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

/// Speed of an engine relative to the usual one, which is assumed while its pace is not known.
fn speed(engine: &Upstream) -> f64 {
    1.0 / engine.known_lasting_factor().unwrap_or(1.0)
}

/// Fast engines prefill where paces are known, so the others are worth more as decode engines.
fn split_goal(relay: &Relay, service: &str) -> SplitGoal {
    let is_auto = relay.settings.borrow().scheduling.pace.is_auto();
    if is_auto && relay.upstreams.borrow().reports_pace(service) {
        SplitGoal::SpareDecodes
    } else {
        SplitGoal::LeastPressure
    }
}

fn plan_service(
    relay: &Relay,
    service: &str,
    service_state: &mut ServiceState,
    engines: &[Rc<Upstream>],
    demand: &Demand,
) -> Vec<Rc<PlannedChange>> {
    let now_ms = relay.now_ms();
    let ordered_ms = relay.role_orders.ordered_ms.borrow();
    let pauses = Pauses::new(now_ms, &ordered_ms);
    let slow_to_order =
        service_state
            .swaps
            .advance(now_ms, engines, service_state.planner.wanted());
    let is_changing = |each: &&Rc<Upstream>| each.is_changing_role(now_ms);
    let (prefill, decode): (Vec<_>, Vec<_>) = engines
        .iter()
        .partition(|each| service_state.swaps.stage_after(each, now_ms) == Stage::Prefill);
    let split = RoleSplit {
        prefill: prefill.len(),
        decode: decode.len(),
        changing: engines.iter().filter(is_changing).count(),
    };
    let available = demand.at_speeds(&swaps::role_speeds(&prefill, &decode));
    let max = engines.len().div_ceil(ENGINES_PER_ORDER);
    let goal = split_goal(relay, service);
    service_state.planner.set_goal(goal);
    let due = service_state
        .planner
        .next_change(now_ms, &available, &split);
    let changes: Vec<(Rc<Upstream>, Stage, ChangeReason)> = if let Some(change) = due {
        let stage = match change {
            SplitChange::ToPrefill => Stage::Prefill,
            SplitChange::ToDecode => Stage::Decode,
        };
        let count = max.min(max_changes_at_once(change, &available, &split, goal));
        let eligible = engines
            .iter()
            .filter(|each| pauses.may_change(each) && !service_state.swaps.has_slow(&each.id));
        let chosen = choice::choose_engines(now_ms, engines, eligible, stage, count);
        let planned = |engine| (engine, stage, ChangeReason::Split(change));
        chosen.into_iter().map(planned).collect()
    } else if service_state.planner.wanted().is_none() {
        let eligible = engines.iter().filter(|each| pauses.may_change(each));
        let eligible: Vec<&Rc<Upstream>> = eligible.collect();
        let second = swaps::second_orders(&eligible, &slow_to_order);
        let first = service_state
            .swaps
            .first_orders(now_ms, &eligible, &available, &split);
        let room = max_changing(engines.len()).saturating_sub(split.changing);
        second
            .into_iter()
            .chain(first)
            .take(max.min(room))
            .collect()
    } else {
        Vec::new()
    };
    let planned = |(engine, stage, reason)| {
        Rc::new(PlannedChange {
            engine,
            stage,
            service: service.to_owned(),
            reason,
            demand: *demand,
            split,
        })
    };
    changes.into_iter().map(planned).collect()
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
