//! Simulation of a deployment of three instances in virtual time.

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

/// Length of a tick, in ms of virtual time.
const TICK_MS: u64 = 10;

/// Length of a run, in ms.
const RUN_MS: u64 = 40_000;

/// Time after which no fault, call or role change starts, so that the run can settle, in ms.
const QUIET_FROM_MS: u64 = 26_000;

/// Duration of a fault, in ms. It exceeds the sum of a lease's TTL and margin.
const FAULT_DURATION_MS: u64 = 6_000;

/// Time after which a dead instance is replaced, in ms.
const REPLACEMENT_DELAY_MS: u64 = 3_000;

/// One-way delay between instances, and to the upstreams and the log, in ms.
const ONE_WAY_DELAY_MS: u64 = 5;

/// Interval between reads of the log, in ms.
const READ_INTERVAL_MS: u64 = 50;

/// Timeout of an append or a read, in ms.
const LOG_TIMEOUT_MS: u64 = 1_000;

/// Interval between new calls, in ms.
const CALL_INTERVAL_MS: u64 = 150;

/// How much too early a successor claims when its wait is disabled, in ms. Renewals still arrive
/// in time as long as there is no fault.
const EARLY_CLAIM_MS: u64 = 1_700;

/// Time from an accepted roll until the bundle must be in force everywhere, in ms.
const IN_FORCE_TIMEOUT_MS: u64 = 10_000;

const INSTANCES: usize = 3;

/// A message to an instance.
#[derive(Debug, Clone)]
pub(crate) enum Message {
    Appended,
    AppendFailed,
    Page(Page),
    ReadFailed,
    Call {
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
    ServiceAnswer {
        key: IdempotencyKey,
        body: u64,
    },
    ReplicateAnswer {
        key: IdempotencyKey,
        body: u64,
    },
}

#[allow(clippy::enum_variant_names, reason = "each names its destination")]
enum Delivery {
    ToInstance {
        index: usize,
        incarnation: u64,
        message: Message,
    },
    ToLog {
        index: usize,
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
        index: usize,
        key: IdempotencyKey,
        body: u64,
    },
}

/// A scripted action of an operator. Bundles are given by version and content.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OperatorAction {
    Publish(u64, u64),
    Sign(u64, u64),
    Roll(u64, u64),
    Withdraw(u64, u64),
    Drain,
    Stop,
    Restart,
}

/// A fault to inject at one occurrence of its step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Injection {
    /// Fault and step.
    pub cell: Cell,
    /// Occurrence of the step at which the fault is injected, from 0.
    pub occurrence: u32,
}

/// Result of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// Violated invariants.
    pub violations: Vec<Violation>,
    /// Whether all faults were injected.
    pub reached: bool,
    /// Number of orders that reached an engine.
    pub orders_received: usize,
    /// Number of calls that ran at the service.
    pub calls_run: usize,
}

pub(crate) struct Simulation {
    pub(crate) now_ms: u64,
    pub(crate) disabled: DisabledSafeguard,
    pub(crate) instances: Vec<Instance>,
    pub(crate) calls: Vec<Call>,
    pub(crate) service: FakeService,
    log: FakeLog,
    engines: Vec<FakeEngine>,
    deliveries: Vec<(u64, Delivery)>,
    operator_actions: Vec<(u64, OperatorAction)>,
    /// Times at which dead instances are replaced, in ms, with their indices.
    replacements: Vec<(u64, usize)>,
    /// Each fault with the occurrences left until it is injected; `u32::MAX` once it was.
    injections: Vec<(Injection, u32)>,
    heal_at_ms: u64,
    violations: Vec<Violation>,
    highest_sent_token: u64,
    /// Per instance, whether it knows that engine-2 is drained.
    drained_known: Vec<bool>,
    /// Newest accepted bundle version, with the time of its roll in ms.
    rolled: Option<(u64, u64)>,
    orders_received: usize,
    rng: Pcg64,
}

