//! The state of one instance.

mod limits;
mod list;
mod pace;
mod parts;
mod peers;
mod poison;
mod retries;
mod shares;
mod trials;

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
use view::{
    InstanceKey, ListedEntries, LogFollower, Members, PartTracker, PoisonTracker, PrefilledPart,
};

use crate::body_memory::BodyMemory;
use crate::bounded_body::AnswerMemory;
use crate::config::{Config, EngineLimits};
use crate::dialect::Dialect;
use crate::engine_process::EngineProcesses;
use crate::estimates::Estimates;
use crate::handover::Handovers;
use crate::logging::{LogRateLimit, lines_dropped};
use crate::metrics::Metrics;
use crate::planned_stop::PlannedStop;
use crate::reachability::Reachability;
use crate::role_orders::RoleOrders;
use crate::room_waiters::RoomWaiters;
use crate::scheduling::SchedulingSettings;
use crate::share_state::ShareState;
use crate::singleton_tasks::{self, SingletonTasks};
use crate::snapshot::{LastQuery, Snapshot};
use crate::stream_origins::StreamOrigins;
use crate::upstreams::Upstreams;
use crate::zone_cost::{ZoneCosts, ZoneView};

/// Log lines per second about requests that succeed: two or three for each request at the usual load.
const SUCCESS_LINES_PER_S: u32 = 60;

/// Log lines per second about requests that fail; only a burst of failures exceeds it.
const FAILURE_LINES_PER_S: u32 = 200;

/// Settings of one instance.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name of the instance, unique in the fleet.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Address at which callers connect.
    pub address: std::net::SocketAddr,
    /// Address for gossip and snapshots; without one the instance receives neither.
    pub peer: Option<std::net::SocketAddr>,
    /// Peers to ask for a snapshot before any member is known.
    pub seeds: Vec<std::net::SocketAddr>,
    /// Limit on retries.
    pub retry_budget: RetryBudgetSettings,
    /// How long callers may cache the addresses of instances, in ms.
    pub addresses_ttl_ms: u64,
    /// Minimum time between orders that two instances send to one engine, in ms.
    pub lease_ms: u64,
    /// Bandwidth of the instance's link, in Mbit/s.
    pub link_mbps: u32,
    /// Singleton tasks that the deployment has.
    pub singleton_tasks: singleton_tasks::TaskSettings,
    /// Parts of scheduling that may act.
    pub scheduling: SchedulingSettings,
}

/// Lifecycle phase of a process; it only moves forward.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Phase {
    /// Serves requests.
    #[default]
    Serving,
    /// No longer offered to callers, but still accepts connections: callers cache its address.
    Leaving,
    /// Accepts no new connections and finishes the requests in flight.
    Closing,
}

/// The state of one instance.
pub struct Relay {
    /// Settings of this instance.
    pub settings: RefCell<Settings>,
    /// Header and path names of the deployment.
    pub dialect: Rc<dyn Dialect>,
    /// Monotonic clock, 0 at the start of the process.
    pub clock: Clock,
    /// Metrics of this instance.
    pub metrics: Metrics,
    /// Upstreams in use.
    pub upstreams: RefCell<Upstreams>,
    /// Known instances, this one included.
    pub members: RefCell<Members>,
    /// The planned stop of the process.
    pub planned_stop: PlannedStop,
    /// Requests whose answers are not complete yet.
    pub in_flight: Rc<Cell<usize>>,
    /// Connections with bytes of answers that the other end has not read yet.
    pub unwritten_connections: Cell<usize>,
    /// Cached prompt parts to announce in the next gossip datagrams.
    pub(crate) unannounced_parts: RefCell<Vec<PrefilledPart>>,
    /// Gossip received from peers and waiting to be sent to them.
    pub(crate) gossip: RefCell<GossipState>,
    /// When a peer was last asked for a snapshot.
    pub last_query: LastQuery,
    /// Rate limit of log lines about requests that succeed.
    pub success_log_limit: LogRateLimit,
    /// Rate limit of log lines about requests that fail.
    pub failure_log_limit: LogRateLimit,
    ranks: RefCell<HubRanking>,
    ranks_seen: Cell<(u64, u64)>,
    phase: Cell<Phase>,
    heartbeat_seq: Cell<u64>,
    config: RefCell<Option<Rc<Config>>>,
    retries: RefCell<HashMap<String, FleetRetryBudget>>,
    /// Estimates learned from requests and answers.
    pub estimates: Estimates,
    poison_tracker: RefCell<PoisonTracker>,
    part_tracker: RefCell<PartTracker>,
    /// Role orders to engines.
    pub role_orders: RoleOrders,
    /// Tasks that one instance performs for the fleet.
    pub singleton_tasks: SingletonTasks,
    /// Shares of workspaces in engine time.
    pub(crate) shares: ShareState,
    /// Paths to the upstreams of each service.
    pub(crate) reachability: Reachability,
    /// Requests handed over to peers and taken over from them.
    pub(crate) handovers: Handovers,
    /// Generations that wait for room at engines.
    pub(crate) room_waiters: RoomWaiters,
    /// Records of what began streams.
    pub stream_origins: StreamOrigins,
    /// What is known of the processes of engines.
    pub(crate) engine_processes: EngineProcesses,
    /// Memory for answers that are held until they are whole.
    pub answer_memory: AnswerMemory,
    /// Memory for the bodies of requests.
    pub body_memory: BodyMemory,
    /// What is kept for choices between availability zones.
    pub zone_costs: ZoneCosts,
    /// Log position up to which the list of upstreams was applied.
    pub list_position: RefCell<LogFollower>,
    /// Entries of the list as last read, to distinguish real changes from heartbeats.
    pub(crate) last_listed: RefCell<ListedEntries>,
    /// Log position up to which the configuration was applied.
    pub config_position: RefCell<LogFollower>,
}

