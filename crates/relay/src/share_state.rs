//! What an instance knows of the workspaces' shares of engine time.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;

use plan::shares::{
    Claim, FairLevels, HoldBack, RoomChange, RoomSample, RoomWatch, ShortCause, hold_back,
};
use rand::Rng;
use view::engine_time::{WINDOW_MS, WINDOWS};
use view::{EngineTimeLedger, GossipMessage, ShareKey, WorkspaceKey};

use crate::config::{Access, DEFAULT_WEIGHT};

/// Interval at which levels and room are computed anew, in ms.
const UPDATE_INTERVAL_MS: u64 = 50;

/// Weight of the latest request in the average output length of a service.
const OUTPUT_SMOOTHING: f64 = 0.02;

/// Workspaces that metrics tell apart.
const MEASURED_WORKSPACES: usize = 20;

/// Name in metrics of all other workspaces together.
const OTHER_WORKSPACES: &str = "other";

/// Name in metrics of requests on public routes without a key, which count as those of one workspace.
pub const NO_WORKSPACE: &str = "-";

/// Engine time of one workspace for metrics, as fractions of one engine.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ShareFigures {
    /// Name of the workspace.
    pub workspace: String,
    /// Engines that its granted requests keep busy.
    pub used_engines: f64,
    /// Engines that it is entitled to; what it requests if that is less.
    pub share_engines: f64,
    /// Its requests that this instance refused for its share.
    pub refused: u64,
}

#[derive(Default)]
struct Workspaces {
    config_version: Option<u64>,
    names: HashMap<WorkspaceKey, String>,
    weights: HashMap<WorkspaceKey, u32>,
}

/// State of the shares at one instance.
pub struct ShareState {
    ledger: RefCell<EngineTimeLedger>,
    workspaces: RefCell<Workspaces>,
    claims: RefCell<HashMap<ShareKey, Claim>>,
    levels: Cell<FairLevels>,
    rooms: RefCell<HashMap<String, (RoomWatch, RoomSample)>>,
    updated_ms: Cell<Option<u64>>,
    output_tokens: RefCell<HashMap<String, f64>>,
    refused: RefCell<HashMap<WorkspaceKey, u64>>,
}

impl Default for ShareState {
    /// The state at start, as a new incarnation.
    fn default() -> Self {
        Self {
            ledger: RefCell::new(EngineTimeLedger::new(rand::rng().random())),
            workspaces: RefCell::default(),
            claims: RefCell::default(),
            levels: Cell::default(),
            rooms: RefCell::default(),
            updated_ms: Cell::default(),
            output_tokens: RefCell::default(),
            refused: RefCell::default(),
        }
    }
}

fn window(fleet_ms: u64) -> u64 {
    fleet_ms / WINDOW_MS
}

impl ShareState {
    /// Length of an output relative to the average of its service, which it changes.
    pub fn relative_output(&self, service: &str, tokens: f64) -> f64 {
        let mut all = self.output_tokens.borrow_mut();
        let Some(average) = all.get_mut(service) else {
            all.insert(service.to_owned(), tokens);
            return 1.0;
        };
        *average += OUTPUT_SMOOTHING * (tokens - *average);
        tokens / average.max(1.0)
    }

    /// Records engine time that a request needs, and how much of it was granted.
    pub fn record(&self, fleet_ms: u64, key: ShareKey, requested_ms: f64, granted_ms: f64) {
        let mut ledger = self.ledger.borrow_mut();
        ledger.record(window(fleet_ms), key, requested_ms, granted_ms);
    }

    /// Adds the wait that was predicted for a request to the observed room of its service.
    pub fn observe_wait(&self, now_ms: u64, service: &str, wait_ms: f64, goal_ms: f64) {
        if let Some((room, _)) = self.rooms.borrow_mut().get_mut(service) {
            room.observe_wait(now_ms, wait_ms, goal_ms);
        }
    }

    /// Applies the tallies of a gossip message.
    pub fn receive_gossip(&self, fleet_ms: u64, message: &GossipMessage) {
        let mut ledger = self.ledger.borrow_mut();
        ledger.receive(window(fleet_ms), message);
    }

    /// Adds tallies to the outgoing datagrams if they are due.
    pub fn add_tallies(&self, now_ms: u64, fleet_ms: u64, out: &mut [(SocketAddr, GossipMessage)]) {
        let mut ledger = self.ledger.borrow_mut();
        ledger.add_tallies(now_ms, window(fleet_ms), out);
    }

    /// Whether an update is due; if so, it counts as made.
    pub fn take_update(&self, now_ms: u64) -> bool {
        let is_fresh = |at_ms: u64| now_ms < at_ms + UPDATE_INTERVAL_MS;
        let is_due = !self.updated_ms.get().is_some_and(is_fresh);
        if is_due {
            self.updated_ms.set(Some(now_ms));
        }
        is_due
    }