/// Runs the simulation with the given faults and one safeguard disabled.
pub fn run(injections: &[Injection], disabled: DisabledSafeguard, seed: u64) -> Outcome {
    let mut simulation = Simulation::new(injections, disabled, seed);
    while simulation.now_ms < RUN_MS {
        simulation.tick();
        simulation.now_ms += TICK_MS;
    }
    simulation.check_calls();
    simulation.check_bundles();
    Outcome {
        reached: simulation
            .injections
            .iter()
            .all(|(_, remaining)| *remaining == u32::MAX),
        orders_received: simulation.orders_received,
        calls_run: simulation.service.effects.len(),
        violations: simulation.violations,
    }
}

impl Simulation {
    fn new(injections: &[Injection], disabled: DisabledSafeguard, seed: u64) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        let instances =
            (0..INSTANCES).map(|place| Instance::new(&format!("entry-{place}"), 0, &mut rng));
        let instances: Vec<Instance> = instances.collect();
        let jitter = rng.random_range(0..200);
        let mut operator_actions = vec![
            (500, OperatorAction::Publish(1, 1)),
            (800, OperatorAction::Sign(1, 1)),
            (1_100, OperatorAction::Roll(1, 1)),
            (6_000, OperatorAction::Publish(2, 1)),
            (6_300, OperatorAction::Sign(2, 1)),
            (6_600, OperatorAction::Roll(2, 1)),
            (8_000, OperatorAction::Drain),
            (9_000, OperatorAction::Publish(3, 1)),
            (9_400, OperatorAction::Withdraw(3, 1)),
            (12_000, OperatorAction::Stop),
            (15_000, OperatorAction::Restart),
        ];
        for action in &mut operator_actions {
            action.0 += jitter;
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
            deliveries: Vec::new(),
            operator_actions,
            replacements: Vec::new(),
            injections: injections
                .iter()
                .map(|each| (*each, each.occurrence))
                .collect(),
            heal_at_ms: u64::MAX,
            violations: Vec::new(),
            highest_sent_token: 0,
            drained_known: vec![false; INSTANCES],
            rolled: None,
            orders_received: 0,
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

    pub(crate) fn index_of(&self, name: &str) -> usize {
        let index = self
            .instances
            .iter()
            .position(|instance| instance.name == name);
        index.unwrap_or(0)
    }

    pub(crate) fn can_exchange(&self, from: usize, to: usize) -> bool {
        self.instances[from].can_send(self.now_ms)
            && self.instances[to].can_receive(self.now_ms)
            && self.instances[to].can_send(self.now_ms)
    }

    /// Records that an instance has reached a step, and injects the faults that are due there.
    pub(crate) fn reach_step(&mut self, step: Step, index: usize) {
        for number in 0..self.injections.len() {
            let (injection, remaining) = self.injections[number];
            if injection.cell.step != step || remaining == u32::MAX || self.now_ms >= QUIET_FROM_MS
            {
                continue;
            }
            self.injections[number].1 = remaining.checked_sub(1).unwrap_or(u32::MAX);
            if remaining == 0 {
                self.inject(injection.cell.fault, index);
            }
        }
    }

    fn inject(&mut self, fault: Fault, index: usize) {
        let until_ms = self.now_ms + FAULT_DURATION_MS;
        self.heal_at_ms = until_ms;
        let instance = &mut self.instances[index];
        match fault {
            Fault::Kill => self.kill(index),
            Fault::Pause => instance.paused_until_ms = until_ms,
            Fault::CutOff => instance.cut_until_ms = until_ms,
            Fault::CutOffOneWay => instance.send_cut_until_ms = until_ms,
            Fault::CutOffFromLog => instance.log_cut_until_ms = until_ms,
            Fault::LogDown => self.log.down = true,
            Fault::LogSlow => self.log.slow_ms = 2_500,
            Fault::LogAnswersLost => self.log.loses_answers = true,
            Fault::RecordsExpired => {
                // Records expire only after a snapshot, because the platform keeps them for longer
                // than the interval between snapshots.
                self.write_snapshot(index);
                self.log.expire();
                self.kill(index);
            }
            Fault::EnginesCrash => self.engines.iter_mut().for_each(FakeEngine::crash),
            Fault::EnginesSlow => self
                .engines
                .iter_mut()
                .for_each(|engine| engine.slow = true),
            Fault::ServiceSlow => self.service.slow_ms = 2_000,
            Fault::ServiceAnswersLost => self.service.loses_answers = true,
            Fault::RacingOperator => self.publish_rival_bundle(index),
            Fault::ClockFast => instance.clock_rate = 1.0 + lease::CLOCK_RATE_BOUND,
            Fault::ClockSlow => instance.clock_rate = 1.0 - lease::CLOCK_RATE_BOUND,
        }
    }

    fn end_faults(&mut self) {
        self.heal_at_ms = u64::MAX;
        self.log.down = false;
        self.log.slow_ms = 0;
        self.log.loses_answers = false;
        self.service.slow_ms = 0;
        self.service.loses_answers = false;
        for engine in &mut self.engines {
            engine.slow = false;
        }
    }

    fn kill(&mut self, index: usize) {
        self.instances[index].alive = false;
        self.replacements
            .push((self.now_ms + REPLACEMENT_DELAY_MS, index));
    }

    fn tick(&mut self) {
        if self.now_ms >= self.heal_at_ms {
            self.end_faults();
        }
        self.start_replacements();
        self.run_operator_actions();
        self.deliver();
        for engine in &mut self.engines {
            engine.advance(self.now_ms);
        }
        if self.now_ms < QUIET_FROM_MS && self.now_ms.is_multiple_of(CALL_INTERVAL_MS) {
            self.start_call();
        }
        self.send_due_calls();
        for index in 0..self.instances.len() {
            if self.instances[index].is_running(self.now_ms) {
                self.run_instance(index);
            }
        }
        self.check_holders();
    }

    /// Checks that no two instances hold the lease at the same time, whether or not they use it.
    fn check_holders(&mut self) {
        let holders: Vec<usize> = (0..self.instances.len())
            .filter(|&index| self.instances[index].is_running(self.now_ms))
            .filter(|&index| self.authority(index).is_some())
            .collect();
        if holders.len() > 1 {
            let detail = format!("instances {holders:?} hold the lease at once");
            self.violate(Invariant::NoOrderWithoutAuthority, detail);
        }
    }

    fn start_replacements(&mut self) {
        let now_ms = self.now_ms;
        let due: Vec<usize> = self
            .replacements
            .extract_if(.., |entry| entry.0 <= now_ms)
            .map(|entry| entry.1)
            .collect();
        for index in due {
            let name = self.instances[index].name.clone();
            self.instances[index] = Instance::new(&name, now_ms, &mut self.rng);
            self.drained_known[index] = false;
            self.reach_step(Step::Start, index);
        }
    }

    fn run_instance(&mut self, index: usize) {
        self.flush_outbox(index);
        self.read_log(index);
        self.poll_lease(index);
        self.send_orders(index);
        self.issue_orders(index);
        self.expire_calls(index);
        if self.now_ms == 10_000 && index == 0 {
            self.reach_step(Step::Snapshot, index);
            self.write_snapshot(index);
        }
    }

    /// Checks after the faults that every instance has the newest accepted bundle in force.
    fn check_bundles(&mut self) {
        let Some((version, rolled_ms)) = self.rolled else {
            return;
        };
        if self.now_ms < rolled_ms + IN_FORCE_TIMEOUT_MS {
            return;
        }
        for index in 0..self.instances.len() {
            let instance = &self.instances[index];
            let in_force = instance.log_reader.state().in_force();
            let actual = in_force.map_or(0, |bundle| bundle.published.version);
            if instance.alive && actual != version {
                let detail = format!("entry-{index} has version {actual}, not {version}");
                self.violate(Invariant::BundleInForce, detail);
            }
        }
    }
}

fn publication(version: u64, text: u64) -> Body {
    Body::BundlePublished(BundlePublished {
        version,
        base: version - 1,
        digest: format!("{version}.{text}"),
        text: text.to_string(),
    })
}

fn bundle_ref(version: u64, text: u64) -> BundleRef {
    BundleRef {
        version,
        digest: format!("{version}.{text}"),
    }
}
