//! What one instance knows, and who may change it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::SystemTime;

use plan::{RepeatTerms, Repeats};
use tick::{Clock, since_boot_ms};
use view::cadence::{Duty, duty};
use view::hubs::Ranks;
use view::shared::{Heard, Own, Shared};
use view::{Followed, InstanceKey, Member, Members, News, PartRead, Said, Told};

use crate::audit::{LineBudget, lines_left_out};
use crate::config::{Config, EngineLimits};
use crate::dialect::Dialect;
use crate::learned::Learned;
use crate::metrics::Metrics;
use crate::orders::{self, Orders};
use crate::state::{Asked, State};
use crate::upstreams::{Change, Effect, Upstreams};

/// Lines in a second on requests that went well: two or three for each at the usual load.
const SERVED_LINES: u32 = 60;

/// Lines in a second on requests that did not; all of them but in a storm.
const FAILED_LINES: u32 = 200;

/// Time after which the order of instances is looked at again without a new record, in ms: a fraction of
/// the time in which one counts as silent.
const RANKS_MS: u64 = 200;

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
    pub repeats: RepeatTerms,
    /// Longest time that callers may keep an answer of the directory, in ms.
    pub addresses_ttl_ms: u64,
    /// Time by which orders of two instances to one engine must be apart, in ms.
    pub lease_ms: u64,
    /// Speed of its link.
    pub link_mbps: u32,
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
    /// Clock that all times go by.
    pub clock: Clock,
    /// Metrics.
    pub metrics: Metrics,
    /// Upstreams.
    pub upstreams: RefCell<Upstreams>,
    /// Instances.
    pub members: RefCell<Members>,
    /// Requests whose answers are not out yet.
    pub busy: Rc<Cell<usize>>,
    /// Prompt parts to be told to other instances.
    pub reads: RefCell<Vec<PartRead>>,
    /// What others told, and what goes on to them.
    pub shared: RefCell<Shared>,
    /// When other instances were last asked.
    pub asked: Asked,
    /// Lines on requests that went well.
    pub served_lines: LineBudget,
    /// Lines on requests that did not.
    pub failed_lines: LineBudget,
    ranks: RefCell<Ranks>,
    ranks_seen: Cell<(u64, u64)>,
    phase: Cell<Phase>,
    beat: Cell<u64>,
    config: RefCell<Option<Rc<Config>>>,
    repeats: RefCell<HashMap<String, Repeats>>,
    /// What answers and requests have taught.
    pub learned: Learned,
    /// Orders to engines.
    pub orders: Orders,
    /// How far the list of upstreams was read.
    pub list: RefCell<Followed>,
    /// What the list last said.
    pub said: RefCell<Said>,
    /// How far the configuration was read.
    pub configs: RefCell<Followed>,
}

