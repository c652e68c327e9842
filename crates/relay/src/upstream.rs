//! One incarnation of an upstream, and what this instance has seen of it.

mod in_flight;
mod prompt_cache;
mod rate_limit;

use std::cell::{Cell, RefCell, RefMut};
use std::net::SocketAddr;
use std::rc::Rc;

use plan::{EngineView, Health, HealthStatus};
use tick::Clock;

use crate::dialect::ReportedLoad;
use crate::pool::Pool;

pub use in_flight::{InFlight, Work};
pub use prompt_cache::{CachedParts, MIN_CACHED_TOKENS};
pub use rate_limit::RateLimit;
pub use view::{
    Load, PrefillProgress, PrefillQueue, RANKS, Stage, UpstreamEntry, UpstreamKey, UpstreamState,
};

/// Time over which what an upstream told of the load that others put on it fades, in ms: a few
/// times the length of a short answer, after which it describes other requests.
const REPORTED_LOAD_DECAY_MS: f64 = 400.0;

/// Weight of one answer in the moving average of an upstream's answers.
const ANSWER_SMOOTHING: f64 = 0.2;

/// Usual answers' time without any answer after which a plain service counts as silent.
const SILENCE_ANSWERS: f64 = 8.0;

/// Least time without any answer after which an upstream counts as silent, in ms.
const MIN_SILENCE_MS: u64 = 250;

/// Time for which an engine that rejected a request as having no room gets no other one, in ms: long
/// enough that rejections, each of which counts as a repeat, stay a few a second; places come free in
/// less.
const NO_CAPACITY_BACKOFF_MS: u64 = 500;

/// Time without any answer after which an engine counts as silent, in ms: longer than it reads
/// the longest prompt.
const ENGINE_SILENCE_MS: u64 = 1_500;

#[derive(Debug, Clone, Copy, Default)]
struct ReportedPeers {
    requests: f64,
    at_ms: u64,
}

/// An order to change its stage that it has, or may have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct RoleChange {
    stage: Stage,
    until_ms: u64,
    is_own: bool,
}

/// An upstream with its connections and what was seen of it.
pub struct Upstream {
    /// Its id, which a restart may keep.
    pub id: String,
    /// When the incarnation started, by its own clock.
    pub born_ms: u64,
    /// Its short name among instances.
    pub key: UpstreamKey,
    /// Service that it runs.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Time of one way to it, in ms.
    pub distance_ms: f64,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it may be taken back at short notice.
    pub is_spot: bool,
    /// Its connections.
    pub pool: Rc<Pool>,
    is_health_check_running: Cell<bool>,
    clock: Clock,
    joined_ms: u64,
    role_change: Cell<Option<RoleChange>>,
    no_capacity_until_ms: Cell<u64>,
    standing: Cell<UpstreamState>,
    stage: Cell<Stage>,
    seq: Cell<u64>,
    unanswered: Cell<u32>,
    last_activity_ms: Cell<u64>,
    in_flight: Cell<u32>,
    queue: RefCell<PrefillQueue>,
    context_tokens: Cell<f64>,
    answer_ms: Cell<f64>,
    reported: Cell<ReportedPeers>,
    health: RefCell<Health>,
    cached_parts: RefCell<CachedParts>,
    peer_load: Cell<Option<Load>>,
    limit: RefCell<RateLimit>,
}

impl Upstream {
    /// An upstream that was just heard of.
    pub fn new(entry: &UpstreamEntry, distance_ms: f64, clock: Clock) -> Self {
        Self {
            id: entry.id.clone(),
            born_ms: entry.started_ms,
            key: UpstreamKey::of(&entry.id, entry.started_ms),
            service: entry.service.clone(),
            address: entry.address,
            zone: entry.zone.clone(),
            distance_ms,
            slots: entry.slots.max(1),
            is_spot: entry.is_spot,
            pool: Pool::new(entry.address, clock),
            is_health_check_running: Cell::default(),
            joined_ms: clock.now_ms(),
            role_change: Cell::default(),
            no_capacity_until_ms: Cell::default(),
            clock,
            standing: Cell::new(entry.state),
            stage: Cell::new(entry.stage),
            seq: Cell::new(entry.seq),
            unanswered: Cell::default(),
            last_activity_ms: Cell::default(),
            in_flight: Cell::default(),
            queue: RefCell::default(),
            context_tokens: Cell::default(),
            answer_ms: Cell::new(0.0),
            reported: Cell::default(),
            health: RefCell::default(),
            cached_parts: RefCell::default(),
            peer_load: Cell::default(),
            limit: RefCell::default(),
        }
    }

    /// It is to be found out whether it has ended; gives whether that was not under way already.
    pub fn begin_health_check(&self) -> bool {
        !self.is_health_check_running.replace(true)
    }

    /// It was found out.
    pub fn end_health_check(&self) {
        self.is_health_check_running.set(false);
    }

    /// Whether it is being found out if it has ended.
    pub fn is_health_check_running(&self) -> bool {
        self.is_health_check_running.get()
    }

