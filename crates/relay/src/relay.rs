//! What one instance knows, and who may change it.

mod limits;
mod list;
mod peers;
mod poison;
mod retries;

pub use list::{ChangesRead, Origin};
pub(crate) use peers::unix_ms;
pub use poison::PoisonRecord;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use plan::{FleetRetryBudget, RetryBudgetSettings};
use tick::{Clock, since_boot_ms};
use view::gossip::GossipState;
use view::hubs::HubRanking;
use view::{InstanceKey, ListedEntries, LogFollower, Members, PoisonTracker, PrefilledPart};

use crate::config::{Config, EngineLimits};
use crate::dialect::Dialect;
use crate::learned::Learned;
use crate::logging::{LogRateLimit, lines_dropped};
use crate::metrics::Metrics;
use crate::role_orders::RoleOrders;
use crate::singleton_tasks::{self, SingletonTasks};
use crate::snapshot::{LastQuery, Snapshot};
use crate::upstreams::Upstreams;

/// Lines in a second on requests that went well: two or three for each at the usual load.
const SERVED_LINES: u32 = 60;

/// Lines in a second on requests that did not; all of them but in a storm.
const FAILED_LINES: u32 = 200;

/// What an instance is told of itself.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Where callers connect.
    pub address: std::net::SocketAddr,
    /// Where other instances tell it of their load.
    pub peer: Option<std::net::SocketAddr>,
    /// Where some instances can be asked before any is known.
    pub seeds: Vec<std::net::SocketAddr>,
    /// Bound on repeated sends.
    pub retry_budget: RetryBudgetSettings,
    /// Longest time that callers may keep an answer of the directory, in ms.
    pub addresses_ttl_ms: u64,
    /// Time by which orders of two instances to one engine must be apart, in ms.
    pub lease_ms: u64,
    /// Speed of its link.
    pub link_mbps: u32,
    /// What one instance does for all.
    pub singleton_tasks: singleton_tasks::TaskSettings,
}

/// How far a process has come on its way out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Phase {
    /// It serves.
    #[default]
    Serving,
    /// It is not handed out any more, and serves who still comes.
    Leaving,
    /// It takes no new connections and finishes what it has.
    Closing,
}

/// The state of one instance.
pub struct Relay {
    /// Settings.
    pub settings: RefCell<Settings>,
    /// Names on the wire.
    pub dialect: Rc<dyn Dialect>,
    /// Clock that all times go by, begun with the process.
    pub clock: Clock,
    /// Metrics.
    pub metrics: Metrics,
    /// Upstreams.
    pub upstreams: RefCell<Upstreams>,
    /// Instances.
    pub members: RefCell<Members>,
    /// Requests whose answers are not out yet.
    pub in_flight: Rc<Cell<usize>>,
    /// Prompt parts to be told to other instances.
    pub(crate) prefix_news: RefCell<Vec<PrefilledPart>>,
    /// What others told, and what goes on to them.
    pub(crate) gossip: RefCell<GossipState>,
    /// When other instances were last asked.
    pub last_query: LastQuery,
    /// Lines on requests that went well.
    pub success_log_limit: LogRateLimit,
    /// Lines on requests that did not.
    pub failure_log_limit: LogRateLimit,
    ranks: RefCell<HubRanking>,
    ranks_seen: Cell<(u64, u64)>,
    phase: Cell<Phase>,
    beat: Cell<u64>,
    config: RefCell<Option<Rc<Config>>>,
    retries: RefCell<HashMap<String, FleetRetryBudget>>,
    /// What answers and requests have taught.
    pub learned: Learned,
    suspects: RefCell<PoisonTracker>,
    /// Orders to engines.
    pub role_orders: RoleOrders,
    /// What one instance does for all.
    pub singleton_tasks: SingletonTasks,
    /// How far the list of upstreams was read.
    pub list_position: RefCell<LogFollower>,
    /// What the list last said.
    pub(crate) last_listed: RefCell<ListedEntries>,
    /// How far the configuration was read.
    pub config_position: RefCell<LogFollower>,
}

impl Relay {
    /// An instance that knows nothing yet.
    pub fn new(settings: Settings, dialect: Rc<dyn Dialect>, clock: Clock) -> Rc<Self> {
        let metrics = Metrics::new(&settings.name, &settings.zone);
        let upstreams = Upstreams::new(&settings.zone, clock);
        let orders = RoleOrders::new(settings.lease_ms);
        let duties = SingletonTasks::new(settings.lease_ms);
        let own = InstanceKey::of(&settings.name);
        Rc::new(Self {
            settings: RefCell::new(settings),
            dialect,
            clock,
            metrics,
            upstreams: RefCell::new(upstreams),
            members: RefCell::default(),
            prefix_news: RefCell::default(),
            gossip: RefCell::default(),
            last_query: LastQuery::default(),
            success_log_limit: LogRateLimit::new("served", SERVED_LINES),
            failure_log_limit: LogRateLimit::new("failed", FAILED_LINES),
            ranks: RefCell::default(),
            ranks_seen: Cell::default(),
            phase: Cell::default(),
            in_flight: Rc::default(),
            beat: Cell::default(),
            config: RefCell::default(),
            retries: RefCell::default(),
            learned: Learned::default(),
            suspects: RefCell::default(),
            role_orders: orders,
            singleton_tasks: duties,
            list_position: RefCell::new(LogFollower::new(own)),
            last_listed: RefCell::default(),
            config_position: RefCell::new(LogFollower::new(own)),
        })
    }

