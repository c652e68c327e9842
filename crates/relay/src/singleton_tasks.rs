//! Singleton tasks: usage reports and engine orders that one instance, the fleet leader, makes for the fleet.
//!
//! Every instance counts the requests of each workspace and gossips the tallies. The leader candidates
//! collect them, and one candidate is the leader. Its choice only avoids needless conflicts;
//! `lease::AppendLease` ensures that the platform never gets calls of two leaders at a time. See
//! docs/design/duties.md.

mod due;
mod scaling;
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

/// Interval between checks for due tasks, in ms.
pub const CHECK_INTERVAL_MS: u64 = 250;

/// Interval at which a candidate that does not lead reads the log, in ms. A candidate that is up to date need not
/// wait before it takes over.
pub const STANDBY_READ_INTERVAL_MS: u64 = 6_000;

/// Instances that collect the tallies of the fleet: the leader and two more, so that two may fail at once.
pub const LEADER_CANDIDATES: usize = 3;

/// Time after its start for which an instance does not lead, in ms: before gossip arrives it would rank itself first.
const STARTUP_MS: u64 = 1_500;

/// Time for which a new candidate does not lead while there are others, in ms: by then it has received the tallies
/// of the whole window to be reported.
const NEW_CANDIDATE_MS: u64 = 8_000;

/// Interval at which an instance sends its tallies to its hub, in ms; its counts since the last time are lost when it
/// ends.
const TALLY_INTERVAL_MS: u64 = 200;

/// Interval at which a hub sends the collected tallies, in ms; these datagrams are longer and cross zones.
const HUB_TALLY_INTERVAL_MS: u64 = 400;

/// Consecutive calls to the platform's API without an answer after which the leader yields.
const MAX_FAILED_CALLS: u32 = 2;

/// Time for which a leader yields after failed calls, in ms: the reports of two windows of the usual length.
const YIELD_MS: u64 = 10_000;

/// Singleton tasks that the deployment has, as set by the operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct TaskSettings {
    /// Windows for which usage is reported; none if it is not reported.
    pub usage: Option<UsageWindows>,
    /// Whether engines are ordered from the platform.
    pub scales: bool,
}

impl TaskSettings {
    /// Whether there is any task.
    pub fn is_any_enabled(&self) -> bool {
        self.usage.is_some() || self.scales
    }
}

/// State of the singleton tasks at one instance, whether it leads or not.
pub struct SingletonTasks {
    append_lease: RefCell<AppendLease>,
    ledger: RefCell<UsageLedger>,
    reports: RefCell<Option<UsageReports>>,
    scaling: RefCell<HashMap<String, ScalePlanner>>,
    names: RefCell<HashMap<WorkspaceKey, String>>,
    clock: RefCell<FleetClock>,
    /// Fencing token of the last call that this instance made, or 0.
    last_fence: Cell<u64>,
    candidate_since_ms: Cell<Option<u64>>,
    failed_calls: Cell<u32>,
    yields_until_ms: Cell<u64>,
    tallies_sent_ms: Cell<u64>,
    /// Hub that got the last tallies; none if this instance is a hub.
    tallies_hub: Cell<Option<SocketAddr>>,
    is_leader: Cell<bool>,
    /// Whether the store, and the log of singleton tasks in it, can be reached.
    pub store_health: StoreHealth,
}

