//! One incarnation of an upstream: its connections, load, health and cached prompt parts as seen by
//! this instance.

mod freed;
mod in_flight;
mod pace;
mod prompt_cache;
mod rate_limit;
mod reported_load;
mod role_change;
mod room;
mod signs;

use std::cell::{Cell, RefCell, RefMut};
use std::net::SocketAddr;
use std::rc::Rc;

use plan::{EngineView, Health, HealthStatus};
use tick::Clock;

use crate::pool::Pool;

pub use freed::FreedPlaces;
pub use in_flight::{InFlight, Work};
use pace::PaceState;
pub use prompt_cache::{CachedParts, MIN_CACHED_TOKENS};
pub use rate_limit::RateLimit;
pub use reported_load::ReportedLoad;
use role_change::RoleChange;
use signs::SignsOfLife;
pub use view::{
    Load, PrefillProgress, PrefillQueue, RANKS, Stage, UpstreamEntry, UpstreamKey, UpstreamState,
    VersionKey,
};

/// Time constant by which the load that an upstream reported decays, in ms: a few times the duration
/// of a short answer, after which most of the reported requests have ended.
const REPORTED_LOAD_DECAY_MS: f64 = 400.0;

/// Weight of the latest answer in the moving average of an upstream's answer times.
const ANSWER_SMOOTHING: f64 = 0.2;

/// Average answer times without any answer after which an upstream outside generation counts as
/// silent.
const SILENCE_ANSWERS: f64 = 8.0;

/// Lower bound on the time without any answer after which an upstream counts as silent, in ms.
const MIN_SILENCE_MS: u64 = 250;

/// Time for which an engine that rejected a request for lack of capacity gets no other one, in ms.
/// Each rejection counts against the retry budget; this limits them to a few a second. Slots become
/// free in less time.
const NO_CAPACITY_BACKOFF_MS: u64 = 500;

/// Time without any answer after which an engine counts as silent, in ms: longer than the prefill of
/// the longest prompt.
const ENGINE_SILENCE_MS: u64 = 1_500;

/// Requests of other instances, derived from the load that the upstream reported.
#[derive(Debug, Clone, Copy, Default)]
struct ReportedPeers {
    requests: f64,
    at_ms: u64,
}

/// One incarnation of an upstream.
pub struct Upstream {
    /// Its id. A restarted upstream may come back under the same one.
    pub id: String,
    /// Start of the incarnation, on the upstream's clock, in ms.
    pub started_ms: u64,
    /// Short key that identifies the incarnation in gossip.
    pub key: UpstreamKey,
    /// Service that it belongs to.
    pub service: String,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// One-way network latency, in ms.
    pub one_way_delay_ms: f64,
    /// Requests that it runs concurrently; at least 1.
    pub slots: u32,
    /// Version of its software, empty if it names none.
    pub version: String,
    /// Key of that version.
    pub version_key: VersionKey,
    /// Whether its machine may be reclaimed at short notice.
    pub is_spot: bool,
    /// Connections to it.
    pub pool: Rc<Pool>,
    signs: SignsOfLife,
    clock: Clock,
    joined_ms: u64,
    role_change: Cell<Option<RoleChange>>,
    no_capacity_until_ms: Cell<u64>,
    state: Cell<UpstreamState>,
    stage: Cell<Stage>,
    seq: Cell<u64>,
    unanswered: Cell<u32>,
    last_activity_ms: Cell<u64>,
    heard_ms: Cell<Option<u64>>,
    in_flight: Cell<u32>,
    queue: RefCell<PrefillQueue>,
    context_tokens: Cell<f64>,
    answer_ms: Cell<f64>,
    reported: Cell<ReportedPeers>,
    health: RefCell<Health>,
    cached_parts: RefCell<CachedParts>,
    peer_load: Cell<Option<Load>>,
    limit: RefCell<RateLimit>,
    pace: PaceState,
    freed: RefCell<Option<Rc<FreedPlaces>>>,
}