    /// Whether it gets new work.
    pub fn is_ready(&self) -> bool {
        self.standing.get() == UpstreamState::Ready
    }

    /// What it does of a generation.
    pub fn stage(&self) -> Stage {
        self.stage.get()
    }

    /// It was ordered to another stage, and is away until the list says that it is there or
    /// `for_ms` have passed; `is_own` if this instance ordered it.
    pub fn begin_role_change(&self, now_ms: u64, stage: Stage, for_ms: u64, is_own: bool) {
        self.role_change.set(Some(RoleChange {
            stage,
            until_ms: now_ms + for_ms,
            is_own,
        }));
    }

    /// It was not ordered to another stage after all.
    pub fn cancel_role_change(&self) {
        self.role_change.set(None);
    }

    /// Where it was ordered to by this instance, to be told to others.
    pub fn own_role_change(&self, now_ms: u64) -> Option<view::PendingRoleChange> {
        let role_change = self.role_change(now_ms)?;
        role_change.is_own.then(|| view::PendingRoleChange {
            upstream: self.key,
            stage: role_change.stage,
            remaining_ms: (role_change.until_ms - now_ms) as u32,
        })
    }

    fn role_change(&self, now_ms: u64) -> Option<RoleChange> {
        let role_change = self.role_change.get()?;
        (role_change.stage != self.stage() && now_ms < role_change.until_ms).then_some(role_change)
    }

    /// Whether it is on its way to another stage.
    pub fn is_changing_role(&self, now_ms: u64) -> bool {
        self.role_change(now_ms).is_some()
    }

    /// Its stage, or the one that it is on its way to.
    pub fn target_stage(&self, now_ms: u64) -> Stage {
        let role_change = self.role_change(now_ms);
        role_change.map_or_else(|| self.stage(), |role_change| role_change.stage)
    }

    /// It rejected a generation as having no room.
    ///
    /// One that is turning rejects all that is new, and may do so for longer than was expected, or
    /// though nobody has told of its order.
    pub fn note_no_capacity(&self, now_ms: u64) {
        self.no_capacity_until_ms
            .set(now_ms + NO_CAPACITY_BACKOFF_MS);
    }

    /// It rejected a step of a generation as not its own, so it does the other one by now.
    ///
    /// The list tells a change of stage only once its store can be read again; until then each
    /// request that was sent there would be rejected and count as a repeat.
    pub fn assume_other_stage(&self) {
        self.stage.set(match self.stage.get() {
            Stage::Prefill => Stage::Decode,
            Stage::Decode => Stage::Prefill,
            Stage::Whole => Stage::Whole,
        });
    }