impl Relay {
    /// Creates an instance without configuration, upstreams or members.
    pub fn new(settings: Settings, dialect: Rc<dyn Dialect>, clock: Clock) -> Rc<Self> {
        let metrics = Metrics::new(&settings.name, &settings.zone);
        let upstreams = Upstreams::new(&settings.zone, clock);
        let role_orders = RoleOrders::new(settings.lease_ms);
        let singleton_tasks = SingletonTasks::new(settings.lease_ms);
        let own = InstanceKey::of(&settings.name);
        Rc::new(Self {
            settings: RefCell::new(settings),
            dialect,
            clock,
            metrics,
            upstreams: RefCell::new(upstreams),
            members: RefCell::default(),
            unannounced_parts: RefCell::default(),
            gossip: RefCell::default(),
            last_query: LastQuery::default(),
            success_log_limit: LogRateLimit::new("served", SUCCESS_LINES_PER_S),
            failure_log_limit: LogRateLimit::new("failed", FAILURE_LINES_PER_S),
            ranks: RefCell::default(),
            ranks_seen: Cell::default(),
            phase: Cell::default(),
            planned_stop: PlannedStop::default(),
            in_flight: Rc::default(),
            unwritten_connections: Cell::default(),
            heartbeat_seq: Cell::default(),
            config: RefCell::default(),
            retries: RefCell::default(),
            estimates: Estimates::default(),
            poison_tracker: RefCell::default(),
            part_tracker: RefCell::new(PartTracker::of(own)),
            role_orders,
            singleton_tasks,
            shares: ShareState::default(),
            reachability: Reachability::default(),
            handovers: Handovers::default(),
            room_waiters: RoomWaiters::default(),
            stream_origins: StreamOrigins::default(),
            engine_processes: EngineProcesses::default(),
            answer_memory: AnswerMemory::default(),
            body_memory: BodyMemory::default(),
            zone_costs: ZoneCosts::default(),
            list_position: RefCell::new(LogFollower::new(own)),
            last_listed: RefCell::default(),
            config_position: RefCell::new(LogFollower::new(own)),
        })
    }

    /// Time since the start of the process, in ms.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Current lifecycle phase.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Enters a later phase; an earlier or the same one changes nothing.
    pub fn enter(&self, phase: Phase) {
        if phase > self.phase.get() {
            self.phase.set(phase);
            self.room_waiters.wake();
            match phase {
                Phase::Serving => {}
                Phase::Leaving => log::info!("leaving: no longer offered to callers"),
                Phase::Closing => {
                    log::info!(busy = self.in_flight.get(); "closing: accepting no new connections");
                }
            }
        }
    }

