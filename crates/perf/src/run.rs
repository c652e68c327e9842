//! One run: a policy on a trace in virtual time.

mod control;
mod requests;

use std::collections::HashMap;

use conf::Role;
use plan::{
    EngineProfile, LoadReport, Presence, RetryBudget, RolePlanner, RoleSettings, RouteSettings,
};
use rand::seq::IteratorRandom;

use crate::Policy;
use crate::calendar::Calendar;
use crate::engine::SimEngine;
use crate::figures::{Counter, Figures};
use crate::node::Node;
use crate::trace::{Event, LENGTH_MS, Trace};

/// Time between two reports of an engine.
const REPORT_MS: f64 = 250.0;

/// Time between two plans of roles.
const PLAN_MS: f64 = 500.0;

/// Instances that one heartbeat goes to.
const FAN_OUT: usize = 3;

/// Share of cache events that never come.
const EVENT_GAPS: f64 = 0.1;

/// Time after which a crash or a drain is known to all.
const NOTICE_MS: f64 = 750.0;

/// How long past its deadline a caller waits before it leaves, as a share of the deadline.
const PATIENCE: f64 = 1.5;

/// Attempts of the policy that counts them.
const COUNTED_ATTEMPTS: usize = 3;

/// Bytes of a heartbeat and of each load in it, as `bench slopes` measures them.
const BEAT_BYTES: f64 = 208.0;
const LOAD_BYTES: f64 = 104.0;

/// What a run is of.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunSettings {
    /// Policy.
    pub policy: Policy,
    /// Entry instances.
    pub instances: usize,
    /// Time between two tellings of load, which is how stale instances know each other.
    pub heartbeat_ms: f64,
    /// Seed of the policy's own choices.
    pub seed: u64,
    /// Routing.
    pub route: RouteSettings,
    /// Roles.
    pub roles: RoleSettings,
    /// Engines that begin as prefill and as decode engines; the rest are mixed.
    pub initial_roles: (usize, usize),
}

impl RunSettings {
    /// The product's own settings for a deployment, under some policy.
    pub fn new(policy: Policy, deployment: model::Deployment, seed: u64) -> Self {
        Self {
            policy,
            instances: 9,
            heartbeat_ms: 1_000.0,
            seed,
            route: RouteSettings::default(),
            roles: RoleSettings {
                change_weight: deployment.role_change_weight(),
                ..RoleSettings::default()
            },
            initial_roles: (0, 0),
        }
    }
}

/// Tokens from which an answer's pace is judged.
const LEAST_TOKENS: u32 = 8;

fn known_slowness(node: &Node, engine: usize) -> f64 {
    node.fleet.get(engine).health.slowness()
}

enum Step {
    Arrive(usize),
    Deliver {
        request: usize,
        attempt: usize,
        engine: usize,
    },
    Iterated {
        engine: usize,
        life: u64,
    },
    ReportFrom(usize),
    ReportTo {
        engine: usize,
        report: LoadReport,
    },
    CacheEvent {
        engine: usize,
        prefix: u64,
        tokens: f64,
    },
    Beat(usize),
    GiveUp {
        request: usize,
        attempt: usize,
    },
    Silence {
        request: usize,
        attempt: usize,
    },
    Leave(usize),
    Happens(Event),
    Notice {
        engine: usize,
        presence: Presence,
        role: Role,
    },
    Plan,
    Changed {
        engine: usize,
        role: Role,
    },
}

#[derive(Default)]
struct Progress {
    node: usize,
    engine: Option<usize>,
    attempt: usize,
    booked: Option<Booked>,
    tried: Vec<usize>,
    token_ms: f64,
    sent_ms: f64,
    first_ms: Option<f64>,
    over: bool,
}

#[derive(Clone, Copy)]
struct Booked {
    prompt: f64,
    output: f64,
    started: bool,
}

struct Sim<'a> {
    trace: &'a Trace,
    setting: RunSettings,
    now_ms: f64,
    calendar: Calendar<Step>,
    engines: Vec<SimEngine>,
    lives: Vec<u64>,
    nodes: Vec<Node>,
    planners: Vec<RolePlanner>,
    requests: Vec<Progress>,
    jobs: HashMap<u64, usize>,
    retries: Vec<RetryBudget>,
    change_began_ms: HashMap<usize, f64>,
    counter: Counter,
    bytes: f64,
}

/// Runs a trace under a setting.
pub fn run(trace: &Trace, setting: &RunSettings) -> Figures {
    let mut sim = Sim::new(trace, *setting);
    sim.prepare();
    while let Some((at_ms, step)) = sim.calendar.next() {
        sim.now_ms = at_ms;
        sim.take(step);
    }
    let instances = setting.instances as f64;
    sim.counter.figures.told_bytes = sim.bytes / instances / (LENGTH_MS / 1_000.0);
    sim.counter.finish()
}

fn begin_role(setting: &RunSettings, number: usize) -> Role {
    let (prefill, decode) = setting.initial_roles;
    if number < prefill {
        Role::Prefill
    } else if number < prefill + decode {
        Role::Decode
    } else {
        Role::Mixed
    }
}