    /// Time since it was first heard of.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.joined_ms)
    }

    /// Takes over what the list says now; gives whether anything changed.
    ///
    /// An entry that was written earlier may come later. It is passed over, and an incarnation
    /// that was leaving stays so, or the old entry would bring it new work.
    pub fn update(&self, entry: &UpstreamEntry) -> bool {
        if entry.seq < self.seq.get() {
            return false;
        }
        self.seq.set(entry.seq);
        let leaves = self.is_ready() && entry.state == UpstreamState::Leaving;
        if leaves {
            self.leave();
        }
        leaves || self.stage.replace(entry.stage) != entry.stage
    }

    /// What the list says of it, as far as it was taken over.
    pub fn entry(&self) -> UpstreamEntry {
        UpstreamEntry {
            id: self.id.clone(),
            started_ms: self.born_ms,
            service: self.service.clone(),
            address: self.address,
            zone: self.zone.clone(),
            slots: self.slots,
            state: self.standing.get(),
            stage: self.stage.get(),
            seq: self.seq.get(),
            is_spot: self.is_spot,
        }
    }

    /// It gets no new work from now on.
    pub fn leave(&self) {
        self.standing.set(UpstreamState::Leaving);
        self.pool.close();
    }

    /// The latest entry of it that was taken over.
    pub fn seq(&self) -> u64 {
        self.seq.get()
    }

    /// Requests of ours that it has.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }

    /// Requests of ours whose output it is making: those that wait or are read there are left out.
    pub fn decoding(&self) -> u32 {
        self.in_flight.get().saturating_sub(self.unanswered.get())
    }

    /// What this instance has outstanding here, to be told to others.
    pub fn outstanding(&self) -> Option<(UpstreamKey, Load)> {
        let load = || Load {
            requests: self.in_flight.get(),
            queue: self.queue.borrow().rounded(),
            context: self.context_tokens.get() as u32,
        };
        (self.in_flight.get() > 0).then(|| (self.key, load()))
    }

    /// What others have outstanding here, by their word; nothing if nobody speaks for them.
    pub fn set_peer_load(&self, load: Option<Load>) {
        self.peer_load.set(load);
    }

    fn peer_load(&self) -> Load {
        self.peer_load.get().unwrap_or_default()
    }

    /// Requests that it has: ours exactly, those of others as they told, or, without word from
    /// them, as it told itself with an answer.
    pub fn load(&self, now_ms: u64) -> f64 {
        if let Some(others) = self.peer_load.get() {
            return f64::from(self.in_flight.get() + others.requests);
        }
        let reported = self.reported.get();
        let age_ms = now_ms.saturating_sub(reported.at_ms) as f64;
        f64::from(self.in_flight.get())
            + reported.requests * (-age_ms / REPORTED_LOAD_DECAY_MS).exp()
    }

    /// It told its load, of which `own` were ours.
    pub fn note_reported_load(&self, now_ms: u64, load: ReportedLoad) {
        let all = f64::from(load.running + load.waiting);
        let others = (all - f64::from(self.in_flight.get())).max(0.0);
        self.reported.set(ReportedPeers {
            requests: others,
            at_ms: now_ms,
        });
    }

    /// What is known of how many requests it takes.
    pub(crate) fn limit(&self) -> RefMut<'_, RateLimit> {
        self.limit.borrow_mut()
    }

    /// Whether it is fit for work.
    pub fn verdict(&self, now_ms: u64) -> HealthStatus {
        if self.is_silent(now_ms) || now_ms < self.no_capacity_until_ms.get() {
            return HealthStatus::Ejected;
        }
        self.health.borrow().status(now_ms)
    }

    /// Whether it has requests and has answered none of them for too long.
    ///
    /// An upstream whose machine has gone dark refuses nothing: requests on open connections just
    /// wait, and each new one would wait with them until its deadline. One that is only busy
    /// answers somebody in that time.
    fn is_silent(&self, now_ms: u64) -> bool {
        let longest_ms = match self.stage.get() {
            Stage::Whole => (SILENCE_ANSWERS * self.answer_ms.get()) as u64,
            Stage::Prefill | Stage::Decode => ENGINE_SILENCE_MS,
        };
        let longest_ms = longest_ms.max(MIN_SILENCE_MS);
        self.unanswered.get() > 0 && now_ms > self.last_activity_ms.get() + longest_ms
    }

    /// It gave a sign of life at `now_ms`.
    pub fn note_activity(&self, now_ms: u64) {
        self.last_activity_ms.set(now_ms);
    }

    /// No connection to it could be opened.
    pub fn note_unreachable(&self, now_ms: u64) {
        self.health.borrow_mut().record_unreachable(now_ms);
    }

    /// How much slower it is than predicted.
    pub fn slowness(&self) -> f64 {
        self.health.borrow().slowness()
    }

    /// It answered after `actual_ms` where `predicted_ms` was expected.
    pub fn note_answer(&self, now_ms: u64, predicted_ms: f64, actual_ms: f64) {
        self.health
            .borrow_mut()
            .record_latency(now_ms, predicted_ms, actual_ms);
        let seen = self.answer_ms.get();
        let next = if seen == 0.0 {
            actual_ms
        } else {
            seen + ANSWER_SMOOTHING * (actual_ms - seen)
        };
        self.answer_ms.set(next);
    }

    /// It failed a request for its own sake.
    pub fn note_failure(&self, now_ms: u64) {
        self.health.borrow_mut().record_failure(now_ms);
    }

    /// Moving average of its answers' times.
    pub fn answer_ms(&self) -> f64 {
        self.answer_ms.get()
    }

    /// Work of reading prompts that it has, whoever sent it.
    pub fn queued_tokens(&self) -> f64 {
        self.queue.borrow().plus(&self.peer_load().queue).total()
    }

    /// It has read, or been sent, a prompt part, where its memory has room for `room_tokens`.
    pub fn note_cached_part(
        &self,
        part: u64,
        tokens: f64,
        reading: PrefillProgress,
        room_tokens: f64,
    ) {
        let running = self.context_tokens.get() + f64::from(self.peer_load().context);
        let mut cached_parts = self.cached_parts.borrow_mut();
        cached_parts.add(part, tokens, reading, room_tokens - running);
    }

    /// Tokens of a part that it is believed to hold or to be reading.
    pub fn cached_tokens(&self, part: u64) -> f64 {
        self.cached_parts.borrow().tokens(part)
    }

    /// Tokens of a part that others can copy from it.
    pub fn copyable_tokens(&self, part: u64) -> f64 {
        self.cached_parts.borrow().copyable_tokens(part)
    }

    /// The upstream as a placement of a prompt sees it that would wait there at a rank.
    pub fn view(&self, now_ms: u64, cached_tokens: f64, rank: u8) -> EngineView {
        let others = self.peer_load();
        let queue = self.queue.borrow().plus(&others.queue);
        EngineView {
            queued_tokens: queue.tokens_up_to(rank),
            lower_priority_tokens: queue.tokens_after(rank),
            context_tokens: self.context_tokens.get() + f64::from(others.context),
            cached_tokens,
            copy_ms: 0.0,
            new_tokens: 0.0,
            requests: self.load(now_ms),
            slots: f64::from(self.slots),
            one_way_delay_ms: self.distance_ms,
            slowness: self.slowness(),
        }
    }
}