impl Upstream {
    /// Creates the state of an upstream that has just appeared in the list.
    pub fn new(entry: &UpstreamEntry, one_way_delay_ms: f64, clock: Clock) -> Self {
        Self {
            id: entry.id.clone(),
            started_ms: entry.started_ms,
            key: UpstreamKey::of(&entry.id, entry.started_ms),
            service: entry.service.clone(),
            address: entry.address,
            zone: entry.zone.clone(),
            one_way_delay_ms,
            slots: entry.slots.max(1),
            version: entry.version.clone(),
            version_key: VersionKey::of(&entry.version),
            is_spot: entry.is_spot,
            pool: Pool::new(entry.address, clock),
            signs: SignsOfLife::default(),
            joined_ms: clock.now_ms(),
            role_change: Cell::default(),
            no_capacity_until_ms: Cell::default(),
            clock,
            state: Cell::new(entry.state),
            stage: Cell::new(entry.stage),
            seq: Cell::new(entry.seq),
            unanswered: Cell::default(),
            last_activity_ms: Cell::default(),
            heard_ms: Cell::default(),
            in_flight: Cell::default(),
            queue: RefCell::default(),
            context_tokens: Cell::default(),
            answer_ms: Cell::new(0.0),
            reported: Cell::default(),
            health: RefCell::default(),
            cached_parts: RefCell::default(),
            peer_load: Cell::default(),
            limit: RefCell::default(),
            pace: PaceState::default(),
            freed: RefCell::default(),
        }
    }

    /// Whether it accepts new requests according to the list and its own answers.
    pub fn is_ready(&self) -> bool {
        self.state.get() == UpstreamState::Ready
    }

    /// The part of a generation that it runs.
    pub fn stage(&self) -> Stage {
        self.stage.get()
    }

    /// Records that it rejected a generation for lack of capacity, and ejects it for a short time.
    ///
    /// An engine also rejects all new requests during a role change. That may take longer than
    /// expected, or its order may be unknown here.
    pub fn note_no_capacity(&self, now_ms: u64) {
        self.no_capacity_until_ms
            .set(now_ms + NO_CAPACITY_BACKOFF_MS);
    }