impl Relay {
    /// An instance that knows nothing yet.
    pub fn new(settings: Settings, dialect: Rc<dyn Dialect>, clock: Clock) -> Rc<Self> {
        let metrics = Metrics::new(&settings.name, &settings.zone);
        let upstreams = Upstreams::new(&settings.zone, clock);
        let orders = Orders::new(settings.lease_ms);
        let own = InstanceKey::of(&settings.name);
        Rc::new(Self {
            settings: RefCell::new(settings),
            dialect,
            clock,
            metrics,
            upstreams: RefCell::new(upstreams),
            members: RefCell::default(),
            reads: RefCell::default(),
            shared: RefCell::default(),
            asked: Asked::default(),
            served_lines: LineBudget::new("served", SERVED_LINES),
            failed_lines: LineBudget::new("failed", FAILED_LINES),
            ranks: RefCell::default(),
            ranks_seen: Cell::default(),
            phase: Cell::default(),
            busy: Rc::default(),
            beat: Cell::default(),
            config: RefCell::default(),
            repeats: RefCell::default(),
            learned: Learned::default(),
            orders,
            list: RefCell::new(Followed::new(own)),
            said: RefCell::default(),
            configs: RefCell::new(Followed::new(own)),
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
                Phase::Closing => log::info!(busy = self.busy.get(); "no new connections any more"),
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
        log::info!(version = config.version, routes = config.routes(); "configuration taken");
        self.metrics
            .config_version
            .set(config.version.cast_signed());
        *current = Some(Rc::new(config));
        true
    }

    /// Takes in a change of the list of upstreams.
    pub fn apply(&self, change: Change) {
        let id = changed_id(&change);
        let effect = self.upstreams.borrow_mut().apply(self.now_ms(), change);
        note(&id, effect);
    }

    /// Takes in the whole list of upstreams.
    pub fn replace(&self, entries: Vec<crate::upstream::Entry>) {
        let effects = self.upstreams.borrow_mut().replace(self.now_ms(), entries);
        for (id, effect) in effects {
            note(&id, effect);
        }
    }

    /// All metrics as text, those of the moment included.
    pub fn metrics_text(&self) -> Vec<u8> {
        let metrics = &self.metrics;
        let now_ms = self.now_ms();
        let age = |age_ms: Option<u64>| age_ms.map_or(i64::MAX, u64::cast_signed);
        let config_age_ms = age_ms(&self.configs.borrow());
        let load_age_ms = self.members.borrow().load_age_ms(now_ms);
        let upstreams = self.upstreams.borrow().len();
        metrics.config_age_ms.set(age(config_age_ms));
        metrics.list_age_ms.set(age(self.list_age_ms()));
        metrics.load_age_ms.set(age(load_age_ms));
        metrics.upstreams.set(upstreams.cast_signed() as i64);
        metrics.instances.set(self.instances().cast_signed() as i64);
        metrics.in_flight.set(self.busy.get().cast_signed() as i64);
        let terms = self.settings.borrow().repeats;
        let instances = self.instances();
        for (service, repeats) in self.repeats.borrow_mut().iter_mut() {
            let left = repeats.left(now_ms, &terms, instances);
            metrics
                .repeats_left
                .with_label_values(&[service])
                .set(left as i64);
        }
        let budgets = [&self.served_lines, &self.failed_lines];
        let left_out = budgets.map(|budget| (budget.kind(), budget.left_out()));
        for (kind, lines) in left_out
            .into_iter()
            .chain([("slow_reader", lines_left_out())])
        {
            metrics
                .lines_left_out
                .with_label_values(&[kind])
                .set(lines.cast_signed());
        }
        metrics.text()
    }

    /// Time for which a change of the list of upstreams may have gone unnoticed; nothing if the list
    /// was never read.
    pub fn list_age_ms(&self) -> Option<u64> {
        age_ms(&self.list.borrow())
    }

    /// What this instance knows, for another one.
    pub fn state(&self) -> State {
        State {
            config: self.config().map(|config| (&*config).into()),
            upstreams: self
                .upstreams
                .borrow()
                .iter()
                .map(|each| each.entry())
                .collect(),
            list_age_ms: known_age_ms(&self.list.borrow()),
            list_next: self.list.borrow().next(),
            config_age_ms: known_age_ms(&self.configs.borrow()),
            config_next: self.configs.borrow().next(),
            members: self.members.borrow().all(),
        }
    }

    /// Drops what lapsed from the list and did not come back.
    pub fn settle(&self) {
        for id in self.upstreams.borrow_mut().settle(self.now_ms()) {
            note(&id, Effect::Left);
        }
    }

    /// How this instance follows the store's logs.
    pub fn duty(&self) -> Duty {
        // One that knows nobody yet has read everything itself just now, and soon hears from others.
        if !self.members.borrow().is_known() {
            return Duty::Other;
        }
        self.look_at_ranks();
        let ranks = self.ranks.borrow();
        duty(ranks.rank, ranks.instances, ranks.hubs.len())
    }

    /// Sees to it that the ranks are those of the moment.
    fn look_at_ranks(&self) {
        let members = self.members.borrow();
        let now_ms = self.now_ms();
        let seen = (members.version(), now_ms / RANKS_MS);
        if self.ranks_seen.replace(seen) != seen {
            let own = &self.settings.borrow().name;
            *self.ranks.borrow_mut() = Ranks::of(own, &members);
        }
    }

    /// The heartbeat to be written now, which other instances are told of too.
    pub fn heartbeat(&self) -> Member {
        // A process that starts anew must not seem older than it was before, or its word would be
        // passed over; the time of day may have been set back meanwhile.
        let own = self.settings.borrow().name.clone();
        let before = self.members.borrow().beat_of(&own).unwrap_or_default();
        let beat = unix_ms().max(before + 1).max(self.beat.get() + 1);
        self.beat.set(beat);
        let member = self.heartbeat_view();
        let now_ms = self.now_ms();
        self.shared.borrow_mut().joined(now_ms, member.clone());
        member
    }

    /// A heartbeat of this instance stands in the store.
    ///
    /// It does not count as knowing the instances: one that has read nobody else's yet would take itself
    /// for the only one.
    pub fn wrote(&self, member: Member) {
        let mut members = self.members.borrow_mut();
        if members.is_known() {
            members.heard(self.now_ms(), member);
        }
    }

    /// What the instance would say of itself now.
    pub fn heartbeat_view(&self) -> Member {
        let settings = self.settings.borrow();
        Member {
            name: settings.name.clone(),
            address: settings.address,
            peer: settings.peer,
            zone: settings.zone.clone(),
            ready: self.is_ready(),
            beat: self.beat.get(),
            link_mbps: settings.link_mbps,
        }
    }

    /// What other instances are to be told now, and where they are.
    pub fn told_now(&self) -> Vec<(SocketAddr, Told)> {
        let now_ms = self.now_ms();
        let expired = self.shared.borrow_mut().expire(now_ms);
        self.take_loads(&expired);
        let own = self.own();
        let key = InstanceKey::of(&own.member.name);
        if own.member.ready && self.members.borrow().is_known() {
            self.members.borrow_mut().lives(now_ms, key);
        }
        self.look_at_ranks();
        self.shared
            .borrow_mut()
            .tick(now_ms, own, &self.ranks.borrow())
    }

    fn own(&self) -> Own {
        let now_ms = self.now_ms();
        let since_boot_ms = since_boot_ms();
        let duty = self.duty();
        let reads_for_others = duty.is_reader();
        let upstreams = self.upstreams.borrow();
        let mark = |log: &RefCell<Followed>| log.borrow().mark(since_boot_ms, reads_for_others);
        Own {
            member: self.heartbeat_view(),
            loads: upstreams.iter().filter_map(|it| it.outstanding()).collect(),
            reads: self.reads.take(),
            turning: upstreams
                .iter()
                .filter_map(|each| each.turning_told(now_ms))
                .collect(),
            demand: self.orders.demand(now_ms),
            gives_after: orders::gives_after(self, duty),
            list: mark(&self.list),
            config: mark(&self.configs),
        }
    }

    /// Another instance told something.
    pub fn heard(&self, told: &Told, peer: SocketAddr) {
        let now_ms = self.now_ms();
        self.take_members(now_ms, told);
        let heard = self.shared.borrow_mut().heard(now_ms, told, peer);
        self.take_loads(&heard);
        self.take_news(now_ms, told);
        let upstreams = self.upstreams.borrow();
        for turning in &told.turning {
            if let Some(upstream) = upstreams.get_by_key(turning.upstream) {
                upstream.turns_to(now_ms, turning.stage, turning.left_ms.into(), false);
            }
        }
        for read in &told.reads {
            if let Some(upstream) = upstreams.get_by_key(read.upstream) {
                let kv_tokens = self.engine_limits(&upstream.service).kv_tokens;
                let tokens = f64::from(read.tokens);
                upstream.keeps(read.part, tokens, read.reading, kv_tokens as f64);
            }
        }
    }

    fn take_members(&self, now_ms: u64, told: &Told) {
        let mut members = self.members.borrow_mut();
        for member in &told.members {
            if members.heard_from_another(now_ms, member) {
                self.shared.borrow_mut().joined(now_ms, member.clone());
            }
        }
        for key in &told.alive {
            members.told(now_ms, *key);
        }
    }

    fn take_loads(&self, heard: &Heard) {
        let shared = self.shared.borrow();
        let upstreams = self.upstreams.borrow();
        if !shared.hears() {
            upstreams.iter().for_each(|each| each.others_have(None));
            return;
        }
        for upstream in heard
            .loads
            .iter()
            .filter_map(|key| upstreams.get_by_key(*key))
        {
            upstream.others_have(Some(shared.load(upstream.key)));
        }
    }

    fn take_news(&self, now_ms: u64, told: &Told) {
        let since_boot_ms = since_boot_ms();
        for news in &told.news {
            if self.list.borrow_mut().heard_news(news) {
                self.said.borrow_mut().is_news(&news.change);
                let (change, doubt_ms) = (news.change.clone(), news.doubt_ms.into());
                let id = changed_id(&change);
                let effect = self
                    .upstreams
                    .borrow_mut()
                    .apply_told(now_ms, change, doubt_ms);
                note(&id, effect);
                self.shared.borrow_mut().add_news(now_ms, news.clone());
            }
        }
        if let Some(mark) = &told.list {
            self.list.borrow_mut().heard(since_boot_ms, mark);
        }
        if let Some(mark) = &told.config {
            self.configs.borrow_mut().heard(since_boot_ms, mark);
        }
    }

    /// Takes in a change of the list of upstreams that was read at an offset, `before` being the one
    /// after the last change before it; gives the offset after it if it says something new.
    pub fn read_change(&self, before: u64, offset: u64, change: Change) -> Option<u64> {
        let is_news = self.said.borrow_mut().is_news(&change);
        let doubt_ms = self.upstreams.borrow().doubt_ms(self.now_ms());
        self.apply(change.clone());
        let after = offset + 1;
        let news = News {
            before,
            after,
            change,
            doubt_ms: doubt_ms as u32,
        };
        is_news.then(|| {
            self.shared.borrow_mut().add_news(self.now_ms(), news);
            after
        })
    }

    /// Limits of a service's engines; nothing is known of what is not configured.
    pub fn engine_limits(&self, service: &str) -> EngineLimits {
        let config = self.config.borrow();
        let service = config.as_ref().and_then(|config| config.service(service));
        service
            .and_then(|service| service.engine)
            .unwrap_or_default()
    }

    /// Instances among which shared bounds are split.
    pub fn instances(&self) -> usize {
        self.members.borrow().count()
    }

    /// Counts a first send to a service.
    pub fn sent_first(&self, service: &str) {
        let terms = self.settings.borrow().repeats;
        let mut all = self.repeats.borrow_mut();
        let repeats = all.entry(service.to_owned()).or_default();
        repeats.first(self.now_ms(), &terms);
    }

    /// Takes one repeat from the budget of a service.
    pub fn may_repeat(&self, service: &str) -> bool {
        // An instance that has just started does not know among how many the budget is split;
        // were all to take it whole, a restart of many during a failure would break the bound.
        if !self.members.borrow().is_known() {
            return false;
        }
        let terms = self.settings.borrow().repeats;
        let instances = self.instances();
        let mut all = self.repeats.borrow_mut();
        let repeats = all.entry(service.to_owned()).or_default();
        let may = repeats.take(self.now_ms(), &terms, instances);
        let outcome = if may { "taken" } else { "refused" };
        self.metrics.repeats.with_label_values(&[outcome]).inc();
        may
    }

    /// Counts a repeat that had been sent before it was known to be one.
    pub fn forced_repeat(&self, service: &str) {
        let terms = self.settings.borrow().repeats;
        let mut all = self.repeats.borrow_mut();
        let repeats = all.entry(service.to_owned()).or_default();
        repeats.forced(self.now_ms(), &terms);
    }

    /// Another incarnation answered at an upstream's address, so the one known is gone.
    pub fn found_gone(&self, upstream: &crate::upstream::Upstream) {
        self.upstreams.borrow_mut().found_gone(&upstream.id);
        log::info!(upstream = upstream.id; "upstream replaced by another incarnation");
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Age of what this instance could tell another one, if it has taken in all that it knows of.
fn known_age_ms(followed: &Followed) -> Option<u64> {
    let is_behind = followed.is_behind();
    age_ms(followed).filter(|_| !is_behind)
}

fn age_ms(followed: &Followed) -> Option<u64> {
    followed.next().map(|_| followed.age_ms(since_boot_ms()))
}

fn changed_id(change: &Change) -> String {
    match change {
        Change::Put(entry) => entry.id.clone(),
        Change::Gone(id) => id.clone(),
    }
}

fn note(id: &str, effect: Effect) {
    match effect {
        Effect::Same => {}
        Effect::Joined => log::info!(upstream = id; "upstream joined"),
        Effect::Changed => log::info!(upstream = id; "upstream changed"),
        Effect::Left => log::info!(upstream = id; "upstream left"),
        Effect::Doubted => log::info!(upstream = id; "upstream's entry lapsed with the store"),
    }
}
