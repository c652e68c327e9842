//! A deployment of three instances in virtual time.

use feed::{Page, Step as Folded};
use lease::{Action, EngineReport, Move, Wish};
use once::Key;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use wire::{Body, BundlePublished, BundleRef, ClaimVerdict, LeaseClaimed, LeaseRef, OrderKind};

use crate::calls::Call;
use crate::fakes::{Arrived, FakeEngine, FakeLog, FakeService};
use crate::instance::{GROUP, Instance, Leaving, TIMES};
use crate::{Broken, Cell, Fault, Invariant, Step, Violation};

/// Length of a step of virtual time.
const TICK_MS: u64 = 10;

/// Length of a run.
const LENGTH_MS: u64 = 40_000;

/// When nothing new is injected or asked for, so that the end shows what settles.
const QUIET_MS: u64 = 26_000;

/// How long a fault lasts: longer than ttl and margin together.
const FAULT_MS: u64 = 6_000;

/// Time after which a dead instance is replaced.
const REPLACE_MS: u64 = 3_000;

/// Time of one way between instances, and to upstreams and the log.
const WAY_MS: u64 = 5;

/// Time between two reads of the log.
const READ_MS: u64 = 50;

/// Time after which an append or a read counts as failed.
const LOG_MS: u64 = 1_000;

/// Time between two calls.
const CALL_MS: u64 = 150;

/// How much too early a successor claims when its wait is taken out: late enough for renewals
/// to come through in ordinary times.
const TOO_EARLY_MS: u64 = 1_700;

/// Time from an accepted roll to its being in force everywhere, without a fault under way.
const IN_FORCE_MS: u64 = 10_000;

const INSTANCES: usize = 3;

/// A message on its way.
#[derive(Debug, Clone)]
pub(crate) enum Message {
    Appended,
    AppendFailed,
    Page(Page),
    ReadFailed,
    Ask { number: usize },
    Claim { home: usize, key: Key, body: u64 },
    Verdict { key: Key, verdict: ClaimVerdict },
    Served { key: Key, body: u64 },
    Keep { key: Key, body: u64 },
}

#[allow(clippy::enum_variant_names, reason = "each names its destination")]
enum Flight {
    ToInstance {
        place: usize,
        incarnation: u64,
        message: Message,
    },
    ToLog {
        place: usize,
        incarnation: u64,
        records: Vec<Vec<u8>>,
        answered: bool,
    },
    ToEngine {
        engine: usize,
        order: u64,
        kind: OrderKind,
        argument: String,
    },
    ToService {
        place: usize,
        key: Key,
        body: u64,
    },
}

/// What an operator does, and when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Deed {
    Publish(u64, u64),
    Sign(u64, u64),
    Roll(u64, u64),
    Withdraw(u64, u64),
    Drain,
    Stop,
    StartAgain,
}

/// A fault to inject.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Injection {
    /// Which, and at which step.
    pub cell: Cell,
    /// At which time the step is reached, from 0.
    pub occurrence: u32,
}

/// What a run showed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// Invariants that did not hold.
    pub violations: Vec<Violation>,
    /// Whether all injections took place.
    pub reached: bool,
    /// Orders that engines took.
    pub orders: usize,
    /// Calls that ran.
    pub ran: usize,
}

pub(crate) struct World {
    pub(crate) now_ms: u64,
    pub(crate) broken: Broken,
    pub(crate) instances: Vec<Instance>,
    pub(crate) calls: Vec<Call>,
    pub(crate) service: FakeService,
    log: FakeLog,
    engines: Vec<FakeEngine>,
    flights: Vec<(u64, Flight)>,
    deeds: Vec<(u64, Deed)>,
    replace: Vec<(u64, usize)>,
    injections: Vec<(Injection, u32)>,
    heal_ms: u64,
    violations: Vec<Violation>,
    highest_fence: u64,
    drained_known: Vec<bool>,
    rolled: Option<(u64, u64)>,
    orders: usize,
    rng: Pcg64,
}

