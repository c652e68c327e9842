//! What this instance does for the whole fleet, or leaves to the one that does.
//!
//! Every instance counts what runs for whom and passes it on. A few, the keepers, gather all of it; one of them reports
//! usage and orders engines. Which one that is only keeps keepers from acting at once: that no two are heard rests on
//! `lease::AppendLease`. See docs/design/duties.md.

mod due;
mod store_health;
mod tasks;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;

use duty::scale::ScalePlanner;
use duty::{UsageLedger, UsageReports, UsageWindows};
use lease::{AppendLease, AppendLeaseTimes};
use rand::Rng;
use tick::since_boot_ms;
use view::{FleetClock, GossipMessage, InstanceKey, MessageKind, WorkspaceKey};

use crate::call::Call;
use crate::config::{Access, RouteKind};
use crate::relay::Relay;
use crate::relay::unix_ms;

pub use due::due_tasks;
pub use store_health::StoreHealth;
pub use tasks::{
    Outcome, ScaleOrder, Task, TaskRecord, apply_record, log_was_lost, task_finished, task_logged,
    task_record,
};

/// Time between two looks at what is due, in ms.
pub const CHECK_INTERVAL_MS: u64 = 250;

/// Time between two looks of a keeper that does not act at what the one that acts has fixed, in ms: it then need not
/// wait before it takes over.
pub const STANDBY_READ_INTERVAL_MS: u64 = 6_000;

/// Instances that gather what all have counted: two more than the one that acts, so that two may end at once.
pub const LEADER_CANDIDATES: usize = 3;

/// Time after its start for which an instance does not act, in ms: until it has heard of the others, it would take itself
/// for the first of them.
const START_MS: u64 = 1_500;

/// Time for which a new keeper leaves acting to those that gathered before, in ms: by then it has heard the whole of a
/// window that is to be reported.
const NEW_MS: u64 = 8_000;

/// Time between two datagrams with this instance's tallies, in ms: what it counted in between is lost with it.
const TELL_MS: u64 = 200;

/// The same for a hub with those of many, in ms: they are longer, and go across zones.
const TELL_MANY_MS: u64 = 400;

/// Calls to the API in a row without an answer after which another keeper may act.
const FAILED_CALLS: u32 = 2;

/// Time for which it may then, in ms: two windows' reports at the usual length.
const YIELD_MS: u64 = 10_000;

/// Which duties there are, as the operators set them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TaskSettings {
    /// Windows for which usage is reported.
    pub usage: Option<UsageWindows>,
    /// Whether engines are ordered.
    pub scales: bool,
}

impl TaskSettings {
    /// Whether there is any duty.
    pub fn is_any_enabled(&self) -> bool {
        self.usage.is_some() || self.scales
    }
}

/// Duties of one instance.
pub struct SingletonTasks {
    append_lease: RefCell<AppendLease>,
    ledger: RefCell<UsageLedger>,
    reports: RefCell<Option<UsageReports>>,
    scaling: RefCell<HashMap<String, ScalePlanner>>,
    names: RefCell<HashMap<WorkspaceKey, String>>,
    clock: RefCell<FleetClock>,
    last_fence: Cell<u64>,
    keeper_since_ms: Cell<Option<u64>>,
    failed_calls: Cell<u32>,
    yields_until_ms: Cell<u64>,
    told_ms: Cell<u64>,
    told_to: Cell<Option<SocketAddr>>,
    holds: Cell<bool>,
    /// Whether the store, and the log of duties in it, can be reached.
    pub store_health: StoreHealth,
}

impl SingletonTasks {
    /// Of an instance that has done nothing yet, where calls of two holders must be `lease_ms` apart.
    pub fn new(lease_ms: u64) -> Self {
        let mut rng = rand::rng();
        Self {
            append_lease: RefCell::new(AppendLease::new(
                rng.random(),
                AppendLeaseTimes::for_api_calls(lease_ms),
            )),
            ledger: RefCell::new(UsageLedger::new(rng.random())),
            reports: RefCell::default(),
            scaling: RefCell::default(),
            names: RefCell::default(),
            clock: RefCell::default(),
            last_fence: Cell::default(),
            keeper_since_ms: Cell::default(),
            failed_calls: Cell::default(),
            yields_until_ms: Cell::default(),
            told_ms: Cell::default(),
            told_to: Cell::default(),
            holds: Cell::default(),
            store_health: StoreHealth::default(),
        }
    }

    /// What this instance knows of the log of duties.
    pub fn append_lease(&self) -> &RefCell<AppendLease> {
        &self.append_lease
    }

    /// Time of day that the fleet goes by, in ms since 1970.
    pub fn fleet_ms(&self) -> u64 {
        self.clock.borrow_mut().now_ms(since_boot_ms(), unix_ms())
    }