    /// Whether callers may be sent here; without a configuration no request can be served.
    pub fn is_ready(&self) -> bool {
        self.phase.get() == Phase::Serving && self.config.borrow().is_some()
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<Rc<Config>> {
        self.config.borrow().clone()
    }

    /// Puts a version into force and returns true, unless that version or a newer one is in force.
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
            "configuration applied"
        );
        self.metrics
            .config_version
            .set(config.version.cast_signed());
        self.singleton_tasks.learn_workspace_names(&config.access);
        *current = Some(Rc::new(config));
        self.room_waiters.wake();
        true
    }

    /// All metrics in the text format, after setting the gauges to their current values.
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
        let upstreams = self.upstreams.borrow();
        let resting = upstreams
            .iter()
            .filter(|each| each.rest_left_ms(now_ms) > 0);
        metrics
            .resting_upstreams
            .set(resting.count().cast_signed() as i64);
        drop(upstreams);
        metrics
            .limited_upstreams
            .set(self.limited_upstreams().cast_signed() as i64);
        metrics
            .instances
            .set(self.instance_count().cast_signed() as i64);
        metrics
            .in_flight
            .set(self.in_flight.get().cast_signed() as i64);
        metrics
            .poison_requests
            .set(self.poison_requests().len().cast_signed() as i64);
        self.set_part_gauges();
        for (service, waiting) in self.room_waiters.counts() {
            let gauge = metrics.waiting.requests.with_label_values(&[&service]);
            gauge.set(waiting.cast_signed() as i64);
        }
        self.set_share_gauges();
        let settings = self.settings.borrow().retry_budget;
        let share = self.share();
        for (service, retries) in self.retries.borrow_mut().iter_mut() {
            let left = retries.remaining(now_ms, &settings, &share);
            metrics
                .retries_left
                .with_label_values(&[service])
                .set(left as i64);
        }
        self.set_learned_gauges(now_ms);
        self.set_pace_gauges();
        let limits = [&self.success_log_limit, &self.failure_log_limit];
        let dropped = limits.map(|limit| (limit.kind(), limit.dropped()));
        for (kind, lines) in dropped
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

    /// Sets the gauges of what was learned of engines.
    fn set_learned_gauges(&self, now_ms: u64) {
        let metrics = &self.metrics;
        for (service, latency) in self.estimates.latencies(now_ms) {
            let model = &latency.model;
            let times = [
                ("token", model.token_ms(), latency.token),
                ("prefill", model.prefill_base_ms(), latency.prefill),
                (
                    "decode_prefill",
                    model.decode_base_ms(),
                    latency.decode_prefill,
                ),
                ("kv_transfer", model.kv_transfer_ms(), latency.kv_transfer),
            ];
            for (time, value_ms, provenance) in times {
                let labels = [service.as_str(), time];
                let age_ms = provenance.age_ms(now_ms).unwrap_or(0);
                metrics
                    .learned
                    .times_s
                    .with_label_values(&labels)
                    .set(value_ms / 1_000.0);
                metrics
                    .learned
                    .answers
                    .with_label_values(&labels)
                    .set(provenance.answers.cast_signed());
                metrics
                    .learned
                    .age_ms
                    .with_label_values(&labels)
                    .set(age_ms.cast_signed());
            }
        }
    }

    /// The snapshot for a peer that asks.
    pub fn snapshot(&self) -> Snapshot {
        let (upstreams, announced) = self.listed_upstreams();
        Snapshot {
            config: self.config().map(|config| (&*config).into()),
            upstreams,
            announced,
            unconfirmed: self.upstreams.borrow().unconfirmed_entries(self.now_ms()),
            list_age_ms: known_age_ms(&self.list_position.borrow()),
            list_next: self.list_position.borrow().held_offset(),
            config_age_ms: known_age_ms(&self.config_position.borrow()),
            config_next: self.config_position.borrow().held_offset(),
            members: self.members.borrow().snapshot(),
            poisonous: self.poison_requests(),
            trial_counts: self.trial_counts(&self.poison_requests()),
        }
    }

    /// Limits of a service's engines; all zero if none are configured.
    pub fn engine_limits(&self, service: &str) -> EngineLimits {
        let config = self.config.borrow();
        let service = config.as_ref().and_then(|config| config.service(service));
        service
            .and_then(|service| service.engine)
            .unwrap_or_default()
    }

    /// Number of instances that serve now; connection limits are divided by it.
    pub fn instance_count(&self) -> usize {
        self.members.borrow().reachable_count()
    }
}

impl ZoneView for Relay {
    fn zone_costs(&self) -> &ZoneCosts {
        &self.zone_costs
    }

    fn scheduling(&self) -> SchedulingSettings {
        self.settings.borrow().scheduling
    }

    fn reports_pace(&self, service: &str) -> bool {
        self.upstreams.borrow().reports_pace(service)
    }

    fn is_in_zone(&self, zone: &str) -> bool {
        self.settings.borrow().zone == zone
    }
}

/// Age of a log's content for a snapshot; none while records are known to be missing.
fn known_age_ms(followed: &LogFollower) -> Option<u64> {
    let is_behind = followed.is_behind();
    age_ms(followed).filter(|_| !is_behind)
}

fn age_ms(followed: &LogFollower) -> Option<u64> {
    followed
        .next_offset()
        .map(|_| followed.age_ms(since_boot_ms()))
}