    /// Time since this instance first saw it, in ms.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.joined_ms)
    }

    /// Applies a list entry of this incarnation; returns whether its state or stage changed.
    ///
    /// Entries can arrive out of order. An older one is ignored, and an incarnation that is leaving
    /// never becomes ready again; otherwise an old entry would bring it new requests. So an entry that says
    /// that it leaves holds whatever its number: another writer may have given it one that no later entry reaches.
    pub fn update(&self, entry: &UpstreamEntry) -> bool {
        let is_leaving = self.is_ready() && entry.state == UpstreamState::Leaving;
        if is_leaving {
            self.leave();
        }
        if entry.seq < self.seq.get() {
            return is_leaving;
        }
        self.seq.set(entry.seq);
        is_leaving || self.stage.replace(entry.stage) != entry.stage
    }

    /// Its list entry after the latest applied update.
    pub fn entry(&self) -> UpstreamEntry {
        UpstreamEntry {
            id: self.id.clone(),
            started_ms: self.started_ms,
            service: self.service.clone(),
            address: self.address,
            zone: self.zone.clone(),
            slots: self.slots,
            state: self.state.get(),
            stage: self.stage.get(),
            seq: self.seq.get(),
            version: self.version.clone(),
            is_spot: self.is_spot,
        }
    }

    /// Stops new requests to it, including those that wait for a connection, and closes its connections as
    /// they become idle.
    pub fn leave(&self) {
        self.state.set(UpstreamState::Leaving);
        self.pool.close();
    }

    /// Time that is left of the rest that it asked this instance for, in ms.
    pub fn rest_left_ms(&self, now_ms: u64) -> u64 {
        self.pool.rest().left_ms(now_ms)
    }

    /// Grants it rest; returns whether that became longer.
    pub fn extend_rest(&self, now_ms: u64, rest_ms: u64) -> bool {
        let mut rest = self.pool.rest();
        let is_longer = rest.extend(now_ms, rest_ms);
        self.pool.set_rest(rest);
        is_longer
    }

    /// Whether it may get requests now: it is not leaving and does not rest.
    pub fn accepts_requests(&self, now_ms: u64) -> bool {
        self.is_ready() && self.rest_left_ms(now_ms) == 0
    }

    /// Sequence number of the latest entry that was applied.
    pub fn seq(&self) -> u64 {
        self.seq.get()
    }

    /// Requests of this instance in flight there.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }

    /// Requests of this instance that have passed prefill there and are in decode.
    pub fn decoding(&self) -> u32 {
        self.in_flight.get().saturating_sub(self.unanswered.get())
    }

    /// This instance's load on it, for gossip; empty if nothing is in flight.
    pub fn outstanding(&self) -> Option<(UpstreamKey, Load)> {
        let load = || Load {
            requests: self.in_flight.get(),
            queue: self.queue.borrow().rounded(),
            context: self.context_tokens.get() as u32,
        };
        (self.in_flight.get() > 0).then(|| (self.key, load()))
    }

    /// Sets the load of all peers on it according to gossip; none if no gossip arrives.
    pub fn set_peer_load(&self, load: Option<Load>) {
        self.peer_load.set(load);
    }

    fn peer_load(&self) -> Load {
        self.peer_load.get().unwrap_or_default()
    }

    /// Estimated requests in flight there from all instances.
    ///
    /// Requests of peers come from gossip or, without it, from the load that the upstream reported
    /// with its last answer.
    pub fn load(&self, now_ms: u64) -> f64 {
        if let Some(peers) = self.peer_load.get() {
            return f64::from(self.in_flight.get() + peers.requests);
        }
        let reported = self.reported.get();
        let age_ms = now_ms.saturating_sub(reported.at_ms) as f64;
        f64::from(self.in_flight.get())
            + reported.requests * (-age_ms / REPORTED_LOAD_DECAY_MS).exp()
    }

    /// Records the load that the upstream reported with an answer.
    pub fn note_reported_load(&self, now_ms: u64, load: ReportedLoad) {
        let all = f64::from(load.running + load.waiting);
        let requests = (all - f64::from(self.in_flight.get())).max(0.0);
        self.reported.set(ReportedPeers {
            requests,
            at_ms: now_ms,
        });
    }

    /// Its rate limit; without a limit until one of its answers names one.
    pub(crate) fn limit(&self) -> RefMut<'_, RateLimit> {
        self.limit.borrow_mut()
    }

    /// Whether requests may be sent to it, by its health.
    pub fn health_status(&self, now_ms: u64) -> HealthStatus {
        if self.is_silent(now_ms) || self.is_known_full(now_ms) {
            return HealthStatus::Ejected;
        }
        self.health.borrow().status(now_ms)
    }

    /// Whether it has unanswered requests and sent no answer within the allowed silence.
    ///
    /// A machine that is cut off does not refuse connections: requests on open ones just wait, and
    /// each new one would wait until its deadline. An upstream that is merely busy answers some
    /// request in that time.
    fn is_silent(&self, now_ms: u64) -> bool {
        let longest_ms = match self.stage.get() {
            Stage::Whole => (SILENCE_ANSWERS * self.answer_ms.get()) as u64,
            Stage::Prefill | Stage::Decode => ENGINE_SILENCE_MS,
        };
        let longest_ms = longest_ms.max(MIN_SILENCE_MS);
        self.unanswered.get() > 0 && now_ms > self.last_activity_ms.get() + longest_ms
    }

    /// Records that data arrived from it at `now_ms`.
    pub fn note_activity(&self, now_ms: u64) {
        self.last_activity_ms.set(now_ms);
        self.heard_ms.set(Some(now_ms));
    }

    /// When data last arrived from it.
    pub fn heard_ms(&self) -> Option<u64> {
        self.heard_ms.get()
    }

    /// Time for which it has sent nothing while requests of this instance are in flight there, in ms; none if there
    /// are none.
    pub fn silent_ms(&self, now_ms: u64) -> Option<u64> {
        let silent_ms = now_ms.saturating_sub(self.last_activity_ms.get());
        (self.in_flight.get() > 0).then_some(silent_ms)
    }

    /// Takes back what was held against it since `faults_from_ms`, when this instance had no path to it.
    pub fn forgive_since(&self, now_ms: u64, faults_from_ms: u64) {
        self.health.borrow_mut().forgive_since(faults_from_ms);
        // Requests that waited through the cut would still count as unanswered for too long.
        self.last_activity_ms.set(now_ms);
    }

    /// Whether any data arrived from it after `since_ms`.
    pub fn has_answered_since(&self, since_ms: u64) -> bool {
        self.last_activity_ms.get() > since_ms
    }

    /// Records that no connection to it could be opened.
    pub fn note_unreachable(&self, now_ms: u64) {
        self.health.borrow_mut().record_unreachable(now_ms);
    }

    /// Factor by which its answers are slower than predicted.
    pub fn slowness(&self) -> f64 {
        self.health.borrow().slowness()
    }

    /// Records an answer after `actual_ms` where `predicted_ms` was predicted.
    pub fn note_answer(&self, now_ms: u64, predicted_ms: f64, actual_ms: f64) {
        self.health
            .borrow_mut()
            .record_latency(now_ms, predicted_ms, actual_ms);
        let average = self.answer_ms.get();
        let next = if average == 0.0 {
            actual_ms
        } else {
            average + ANSWER_SMOOTHING * (actual_ms - average)
        };
        self.answer_ms.set(next);
    }

    /// Records a request whose failure is attributed to the upstream.
    pub fn note_failure(&self, now_ms: u64) {
        self.health.borrow_mut().record_failure(now_ms);
    }

    /// Moving average of its answer times, in ms; 0 before the first answer.
    pub fn answer_ms(&self) -> f64 {
        self.answer_ms.get()
    }

    /// Queued prefill work from this instance, in tokens.
    pub fn own_queued_tokens(&self) -> f64 {
        self.queue.borrow().total()
    }

    /// Queued prefill work from all instances, in tokens.
    pub fn queued_tokens(&self) -> f64 {
        self.queue.borrow().plus(&self.peer_load().queue).total()
    }

    /// Records that it has cached a prompt part, or is about to. `capacity_tokens` is the size of its
    /// KV cache memory.
    pub fn note_cached_part(
        &self,
        part: u64,
        tokens: f64,
        progress: PrefillProgress,
        capacity_tokens: f64,
    ) {
        let running = self.context_tokens.get() + f64::from(self.peer_load().context);
        let mut cached_parts = self.cached_parts.borrow_mut();
        cached_parts.add(part, tokens, progress, capacity_tokens - running);
    }

    /// Tokens of a part that it is believed to cache or to be prefilling; 0 if neither.
    pub fn cached_tokens(&self, part: u64) -> f64 {
        self.cached_parts.borrow().tokens(part)
    }

    /// Tokens of a part that other engines can copy from it; 0 if there is nothing to copy yet.
    pub fn copyable_tokens(&self, part: u64) -> f64 {
        self.cached_parts.borrow().copyable_tokens(part)
    }

    /// Input of the cost model for a prompt that would queue there at `rank`, with `cached_tokens` of
    /// it cached.
    pub fn view(&self, now_ms: u64, cached_tokens: f64, rank: u8) -> EngineView {
        let peers = self.peer_load();
        let queue = self.queue.borrow().plus(&peers.queue);
        EngineView {
            queued_tokens: queue.tokens_up_to(rank),
            lower_priority_tokens: queue.tokens_after(rank),
            context_tokens: self.context_tokens.get() + f64::from(peers.context),
            cached_tokens,
            copy_ms: 0.0,
            new_tokens: 0.0,
            requests: self.load(now_ms),
            slots: f64::from(self.slots),
            one_way_delay_ms: self.one_way_delay_ms,
            slowness: self.slowness(),
            time_factor: self.time_factor(now_ms),
        }
    }
}