impl<'a> Sim<'a> {
    fn new(trace: &'a Trace, setting: RunSettings) -> Self {
        let deployment = trace.deployment;
        let role = |number| begin_role(&setting, number);
        let engines: Vec<SimEngine> = (0..deployment.engines())
            .map(|number| SimEngine::new(EngineProfile::default(), role(number)))
            .collect();
        let mut nodes: Vec<Node> = (0..setting.instances)
            .map(|place| Node::new(place, deployment, &setting))
            .collect();
        for node in &mut nodes {
            for number in 0..engines.len() {
                node.fleet.get_mut(number).role = role(number);
            }
        }
        Self {
            trace,
            setting,
            now_ms: 0.0,
            calendar: Calendar::new(),
            lives: vec![0; engines.len()],
            engines,
            retries: vec![RetryBudget::default(); setting.instances],
            nodes,
            planners: vec![RolePlanner::new(setting.roles); deployment.zones().len()],
            requests: Vec::new(),
            jobs: HashMap::new(),
            change_began_ms: HashMap::new(),
            counter: Counter::new(deployment.members().len()),
            bytes: 0.0,
        }
    }

    fn prepare(&mut self) {
        for (number, arrival) in self.trace.arrivals.iter().enumerate() {
            self.calendar.add(arrival.at_ms, Step::Arrive(number));
            let node = number % self.nodes.len();
            self.requests.push(Progress {
                node,
                ..Progress::default()
            });
        }
        for (at_ms, event) in &self.trace.events {
            self.calendar.add(*at_ms, Step::Happens(*event));
        }
        for engine in 0..self.engines.len() {
            let offset = REPORT_MS * engine as f64 / self.engines.len() as f64;
            self.calendar.add(offset, Step::ReportFrom(engine));
        }
        for node in 0..self.nodes.len() {
            let offset = self.setting.heartbeat_ms * node as f64 / self.nodes.len() as f64;
            self.calendar.add(offset, Step::Beat(node));
        }
        if self.setting.policy.plans_roles() && self.trace.log_up {
            self.calendar.add(PLAN_MS, Step::Plan);
        }
    }

    #[expect(clippy::needless_pass_by_value, reason = "a step is taken once")]
    fn take(&mut self, step: Step) {
        match step {
            Step::Arrive(request) => self.arrive(request),
            Step::Deliver {
                request,
                attempt,
                engine,
            } => self.deliver(request, attempt, engine),
            Step::Iterated { engine, life } => self.iterated(engine, life),
            Step::ReportFrom(engine) => self.report_from(engine),
            Step::ReportTo { engine, report } => {
                for node in &mut self.nodes {
                    node.fleet.get_mut(engine).record_report(report);
                }
            }
            Step::CacheEvent {
                engine,
                prefix,
                tokens,
            } => {
                for node in &mut self.nodes {
                    node.prefixes.record_holder(prefix, engine, tokens);
                }
            }
            Step::Beat(node) => self.beat(node),
            Step::Silence { request, attempt } => self.silence(request, attempt),
            Step::GiveUp { request, attempt } => self.give_up(request, attempt),
            Step::Leave(request) => self.leave(request),
            Step::Happens(event) => self.happens(event),
            Step::Notice {
                engine,
                presence,
                role,
            } => {
                for node in &mut self.nodes {
                    let known = node.fleet.get_mut(engine);
                    known.presence = presence;
                    known.role = role;
                }
            }
            Step::Plan => self.plan(),
            Step::Changed { engine, role } => self.changed(engine, role),
        }
    }

    fn report_from(&mut self, engine: usize) {
        if self.now_ms > 2.0 * LENGTH_MS || !self.engines[engine].alive {
            return;
        }
        let report = self.engines[engine].report(self.now_ms);
        self.calendar.add(
            self.now_ms + self.trace.lag_ms,
            Step::ReportTo { engine, report },
        );
        self.calendar
            .add(self.now_ms + REPORT_MS, Step::ReportFrom(engine));
    }

    fn beat(&mut self, node: usize) {
        if self.now_ms > 2.0 * LENGTH_MS {
            return;
        }
        let heartbeat_ms = self.setting.heartbeat_ms;
        self.calendar
            .add(self.now_ms + heartbeat_ms.max(10.0), Step::Beat(node));
        self.expect(node);
        if self.setting.policy == Policy::WithoutPeers {
            return;
        }
        let others = (0..self.nodes.len()).filter(|other| *other != node);
        let targets = others.choose_multiple(&mut self.nodes[node].rng, FAN_OUT);
        for other in targets {
            self.tell(node, other);
            self.tell(other, node);
        }
    }

    fn tell(&mut self, from: usize, to: usize) {
        let loads: Vec<_> = self.nodes[from]
            .fleet
            .iter()
            .map(|engine| *engine.own_load())
            .collect();
        let busy = loads.iter().filter(|load| load.requests() > 0.0).count();
        self.bytes += BEAT_BYTES + LOAD_BYTES * busy as f64;
        let name = format!("node-{from}");
        for (engine, load) in loads.into_iter().enumerate() {
            self.nodes[to]
                .fleet
                .get_mut(engine)
                .record_peer_load(self.now_ms as u64, &name, load);
        }
    }

    fn total_forecast(&self, node: usize) -> plan::Forecast {
        let others = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != node);
        let (prompt, output) = others.fold((0.0, 0.0), |sum, (_, other)| {
            (
                sum.0 + other.forecast.prompt_rate(),
                sum.1 + other.forecast.output_rate(),
            )
        });
        self.nodes[node].forecast.with_peer_rates(prompt, output)
    }

    fn expect(&mut self, node: usize) {
        let forecast = self.total_forecast(node);
        self.nodes[node]
            .fleet
            .apply_forecast(self.trace.deployment.model(), &forecast);
    }
}