/// Runs the deployment with faults, and safeguards taken out.
pub fn run(injections: &[Injection], broken: Broken, seed: u64) -> Outcome {
    let mut world = World::new(injections, broken, seed);
    while world.now_ms < LENGTH_MS {
        world.tick();
        world.now_ms += TICK_MS;
    }
    world.check_calls();
    world.check_bundles();
    Outcome {
        reached: world.injections.iter().all(|(_, left)| *left == u32::MAX),
        orders: world.orders,
        ran: world.service.effects.len(),
        violations: world.violations,
    }
}

impl World {
    fn new(injections: &[Injection], broken: Broken, seed: u64) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        let instances =
            (0..INSTANCES).map(|place| Instance::new(&format!("entry-{place}"), 0, &mut rng));
        let instances: Vec<Instance> = instances.collect();
        let jitter = rng.random_range(0..200);
        let mut deeds = vec![
            (500, Deed::Publish(1, 1)),
            (800, Deed::Sign(1, 1)),
            (1_100, Deed::Roll(1, 1)),
            (6_000, Deed::Publish(2, 1)),
            (6_300, Deed::Sign(2, 1)),
            (6_600, Deed::Roll(2, 1)),
            (8_000, Deed::Drain),
            (9_000, Deed::Publish(3, 1)),
            (9_400, Deed::Withdraw(3, 1)),
            (12_000, Deed::Stop),
            (15_000, Deed::StartAgain),
        ];
        for deed in &mut deeds {
            deed.0 += jitter;
        }
        Self {
            now_ms: 0,
            broken,
            instances,
            calls: Vec::new(),
            service: FakeService::default(),
            log: FakeLog::new(),
            engines: vec![
                FakeEngine::new("engine-0", true),
                FakeEngine::new("engine-1", false),
                FakeEngine::new("engine-2", false),
            ],
            flights: Vec::new(),
            deeds,
            replace: Vec::new(),
            injections: injections
                .iter()
                .map(|each| (*each, each.occurrence))
                .collect(),
            heal_ms: u64::MAX,
            violations: Vec::new(),
            highest_fence: 0,
            drained_known: vec![false; INSTANCES],
            rolled: None,
            orders: 0,
            rng,
        }
    }

    pub(crate) fn violate(&mut self, invariant: Invariant, detail: String) {
        self.violations.push(Violation {
            invariant,
            at_ms: self.now_ms,
            detail,
        });
    }

    pub(crate) fn by_name(&self, name: &str) -> usize {
        let place = self
            .instances
            .iter()
            .position(|instance| instance.name == name);
        place.unwrap_or(0)
    }

    pub(crate) fn connected(&self, one: usize, other: usize) -> bool {
        self.instances[one].speaks(self.now_ms)
            && self.instances[other].hears(self.now_ms)
            && self.instances[other].speaks(self.now_ms)
    }

    /// A step is reached by an instance: a fault that waits for it takes place now.
    pub(crate) fn reach(&mut self, step: Step, place: usize) {
        for index in 0..self.injections.len() {
            let (injection, left) = self.injections[index];
            if injection.cell.step != step || left == u32::MAX || self.now_ms >= QUIET_MS {
                continue;
            }
            self.injections[index].1 = left.checked_sub(1).unwrap_or(u32::MAX);
            if left == 0 {
                self.inject(injection.cell.fault, place);
            }
        }
    }

    fn inject(&mut self, fault: Fault, place: usize) {
        let until_ms = self.now_ms + FAULT_MS;
        self.heal_ms = until_ms;
        let instance = &mut self.instances[place];
        match fault {
            Fault::Kill => self.kill(place),
            Fault::Pause => instance.paused_until_ms = until_ms,
            Fault::CutOff => instance.cut_until_ms = until_ms,
            Fault::CutOffOneWay => instance.mute_until_ms = until_ms,
            Fault::CutOffFromLog => instance.log_cut_until_ms = until_ms,
            Fault::LogDown => self.log.down = true,
            Fault::LogSlow => self.log.slow_ms = 2_500,
            Fault::LogAnswersLost => self.log.loses_answers = true,
            Fault::RecordsExpired => {
                // The platform keeps records for longer than a snapshot takes; so does this.
                self.snapshot(place);
                self.log.expire();
                self.kill(place);
            }
            Fault::EnginesCrash => self.engines.iter_mut().for_each(FakeEngine::crash),
            Fault::EnginesSlow => self
                .engines
                .iter_mut()
                .for_each(|engine| engine.slow = true),
            Fault::ServiceSlow => self.service.slow_ms = 2_000,
            Fault::ServiceAnswersLost => self.service.loses_answers = true,
            Fault::RacingOperator => self.race(place),
            Fault::ClockFast => instance.clock_rate = 1.0 + lease::CLOCK_RATE_BOUND,
            Fault::ClockSlow => instance.clock_rate = 1.0 - lease::CLOCK_RATE_BOUND,
        }
    }

    fn heal(&mut self) {
        self.heal_ms = u64::MAX;
        self.log.down = false;
        self.log.slow_ms = 0;
        self.log.loses_answers = false;
        self.service.slow_ms = 0;
        self.service.loses_answers = false;
        for engine in &mut self.engines {
            engine.slow = false;
        }
    }

    fn kill(&mut self, place: usize) {
        self.instances[place].alive = false;
        self.replace.push((self.now_ms + REPLACE_MS, place));
    }

    fn tick(&mut self) {
        if self.now_ms >= self.heal_ms {
            self.heal();
        }
        self.replace_dead();
        self.act_as_operator();
        self.deliver();
        for engine in &mut self.engines {
            engine.advance(self.now_ms);
        }
        if self.now_ms < QUIET_MS && self.now_ms.is_multiple_of(CALL_MS) {
            self.make_call();
        }
        self.ask();
        for place in 0..self.instances.len() {
            if self.instances[place].acts(self.now_ms) {
                self.live(place);
            }
        }
        self.check_holders();
    }

    /// No two instances may hold the lease at the same time, whether they use it or not.
    fn check_holders(&mut self) {
        let holders: Vec<usize> = (0..self.instances.len())
            .filter(|&place| self.instances[place].acts(self.now_ms))
            .filter(|&place| self.authority(place).is_some())
            .collect();
        if holders.len() > 1 {
            let detail = format!("instances {holders:?} hold the lease at once");
            self.violate(Invariant::NoOrderWithoutAuthority, detail);
        }
    }

    fn replace_dead(&mut self) {
        let now_ms = self.now_ms;
        let due: Vec<usize> = self
            .replace
            .extract_if(.., |entry| entry.0 <= now_ms)
            .map(|entry| entry.1)
            .collect();
        for place in due {
            let name = self.instances[place].name.clone();
            self.instances[place] = Instance::new(&name, now_ms, &mut self.rng);
            self.drained_known[place] = false;
            self.reach(Step::Start, place);
        }
    }

    fn act_as_operator(&mut self) {
        let now_ms = self.now_ms;
        let due: Vec<Deed> = self
            .deeds
            .extract_if(.., |deed| deed.0 <= now_ms)
            .map(|deed| deed.1)
            .collect();
        for deed in due {
            match deed {
                Deed::Stop => {
                    // The holder, if there is one, so that a lease is given up.
                    let holder = (0..INSTANCES).find(|&place| self.authority(place).is_some());
                    self.stop(holder.unwrap_or(2));
                }
                Deed::StartAgain => {
                    let stopping = self.instances.iter().position(|instance| instance.stopping);
                    if let Some(place) = stopping {
                        self.kill(place);
                    }
                }
                _ => self.write_deed(deed),
            }
        }
    }

    /// An operator asks the first instance that serves; without one, asks again a little later.
    fn write_deed(&mut self, deed: Deed) {
        let serving = |instance: &Instance| {
            instance.ready && instance.acts(self.now_ms) && !instance.stopping
        };
        let Some(place) = self.instances.iter().position(serving) else {
            self.deeds.push((self.now_ms + 200, deed));
            return;
        };
        let (body, step) = match deed {
            Deed::Publish(version, text) => (publish(version, text), Step::Publish),
            Deed::Sign(version, text) => (Body::BundleSigned(named(version, text)), Step::Sign),
            Deed::Roll(version, text) => (Body::BundleRolled(named(version, text)), Step::Roll),
            Deed::Withdraw(version, text) => {
                (Body::BundleWithdrawn(named(version, text)), Step::Withdraw)
            }
            Deed::Drain | Deed::Stop | Deed::StartAgain => {
                (Body::EngineDrained("engine-2".to_owned()), Step::Drain)
            }
        };
        self.instances[place]
            .outbox
            .push("operator", self.now_ms, body, None);
        self.reach(step, place);
    }

    fn race(&mut self, place: usize) {
        let other = (place + 1) % self.instances.len();
        let version = if self.now_ms < 5_000 { 1 } else { 2 };
        for body in [
            publish(version, 2),
            Body::BundleSigned(named(version, 2)),
            Body::BundleRolled(named(version, 2)),
        ] {
            self.instances[other]
                .outbox
                .push("rival", self.now_ms, body, None);
        }
    }

    fn stop(&mut self, place: usize) {
        self.instances[place].stopping = true;
        self.reach(Step::Stop, place);
        let now_ms = self.instances[place].clock_ms(self.now_ms);
        if let Some(fence) = self.instances[place].elector.leave(now_ms) {
            let group = GROUP.to_owned();
            let body = Body::LeaseReleased(LeaseRef { group, fence });
            self.instances[place]
                .outbox
                .push("entry", self.now_ms, body, None);
            self.reach(Step::ReleaseLease, place);
        }
    }

    fn snapshot(&mut self, place: usize) {
        let state = self.instances[place].cursor.state().snapshot();
        let mut writer = feed::Outbox::new("snapshot", self.now_ms);
        writer.push("entry", self.now_ms, Body::Snapshot(Box::new(state)), None);
        if let Some(records) = writer.batch(0) {
            self.log.append(records);
        }
    }

    fn live(&mut self, place: usize) {
        self.append(place);
        self.read(place);
        self.elect(place);
        self.flush_orders(place);
        self.command(place);
        self.expire_calls(place);
        if self.now_ms == 10_000 && place == 0 {
            self.reach(Step::Snapshot, place);
            self.snapshot(place);
        }
    }

    fn append(&mut self, place: usize) {
        let now_ms = self.now_ms;
        let instance = &mut self.instances[place];
        if let Some(until_ms) = instance.append_until_ms {
            if now_ms >= until_ms {
                instance.append_until_ms = None;
                instance.outbox.failed();
            }
            return;
        }
        let clock_ms = instance.clock_ms(now_ms);
        let Some(records) = instance.outbox.batch(clock_ms) else {
            return;
        };
        instance.append_until_ms = Some(now_ms + LOG_MS);
        if !instance.reaches_log(now_ms) {
            return;
        }
        let (incarnation, slow_ms) = (instance.incarnation, self.log.slow_ms);
        let flight = Flight::ToLog {
            place,
            incarnation,
            records,
            answered: !self.log.loses_answers,
        };
        self.flights.push((now_ms + WAY_MS + slow_ms, flight));
    }

    fn read(&mut self, place: usize) {
        let now_ms = self.now_ms;
        let instance = &mut self.instances[place];
        if now_ms < instance.read_at_ms {
            return;
        }
        if instance.reading {
            instance.reading = false;
            self.learn_from_peer(place);
            return;
        }
        instance.read_at_ms = now_ms + LOG_MS;
        instance.reading = true;
        if !instance.reaches_log(now_ms) {
            return;
        }
        let from = instance.cursor.from();
        if self.log.down {
            self.send_later(2 * WAY_MS, place, Message::ReadFailed);
            return;
        }
        let page = self.log.read(from);
        let delay_ms = 2 * WAY_MS + self.log.slow_ms;
        self.send_later(delay_ms, place, Message::Page(page));
    }

    fn learn_from_peer(&mut self, place: usize) {
        self.instances[place].read_at_ms = self.now_ms + READ_MS;
        let other = (place + 1 + self.rng.random_range(0..INSTANCES - 1)) % INSTANCES;
        if !self.connected(place, other) || !self.instances[other].acts(self.now_ms) {
            return;
        }
        let from = self.instances[place].cursor.state().next_offset();
        let (tail, next, snapshot) = {
            let theirs = &self.instances[other].cursor;
            (
                theirs.tail(from),
                theirs.state().next_offset(),
                theirs.state().snapshot(),
            )
        };
        if self.broken == Broken::OffsetOrder {
            let mut cursor = feed::Cursor::default();
            cursor.adopt(snapshot);
            self.instances[place].cursor = cursor;
            self.folded(place, &[]);
            return;
        }
        let steps = if let Some(entries) = tail {
            self.instances[place].cursor.relay(from, &entries, next)
        } else {
            self.instances[place].cursor.adopt(snapshot);
            Vec::new()
        };
        self.folded(place, &steps);
        if self.instances[place].cursor.state().in_force().is_some() {
            self.instances[place].ready = true;
        }
    }

    /// Looks at what changed after records were folded in.
    fn folded(&mut self, place: usize, steps: &[Folded]) {
        let now_ms = self.now_ms;
        let clock_ms = self.instances[place].clock_ms(now_ms);
        let instance = &mut self.instances[place];
        let state = instance.cursor.state();
        instance.elector.observe(clock_ms, state.lease(GROUP));
        let offset = state.in_force_offset();
        let before = std::mem::replace(&mut instance.in_force_offset, offset);
        let drained = state.is_drained("engine-2");
        for step in steps {
            let accepted = step.outcome == feed::Outcome::Accepted;
            if let (Body::BundleRolled(bundle), true) = (&step.record.body, accepted) {
                let newest = self.rolled.is_none_or(|rolled| rolled.0 < bundle.version);
                if newest {
                    self.rolled = Some((bundle.version, now_ms));
                }
            }
        }
        self.drained_known[place] = drained;
        if offset < before {
            let detail = format!("entry-{place} went from {before} to {offset}");
            self.violate(Invariant::NeverReverts, detail);
        }
    }

    fn elect(&mut self, place: usize) {
        if !self.instances[place].ready || self.instances[place].stopping {
            return;
        }
        let clock_ms = self.instances[place].clock_ms(self.now_ms);
        let early_ms = if self.broken == Broken::Wait {
            TOO_EARLY_MS
        } else {
            0
        };
        let instance = &mut self.instances[place];
        let holds = instance.elector.authority(clock_ms).is_some();
        let early_ms = if holds { 0 } else { early_ms };
        let action = instance.elector.poll(clock_ms + early_ms, place as u64);
        let group = GROUP.to_owned();
        let (body, step) = match action {
            Action::Wait => return,
            Action::Claim { supersedes } => {
                let ttl_ms = TIMES.ttl_ms;
                (
                    Body::LeaseClaimed(LeaseClaimed {
                        group,
                        supersedes,
                        ttl_ms,
                    }),
                    Step::ClaimLease,
                )
            }
            Action::Renew { fence } => (
                Body::LeaseRenewed(LeaseRef { group, fence }),
                Step::RenewLease,
            ),
        };
        instance.claimed_ms = Some(clock_ms);
        let sequence =
            instance
                .outbox
                .push("entry", self.now_ms, body, Some(clock_ms + TIMES.ttl_ms));
        instance.elector.sent(clock_ms, sequence);
        self.reach(step, place);
    }

    fn authority(&self, place: usize) -> Option<lease::Authority> {
        let instance = &self.instances[place];
        let clock_ms = instance.clock_ms(self.now_ms);
        if self.broken == Broken::ReadBack
            && let Some(claimed_ms) = instance.claimed_ms
            && clock_ms < claimed_ms + TIMES.ttl_ms
        {
            let fence = instance
                .cursor
                .state()
                .lease(GROUP)
                .map_or(0, |lease| lease.fence);
            return Some(lease::Authority {
                fence: fence.max(1),
                until_ms: claimed_ms + TIMES.ttl_ms,
            });
        }
        instance.elector.authority(clock_ms)
    }

    fn command(&mut self, place: usize) {
        let Some(authority) = self.authority(place) else {
            return;
        };
        let clock_ms = self.instances[place].clock_ms(self.now_ms);
        let wishes = self.wishes(place);
        let report = |name: &str| {
            let engine = self.engines.iter().find(|engine| engine.name == name)?;
            Some(EngineReport {
                role: engine.role.clone(),
                loaded: engine.loaded.clone(),
                changing: engine.is_changing(),
                order: engine.highest,
            })
        };
        let instance = &mut self.instances[place];
        let open: Vec<_> = instance
            .cursor
            .state()
            .open_orders(GROUP)
            .cloned()
            .collect();
        let moves = instance
            .desk
            .moves(clock_ms, authority, GROUP, &wishes, open.iter(), report);
        let until_ms = clock_ms + TIMES.ttl_ms;
        for next in moves {
            let (body, step) = match next {
                Move::Place(order) => (Body::OrderPlaced(order), Step::PlaceOrder),
                Move::Settle(settled) => (Body::OrderSettled(settled), Step::SettleOrder),
                Move::Send(send) => {
                    let fence = authority.fence;
                    self.instances[place].leaving.push(Leaving { send, fence });
                    self.reach(Step::SendOrder, place);
                    continue;
                }
            };
            self.instances[place]
                .outbox
                .push("entry", self.now_ms, body, Some(until_ms));
            self.reach(step, place);
        }
    }

    /// Each holder wants another role every two seconds, so that a stale order differs.
    fn wishes(&mut self, place: usize) -> Vec<Wish> {
        if self.now_ms >= QUIET_MS {
            return Vec::new();
        }
        let turn = (self.now_ms / 2_000 + place as u64) % 3;
        let role = ["prefill", "decode", "mixed"][turn as usize];
        let drained = self.drained_known[place];
        let engines = self
            .engines
            .iter()
            .filter(|engine| !(drained && engine.name == "engine-2"));
        engines
            .map(|engine| Wish {
                engine: engine.name.clone(),
                kind: OrderKind::Role,
                argument: role.to_owned(),
            })
            .collect()
    }

    /// Orders leave one step after they were decided, so that a pause can come in between.
    fn flush_orders(&mut self, place: usize) {
        let clock_ms = self.instances[place].clock_ms(self.now_ms);
        for leaving in std::mem::take(&mut self.instances[place].leaving) {
            let lapsed = clock_ms >= leaving.send.until_ms;
            if lapsed && self.broken != Broken::Guard {
                continue;
            }
            if !self.instances[place].speaks(self.now_ms) {
                continue;
            }
            if leaving.fence < self.highest_fence {
                let detail = format!(
                    "entry-{place} sent under {} after {}",
                    leaving.fence, self.highest_fence
                );
                self.violate(Invariant::NoOrderWithoutAuthority, detail);
            }
            self.highest_fence = self.highest_fence.max(leaving.fence);
            let engine = self
                .engines
                .iter()
                .position(|engine| engine.name == leaving.send.engine);
            let flight = Flight::ToEngine {
                engine: engine.unwrap_or(0),
                order: leaving.send.order,
                kind: leaving.send.kind,
                argument: leaving.send.argument,
            };
            self.flights.push((self.now_ms + WAY_MS, flight));
        }
    }

    pub(crate) fn send_later(&mut self, delay_ms: u64, place: usize, message: Message) {
        let incarnation = self.instances[place].incarnation;
        let flight = Flight::ToInstance {
            place,
            incarnation,
            message,
        };
        self.flights.push((self.now_ms + delay_ms, flight));
    }

    pub(crate) fn send_from_outside(&mut self, place: usize, message: Message) {
        if self.instances[place].hears(self.now_ms) {
            self.send_later(WAY_MS, place, message);
        }
    }

    pub(crate) fn send_between(&mut self, from: usize, to: usize, message: Message) {
        if self.instances[from].speaks(self.now_ms) && self.instances[from].acts(self.now_ms) {
            self.send_from_outside(to, message);
        }
    }

    pub(crate) fn send_to_service(&mut self, place: usize, key: Key, body: u64) {
        self.flights
            .push((self.now_ms + WAY_MS, Flight::ToService { place, key, body }));
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.flights)
            .into_iter()
            .partition(|flight| flight.0 <= now_ms);
        self.flights = later;
        for (at_ms, flight) in due {
            match flight {
                Flight::ToInstance {
                    place,
                    incarnation,
                    message,
                } => {
                    self.arrive(at_ms, place, incarnation, message);
                }
                Flight::ToLog {
                    place,
                    incarnation,
                    records,
                    answered,
                } => {
                    self.appended(place, incarnation, records, answered);
                }
                Flight::ToEngine {
                    engine,
                    order,
                    kind,
                    argument,
                } => {
                    self.orders += 1;
                    let arrived = self.engines[engine].take(now_ms, order, kind, &argument);
                    if let Arrived::Conflict(detail) = arrived {
                        self.violate(Invariant::NoConflictingOrders, detail);
                    }
                }
                Flight::ToService { place, key, body } => self.served(place, key, body),
            }
        }
    }

    fn appended(&mut self, place: usize, incarnation: u64, records: Vec<Vec<u8>>, answered: bool) {
        if self.log.down {
            return;
        }
        self.log.append(records);
        let same = self.instances[place].incarnation == incarnation;
        if same && answered && self.instances[place].hears(self.now_ms) {
            self.send_later(WAY_MS, place, Message::Appended);
        } else if same {
            self.send_later(LOG_MS, place, Message::AppendFailed);
        }
    }

    /// Hands a message over; it waits in a paused instance's buffers and is lost at a dead one.
    fn arrive(&mut self, at_ms: u64, place: usize, incarnation: u64, message: Message) {
        let instance = &self.instances[place];
        if !instance.alive || instance.incarnation != incarnation || !instance.hears(self.now_ms) {
            return;
        }
        if !instance.acts(self.now_ms) {
            let flight = Flight::ToInstance {
                place,
                incarnation,
                message,
            };
            self.flights
                .push((at_ms.max(instance.paused_until_ms), flight));
            return;
        }
        match message {
            Message::Appended => self.append_answered(place, true),
            Message::AppendFailed => self.append_answered(place, false),
            Message::Page(page) => self.took(place, &page),
            Message::ReadFailed => {
                self.instances[place].reading = false;
                self.learn_from_peer(place);
            }
            Message::Ask { number } => self.asked(place, number),
            Message::Claim { home, key, body } => self.claimed(place, home, &key, body),
            Message::Verdict { key, verdict } => self.granted(place, &key, Some(verdict)),
            Message::Served { key, body } => self.finished(place, &key, body),
            Message::Keep { key, body } => self.kept(place, &key, body),
        }
    }

    fn append_answered(&mut self, place: usize, done: bool) {
        let instance = &mut self.instances[place];
        if instance.append_until_ms.take().is_none() {
            return;
        }
        if done {
            instance.outbox.appended();
        } else {
            instance.outbox.failed();
        }
    }

    fn took(&mut self, place: usize, page: &Page) {
        self.instances[place].reading = false;
        self.instances[place].read_at_ms = self.now_ms + READ_MS;
        let steps = self.instances[place].cursor.take(page);
        self.folded(place, &steps);
        let instance = &mut self.instances[place];
        if instance.cursor.is_searching() {
            self.learn_from_peer(place);
        } else if page.entries.is_empty() {
            instance.ready = true;
        }
    }

    /// After all faults have healed, every instance must have the newest accepted bundle in force.
    fn check_bundles(&mut self) {
        let Some((version, rolled_ms)) = self.rolled else {
            return;
        };
        if self.now_ms < rolled_ms + IN_FORCE_MS {
            return;
        }
        for place in 0..self.instances.len() {
            let instance = &self.instances[place];
            let in_force = instance.cursor.state().in_force();
            let there = in_force.map_or(0, |bundle| bundle.published.version);
            if instance.alive && there != version {
                let detail = format!("entry-{place} has version {there}, not {version}");
                self.violate(Invariant::BundleInForce, detail);
            }
        }
    }
}

fn publish(version: u64, text: u64) -> Body {
    Body::BundlePublished(BundlePublished {
        version,
        base: version - 1,
        digest: format!("{version}.{text}"),
        text: text.to_string(),
    })
}

fn named(version: u64, text: u64) -> BundleRef {
    BundleRef {
        version,
        digest: format!("{version}.{text}"),
    }
}