impl SingletonTasks {
    /// Creates the state at start; calls of two leaders are at least `lease_ms` apart.
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
            candidate_since_ms: Cell::default(),
            failed_calls: Cell::default(),
            yields_until_ms: Cell::default(),
            tallies_sent_ms: Cell::default(),
            tallies_hub: Cell::default(),
            is_leader: Cell::default(),
            store_health: StoreHealth::default(),
        }
    }

    /// Append lease on the log of singleton tasks, with the last known end of the log.
    pub fn append_lease(&self) -> &RefCell<AppendLease> {
        &self.append_lease
    }

    /// Wall clock of the fleet, in ms since 1970.
    pub fn fleet_ms(&self) -> u64 {
        self.clock.borrow_mut().now_ms(since_boot_ms(), unix_ms())
    }

    /// Adds the names of workspaces; usage of workspaces of earlier versions may still have to be reported.
    pub fn learn_workspace_names(&self, access: &Access) {
        let mut names = self.names.borrow_mut();
        for workspace in access.workspaces() {
            let key = WorkspaceKey::of(&workspace.name);
            let known = names.entry(key).or_insert_with(|| workspace.name.clone());
            if *known != workspace.name {
                log::error!(workspace = workspace.name, other = known.as_str(); "two workspaces have the same key");
            }
        }
    }

    /// Counts a request that an upstream began to run; each request counts once.
    pub fn count_started(&self, settings: TaskSettings, call: &Call) {
        let (Some(windows), Some(workspace)) = (settings.usage, &call.workspace) else {
            return;
        };
        if call.has_started.replace(true) {
            return;
        }
        let window = windows.at(self.fleet_ms());
        let key = WorkspaceKey::of(&workspace.name);
        self.ledger.borrow_mut().record_start(window, key);
    }

    /// Counts a request that ended without an answer, if an upstream may have begun it. A plain service begins as
    /// soon as a request reaches it; an engine begins with the first token, which would have arrived here.
    pub fn count_unanswered(&self, settings: TaskSettings, call: &Call) {
        if call.route.kind != RouteKind::Stream && call.possible_runs.get() > 0 {
            self.count_started(settings, call);
        }
    }

    /// Applies the clock, the last token and the tallies of a gossip message.
    pub fn receive_gossip(&self, settings: TaskSettings, message: &GossipMessage) {
        self.clock.borrow_mut().receive(since_boot_ms(), message);
        if let Some(fence) = message.last_task_token {
            self.append_lease
                .borrow_mut()
                .observe_fence(since_boot_ms(), fence);
        }
        let Some(windows) = settings.usage.filter(|_| !message.tallies.is_empty()) else {
            return;
        };
        let now = windows.at(self.fleet_ms());
        let mut ledger = self.ledger.borrow_mut();
        for tally in &message.tallies {
            ledger.receive(now, tally, message.kind == MessageKind::Report);
        }
    }

    /// Adds tallies to the outgoing datagrams if they are due: to that for the own hub, or from a hub to those for
    /// the leader candidates.
    pub fn add_tallies(
        &self,
        now_ms: u64,
        out: &mut [(SocketAddr, GossipMessage)],
        candidates: &[SocketAddr],
    ) {
        let is_hub = out
            .iter()
            .any(|(_, message)| message.kind == MessageKind::Sum);
        let interval_ms = if is_hub {
            HUB_TALLY_INTERVAL_MS
        } else {
            TALLY_INTERVAL_MS
        };
        if out.is_empty() || now_ms < self.tallies_sent_ms.get() + interval_ms {
            return;
        }
        self.tallies_sent_ms.set(now_ms);
        let hub = (!is_hub).then(|| out[0].0);
        let mut ledger = self.ledger.borrow_mut();
        if self.tallies_hub.replace(hub) != hub {
            ledger.resend_own();
        }
        let tallies = ledger.to_send();
        for (peer, message) in out {
            let carries_tallies = match message.kind {
                MessageKind::Report => true,
                MessageKind::Sum => candidates.contains(peer),
                MessageKind::Digest => false,
            };
            if carries_tallies {
                message.tallies.clone_from(&tallies);
            }
        }
    }
}

/// Fencing token of the last call that this instance made, or 0; none if it may not lead now.
pub fn leader_fence(relay: &Relay) -> Option<u64> {
    let tasks = &relay.singleton_tasks;
    let now_ms = relay.now_ms();
    if !relay.settings.borrow().singleton_tasks.is_any_enabled() {
        return None;
    }
    let is_alone = !relay.members.borrow().has_members();
    let is_candidate = is_alone || relay.rank() < LEADER_CANDIDATES;
    if !is_candidate {
        tasks.candidate_since_ms.set(None);
        return None;
    }
    let since_ms = tasks.candidate_since_ms.get().unwrap_or(now_ms);
    tasks.candidate_since_ms.set(Some(since_ms));
    let has_others = relay.gossip.borrow().task_candidates().next().is_some();
    let is_new = now_ms < since_ms + NEW_CANDIDATE_MS && has_others;
    let yields = now_ms < tasks.yields_until_ms.get();
    let has_started = now_ms >= STARTUP_MS;
    let may_lead = relay.is_ready()
        && has_started
        && !is_new
        && !yields
        && !tasks.store_health.is_unavailable(now_ms);
    may_lead.then(|| tasks.last_fence.get())
}

/// Whether this instance is the fleet leader: of the candidates, the one that made the last call or, without
/// one, the one with the lowest key.
fn is_leader(relay: &Relay) -> bool {
    let last_fence = leader_fence(relay);
    let holds = last_fence.is_some_and(|fence| {
        let own = InstanceKey::of(&relay.settings.borrow().name);
        crate::role_orders::has_precedence((own, fence), relay.gossip.borrow().task_candidates())
    });
    if relay.singleton_tasks.is_leader.replace(holds) != holds {
        log::info!(
            holds, fence = relay.singleton_tasks.last_fence.get(), may = last_fence.is_some(),
            rank = relay.rank(),
            lost_store = relay.singleton_tasks.store_health.is_unavailable(relay.now_ms());
            "fleet leadership gained or lost"
        );
    }
    holds
}