    /// Learns the names of workspaces; those of earlier versions are still to be reported.
    pub fn learn_workspace_names(&self, access: &Access) {
        let mut names = self.names.borrow_mut();
        for workspace in access.workspaces() {
            let key = WorkspaceKey::of(&workspace.name);
            let known = names.entry(key).or_insert_with(|| workspace.name.clone());
            if *known != workspace.name {
                log::error!(workspace = workspace.name, other = known.as_str(); "two workspaces have one short name");
            }
        }
    }

    /// A request was begun at an upstream, as far as its answer or the want of one tells.
    pub fn count_started(&self, terms: TaskSettings, call: &Call) {
        let (Some(windows), Some(workspace)) = (terms.usage, &call.workspace) else {
            return;
        };
        if call.has_started.replace(true) {
            return;
        }
        let window = windows.at(self.fleet_ms());
        let key = WorkspaceKey::of(&workspace.name);
        self.ledger.borrow_mut().record_start(window, key);
    }

    /// A request is over that no answer came to. A plain service begins at once with what reaches it, an engine with
    /// its first token, which would have come here.
    pub fn count_unanswered(&self, terms: TaskSettings, call: &Call) {
        if call.route.kind != RouteKind::Stream && call.possible_runs.get() > 0 {
            self.count_started(terms, call);
        }
    }

    /// Takes in what another instance told.
    pub fn receive_gossip(&self, terms: TaskSettings, told: &GossipMessage) {
        self.clock.borrow_mut().receive(since_boot_ms(), told);
        if let Some(fence) = told.last_task_token {
            self.append_lease
                .borrow_mut()
                .observe_fence(since_boot_ms(), fence);
        }
        let Some(windows) = terms.usage.filter(|_| !told.tallies.is_empty()) else {
            return;
        };
        let now = windows.at(self.fleet_ms());
        let mut ledger = self.ledger.borrow_mut();
        for tally in &told.tallies {
            ledger.receive(now, tally, told.kind == MessageKind::Report);
        }
    }

    /// Adds tallies to what goes out: to the own hub, or from a hub to the keepers.
    pub fn add_tallies(
        &self,
        now_ms: u64,
        out: &mut [(SocketAddr, GossipMessage)],
        keepers: &[SocketAddr],
    ) {
        let gathers = out.iter().any(|(_, told)| told.kind == MessageKind::Sum);
        let period_ms = if gathers { TELL_MANY_MS } else { TELL_MS };
        if out.is_empty() || now_ms < self.told_ms.get() + period_ms {
            return;
        }
        self.told_ms.set(now_ms);
        let hub = (!gathers).then(|| out[0].0);
        let mut ledger = self.ledger.borrow_mut();
        if self.told_to.replace(hub) != hub {
            ledger.resend_own();
        }
        let tallies = ledger.to_send();
        for (peer, told) in out {
            let is_meant = match told.kind {
                MessageKind::Report => true,
                MessageKind::Sum => keepers.contains(peer),
                MessageKind::Digest => false,
            };
            if is_meant {
                told.tallies.clone_from(&tallies);
            }
        }
    }
}

/// Fencing token of the last call that this instance made for the fleet, if it may make the next.
pub fn leader_fence(relay: &Relay) -> Option<u64> {
    let duties = &relay.singleton_tasks;
    let now_ms = relay.now_ms();
    if !relay.settings.borrow().singleton_tasks.is_any_enabled() {
        return None;
    }
    let is_alone = !relay.members.borrow().has_members();
    let is_keeper = is_alone || relay.rank() < LEADER_CANDIDATES;
    if !is_keeper {
        duties.keeper_since_ms.set(None);
        return None;
    }
    let since_ms = duties.keeper_since_ms.get().unwrap_or(now_ms);
    duties.keeper_since_ms.set(Some(since_ms));
    let has_others = relay.gossip.borrow().task_candidates().next().is_some();
    let is_new = now_ms < since_ms + NEW_MS && has_others;
    let yields = now_ms < duties.yields_until_ms.get();
    let has_begun = now_ms >= START_MS;
    let may = relay.is_ready()
        && has_begun
        && !is_new
        && !yields
        && !duties.store_health.is_unavailable(now_ms);
    may.then(|| duties.last_fence.get())
}

/// Whether this instance acts now: the one that acted last, or else the first by key.
fn is_holder(relay: &Relay) -> bool {
    let mine = leader_fence(relay);
    let holds = mine.is_some_and(|fence| {
        let own = InstanceKey::of(&relay.settings.borrow().name);
        crate::role_orders::has_precedence((own, fence), relay.gossip.borrow().task_candidates())
    });
    if relay.singleton_tasks.holds.replace(holds) != holds {
        log::info!(
            holds, fence = relay.singleton_tasks.last_fence.get(), may = mine.is_some(), rank = relay.rank(),
            lost_store = relay.singleton_tasks.store_health.is_unavailable(relay.now_ms());
            "duties held"
        );
    }
    holds
}
