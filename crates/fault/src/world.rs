//! A deployment of three instances in virtual time.

mod control;
mod log;
mod network;
mod operator;

use feed::Page;
use once::IdempotencyKey;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use wire::{Body, BundlePublished, BundleRef, ClaimVerdict, OrderKind};

use crate::calls::Call;
use crate::fakes::{FakeEngine, FakeLog, FakeService};
use crate::instance::Instance;
use crate::{Cell, DisabledSafeguard, Fault, Invariant, Step, Violation};

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
    Ask {
        number: usize,
    },
    Claim {
        home: usize,
        key: IdempotencyKey,
        body: u64,
    },
    Verdict {
        key: IdempotencyKey,
        verdict: ClaimVerdict,
    },
    Served {
        key: IdempotencyKey,
        body: u64,
    },
    Keep {
        key: IdempotencyKey,
        body: u64,
    },
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
        key: IdempotencyKey,
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
    pub(crate) disabled: DisabledSafeguard,
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
pub fn run(injections: &[Injection], disabled: DisabledSafeguard, seed: u64) -> Outcome {
    let mut world = World::new(injections, disabled, seed);
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
    fn new(injections: &[Injection], disabled: DisabledSafeguard, seed: u64) -> Self {
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
            disabled,
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