    /// Computes the levels from all that is known.
    pub fn update_levels(&self, fleet_ms: u64, config_version: u64, access: &Access) {
        let mut workspaces = self.workspaces.borrow_mut();
        if workspaces.config_version != Some(config_version) {
            workspaces.learn(config_version, access);
        }
        let totals = self.ledger.borrow().totals(window(fleet_ms));
        let claim = |(key, time): (&ShareKey, &view::EngineTime)| {
            let weight = workspaces.weights.get(&key.workspace);
            let claim = Claim {
                rank: key.rank,
                weight: f64::from(*weight.unwrap_or(&DEFAULT_WEIGHT)),
                requested_ms: f64::from(time.requested_ms),
                granted_ms: f64::from(time.granted_ms),
            };
            (*key, claim)
        };
        let claims: HashMap<ShareKey, Claim> = totals.iter().map(claim).collect();
        let all: Vec<Claim> = claims.values().copied().collect();
        self.levels.set(FairLevels::of(&all));
        self.claims.replace(claims);
    }

    /// Processes an observation of a service's engines; logs if room becomes short or free.
    pub fn observe_room(&self, now_ms: u64, service: &str, sample: RoomSample) {
        let mut rooms = self.rooms.borrow_mut();
        if !rooms.contains_key(service) {
            rooms.insert(service.to_owned(), (RoomWatch::default(), sample));
        }
        let Some((room, latest)) = rooms.get_mut(service) else {
            return;
        };
        *latest = sample;
        let Some(change) = room.observe(now_ms, sample) else {
            return;
        };
        let (engines, full) = (sample.engines, sample.full);
        match change {
            RoomChange::Short(cause) => {
                let why = match cause {
                    ShortCause::FullEngines => "engines are full",
                    ShortCause::LongWaits => "long waits are predicted",
                };
                log::info!(service, why, engines, full; "room is short: shares hold");
            }
            RoomChange::Free => {
                log::info!(service, engines, full; "room is no longer short: shares do not hold");
            }
        }
    }

    /// Drops the observations of services that have no room to share any more.
    pub fn retain_rooms(&self, is_kept: impl Fn(&str) -> bool) {
        self.rooms
            .borrow_mut()
            .retain(|service, _| is_kept(service));
    }

    /// Whether room is short at a service.
    pub fn is_short(&self, service: &str) -> bool {
        let rooms = self.rooms.borrow();
        rooms.get(service).is_some_and(|(room, _)| room.is_short())
    }

    /// Whether room is short at any service.
    pub fn is_any_short(&self) -> bool {
        let rooms = self.rooms.borrow();
        rooms.values().any(|(room, _)| room.is_short())
    }

    /// Largest fraction by which a workspace exceeds its share at any of its ranks; 0 below it.
    pub fn excess(&self, workspace: WorkspaceKey) -> f64 {
        let claims = self.claims.borrow();
        let own = claims.iter().filter(|(key, _)| key.workspace == workspace);
        let levels = self.levels.get();
        own.map(|(_, claim)| levels.excess(claim))
            .fold(0.0, f64::max)
    }

    /// Time after which the caller of a request should return that is refused for the share of its workspace.
    pub fn hold_back(&self, service: &str, key: ShareKey, draw: f64) -> Option<f64> {
        let rooms = self.rooms.borrow();
        let (room, sample) = rooms.get(service)?;
        let state = HoldBack {
            is_short: room.is_short(),
            room: *sample,
            claim: *self.claims.borrow().get(&key)?,
        };
        let wait_ms = hold_back(&state, &self.levels.get(), draw)?;
        let mut refused = self.refused.borrow_mut();
        *refused.entry(key.workspace).or_default() += 1;
        Some(wait_ms)
    }

    /// Figures of the workspaces that use most, and of all others together.
    pub fn figures(&self) -> Vec<ShareFigures> {
        let window_ms = (WINDOWS * WINDOW_MS) as f64;
        let levels = self.levels.get();
        let mut all: HashMap<WorkspaceKey, ShareFigures> = HashMap::new();
        for (key, claim) in self.claims.borrow().iter() {
            let figures = all.entry(key.workspace).or_default();
            let share_ms = levels.share_ms(claim).min(claim.requested_ms);
            figures.used_engines += claim.granted_ms / window_ms;
            figures.share_engines += share_ms / window_ms;
        }
        for (key, refused) in self.refused.borrow().iter() {
            all.entry(*key).or_default().refused = *refused;
        }
        let names = &self.workspaces.borrow().names;
        for (key, figures) in &mut all {
            let name = names.get(key).map_or(NO_WORKSPACE, String::as_str);
            name.clone_into(&mut figures.workspace);
        }
        let mut all: Vec<ShareFigures> = all.into_values().collect();
        all.sort_by(|a, b| b.used_engines.total_cmp(&a.used_engines));
        let rest = all.split_off(all.len().min(MEASURED_WORKSPACES));
        if !rest.is_empty() {
            all.push(ShareFigures {
                workspace: OTHER_WORKSPACES.to_owned(),
                used_engines: rest.iter().map(|it| it.used_engines).sum(),
                share_engines: rest.iter().map(|it| it.share_engines).sum(),
                refused: rest.iter().map(|it| it.refused).sum(),
            });
        }
        all
    }
}

impl Workspaces {
    fn learn(&mut self, config_version: u64, access: &Access) {
        self.config_version = Some(config_version);
        let each = access.workspaces().iter();
        let keyed = each.map(|workspace| (WorkspaceKey::of(&workspace.name), workspace));
        let (mut names, mut weights) = (HashMap::new(), HashMap::new());
        for (key, workspace) in keyed {
            names.insert(key, workspace.name.clone());
            weights.insert(key, workspace.weight.max(1));
        }
        (self.names, self.weights) = (names, weights);
    }
}