    /// Time on the instance's clock.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// How far it is on its way out.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Goes on to a later phase.
    pub fn enter(&self, phase: Phase) {
        if phase > self.phase.get() {
            self.phase.set(phase);
            match phase {
                Phase::Serving => {}
                Phase::Leaving => log::info!("not handed out any more"),
                Phase::Closing => {
                    log::info!(busy = self.in_flight.get(); "no new connections any more");
                }
            }
        }
    }

    /// Whether callers may be sent here: only with a configuration can anything be served.
    pub fn is_ready(&self) -> bool {
        self.phase.get() == Phase::Serving && self.config.borrow().is_some()
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<Rc<Config>> {
        self.config.borrow().clone()
    }

    /// Takes a version into force unless a newer one is; gives whether it was taken.
    pub fn configure(&self, config: Config) -> bool {
        let mut current = self.config.borrow_mut();
        if current
            .as_ref()
            .is_some_and(|now| now.version >= config.version)
        {
            return false;
        }
        log::info!(
            version = config.version, routes = config.route_count(), keys = config.access.key_count(),
            workspaces = config.access.workspaces().len();
            "configuration taken"
        );
        self.metrics
            .config_version
            .set(config.version.cast_signed());
        self.singleton_tasks.learn_workspace_names(&config.access);
        *current = Some(Rc::new(config));
        true
    }

    /// All metrics as text, those of the moment included.
    pub fn metrics_text(&self) -> Vec<u8> {
        let metrics = &self.metrics;
        let now_ms = self.now_ms();
        let age = |age_ms: Option<u64>| age_ms.map_or(i64::MAX, u64::cast_signed);
        let config_age_ms = age_ms(&self.config_position.borrow());
        let load_age_ms = self.members.borrow().load_age_ms(now_ms);
        let upstreams = self.upstreams.borrow().len();
        metrics.config_age_ms.set(age(config_age_ms));
        metrics.list_age_ms.set(age(self.list_age_ms()));
        metrics.load_age_ms.set(age(load_age_ms));
        metrics.upstreams.set(upstreams.cast_signed() as i64);
        metrics
            .limited_upstreams
            .set(self.limited().cast_signed() as i64);
        metrics
            .instances
            .set(self.instance_count().cast_signed() as i64);
        metrics
            .in_flight
            .set(self.in_flight.get().cast_signed() as i64);
        metrics
            .poison_requests
            .set(self.poison_requests().len().cast_signed() as i64);
        let terms = self.settings.borrow().retry_budget;
        let share = self.share();
        for (service, repeats) in self.retries.borrow_mut().iter_mut() {
            let left = repeats.remaining(now_ms, &terms, &share);
            metrics
                .retries_left
                .with_label_values(&[service])
                .set(left as i64);
        }
        let budgets = [&self.success_log_limit, &self.failure_log_limit];
        let left_out = budgets.map(|budget| (budget.kind(), budget.dropped()));
        for (kind, lines) in left_out
            .into_iter()
            .chain([("slow_reader", lines_dropped())])
        {
            metrics
                .lines_dropped
                .with_label_values(&[kind])
                .set(lines.cast_signed());
        }
        metrics.text()
    }

    /// What this instance knows, for another one.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            config: self.config().map(|config| (&*config).into()),
            upstreams: self.upstreams.borrow().entries(self.now_ms()),
            unconfirmed: self.upstreams.borrow().unconfirmed_entries(self.now_ms()),
            list_age_ms: known_age_ms(&self.list_position.borrow()),
            list_next: self.list_position.borrow().held_offset(),
            config_age_ms: known_age_ms(&self.config_position.borrow()),
            config_next: self.config_position.borrow().held_offset(),
            members: self.members.borrow().snapshot(),
            poisonous: self.poison_requests(),
        }
    }

    /// Limits of a service's engines; nothing is known of what is not configured.
    pub fn engine_limits(&self, service: &str) -> EngineLimits {
        let config = self.config.borrow();
        let service = config.as_ref().and_then(|config| config.service(service));
        service
            .and_then(|service| service.engine)
            .unwrap_or_default()
    }

    /// Instances that serve now, among which connections are split.
    pub fn instance_count(&self) -> usize {
        self.members.borrow().reachable_count()
    }
}

/// Age of what this instance could tell another one, if it has taken in all that it knows of.
fn known_age_ms(followed: &LogFollower) -> Option<u64> {
    let is_behind = followed.is_behind();
    age_ms(followed).filter(|_| !is_behind)
}

fn age_ms(followed: &LogFollower) -> Option<u64> {
    followed
        .next_offset()
        .map(|_| followed.age_ms(since_boot_ms()))
}
