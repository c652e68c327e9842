//! One run: a policy on a trace in virtual time.

use std::collections::HashMap;

use conf::Role;
use model::{Iteration, Job};
use plan::{
    AttemptBudget, Presence, Report, RetryBudget, RolePlanner, RoleSettings, RouteSettings, Shape,
};
use rand::Rng;
use rand::seq::IteratorRandom;

use crate::Policy;
use crate::calendar::Calendar;
use crate::engine::SimEngine;
use crate::figures::{Counter, Ended, Figures};
use crate::greedy;
use crate::node::Node;
use crate::trace::{Event, LENGTH_MS, Trace, rank};

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
pub struct Setting {
    /// Policy.
    pub policy: Policy,
    /// Entry instances.
    pub instances: usize,
    /// Time between two tellings of load, which is how stale instances know each other.
    pub beat_ms: f64,
    /// Seed of the policy's own choices.
    pub seed: u64,
    /// Routing.
    pub route: RouteSettings,
    /// Roles.
    pub roles: RoleSettings,
    /// Engines that begin as prefill and as decode engines; the rest are mixed.
    pub begin: (usize, usize),
}

impl Setting {
    /// The product's own settings for a deployment, under some policy.
    pub fn new(policy: Policy, deployment: model::Deployment, seed: u64) -> Self {
        Self {
            policy,
            instances: 9,
            beat_ms: 1_000.0,
            seed,
            route: RouteSettings::default(),
            roles: RoleSettings {
                change_weight: deployment.role_change_weight(),
                ..RoleSettings::default()
            },
            begin: (0, 0),
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
        report: Report,
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
    setting: Setting,
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
pub fn run(trace: &Trace, setting: &Setting) -> Figures {
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

fn begin_role(setting: &Setting, number: usize) -> Role {
    let (prefill, decode) = setting.begin;
    if number < prefill {
        Role::Prefill
    } else if number < prefill + decode {
        Role::Decode
    } else {
        Role::Mixed
    }
}

impl<'a> Sim<'a> {
    fn new(trace: &'a Trace, setting: Setting) -> Self {
        let deployment = trace.deployment;
        let role = |number| begin_role(&setting, number);
        let engines: Vec<SimEngine> = (0..deployment.engines())
            .map(|number| SimEngine::new(Shape::default(), role(number)))
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
            let offset = self.setting.beat_ms * node as f64 / self.nodes.len() as f64;
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
                    node.fleet.get_mut(engine).reported(report);
                }
            }
            Step::CacheEvent {
                engine,
                prefix,
                tokens,
            } => {
                for node in &mut self.nodes {
                    node.prefixes.held(prefix, engine, tokens);
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

    fn arrive(&mut self, request: usize) {
        let arrival = &self.trace.arrivals[request];
        let node = self.requests[request].node;
        self.counter
            .asked(&arrival.kind.to_string(), arrival.member);
        self.retries[node].earn();
        let (prompt, output) = (
            f64::from(arrival.prompt_tokens),
            f64::from(arrival.expected_tokens),
        );
        let rank = rank(arrival.kind);
        self.nodes[node]
            .forecast
            .arrived(self.now_ms as u64, rank, prompt, output);
        self.calendar.add(
            arrival.at_ms + arrival.deadline_ms * PATIENCE,
            Step::Leave(request),
        );
        self.send(request);
    }

    /// Sends a request to an engine, for the first time or again.
    fn send(&mut self, request: usize) {
        let arrival = self.trace.arrivals[request];
        let left_ms = arrival.at_ms + arrival.deadline_ms - self.now_ms;
        let progress = &mut self.requests[request];
        let node = &mut self.nodes[progress.node];
        let chosen = node.choose(self.now_ms, &arrival, left_ms, &progress.tried);
        let Ok(choice) = chosen else {
            progress.over = true;
            self.counter.refused(&arrival.kind.to_string());
            return;
        };
        progress.attempt += 1;
        progress.engine = Some(choice.engine);
        progress.sent_ms = self.now_ms;
        progress.token_ms = choice.token_ms / known_slowness(node, choice.engine);
        let booked = Booked {
            prompt: choice.uncached_tokens,
            output: f64::from(arrival.expected_tokens),
            started: false,
        };
        progress.booked = Some(booked);
        let known = node.fleet.get_mut(choice.engine);
        known.sent(rank(arrival.kind), booked.prompt, booked.output);
        if self.setting.policy != Policy::WithoutEjection
            && known.health.verdict(self.now_ms as u64) == plan::Verdict::Probe
        {
            known.health.probe();
        }
        let attempt = progress.attempt;
        let distance_ms = known.distance_ms;
        self.calendar.add(
            self.now_ms + distance_ms,
            Step::Deliver {
                request,
                attempt,
                engine: choice.engine,
            },
        );
        if self.setting.policy.is_routed() && self.setting.policy != Policy::CountedRetries {
            let due_ms = arrival.at_ms + arrival.deadline_ms;
            let tokens = f64::from(arrival.expected_tokens);
            let give_up_ms = plan::give_up_ms(&Shape::default(), due_ms, tokens);
            self.calendar
                .add(give_up_ms, Step::GiveUp { request, attempt });
        }
        if let Some(spend_ms) = self.attempt_ms(request, left_ms) {
            self.calendar
                .add(self.now_ms + spend_ms, Step::Silence { request, attempt });
        }
    }

    /// Time that an attempt may take to its first token.
    fn attempt_ms(&self, request: usize, left_ms: f64) -> Option<f64> {
        let arrival = &self.trace.arrivals[request];
        match self.setting.policy {
            Policy::CountedRetries => Some(arrival.deadline_ms),
            policy if policy.is_routed() => {
                let others = self.engines.len() - 1 - self.requests[request].tried.len();
                let budget = AttemptBudget::next(left_ms.max(0.0) as u64, others);
                budget.map(|budget| budget.spend_ms as f64)
            }
            _ => None,
        }
    }

    fn deliver(&mut self, request: usize, attempt: usize, engine: usize) {
        if self.requests[request].over || self.requests[request].attempt != attempt {
            return;
        }
        if !self.engines[engine].takes() {
            let crashed = !self.engines[engine].alive;
            self.fail(request, crashed);
            return;
        }
        let arrival = &self.trace.arrivals[request];
        let id = (request as u64) << 8 | attempt as u64;
        self.jobs.insert(id, request);
        self.engines[engine].push(Job {
            id,
            rank: rank(arrival.kind),
            order: 0,
            prompt_tokens: arrival.prompt_tokens,
            output_tokens: arrival.output_tokens,
            prefix: arrival.prefix,
            prefix_tokens: arrival.prefix_tokens,
        });
        self.begin(engine);
    }

    fn begin(&mut self, engine: usize) {
        if let Some(ms) = self.engines[engine].begin() {
            let life = self.lives[engine];
            self.calendar
                .add(self.now_ms + ms, Step::Iterated { engine, life });
        }
    }

    fn iterated(&mut self, engine: usize, life: u64) {
        if self.lives[engine] != life {
            return;
        }
        let iteration = self.engines[engine].end();
        self.begun(engine, &iteration);
        for (id, tokens) in &iteration.tokens {
            if let Some(request) = self.current(*id) {
                let node = self.requests[request].node;
                self.nodes[node]
                    .fleet
                    .get_mut(engine)
                    .health
                    .sign(self.now_ms as u64);
            }
            if *tokens == 1
                && let Some(request) = self.current(*id)
            {
                self.first_token(request);
            }
        }
        for id in &iteration.done {
            if let Some(request) = self.current(*id) {
                self.done(request);
            }
            self.jobs.remove(id);
        }
        self.begin(engine);
        self.maybe_change(engine);
    }

    /// The request of a job, unless it has moved on to another engine or is over.
    fn current(&self, id: u64) -> Option<usize> {
        let request = *self.jobs.get(&id)?;
        let progress = &self.requests[request];
        (!progress.over && progress.attempt as u64 == id & 0xff).then_some(request)
    }

    fn begun(&mut self, engine: usize, iteration: &Iteration) {
        for (id, _) in &iteration.begun {
            let Some(&request) = self.jobs.get(id) else {
                continue;
            };
            let arrival = self.trace.arrivals[request];
            let node = self.requests[request].node;
            if arrival.prefix == 0 || self.nodes[node].rng.random_bool(EVENT_GAPS) {
                continue;
            }
            let event = Step::CacheEvent {
                engine,
                prefix: arrival.prefix,
                tokens: f64::from(arrival.prefix_tokens),
            };
            self.calendar.add(self.now_ms + self.trace.lag_ms, event);
        }
    }

    fn first_token(&mut self, request: usize) {
        let arrival = &self.trace.arrivals[request];
        let progress = &mut self.requests[request];
        let (Some(engine), Some(booked)) = (progress.engine, progress.booked.as_mut()) else {
            return;
        };
        let known = self.nodes[progress.node].fleet.get_mut(engine);
        let at_ms = self.now_ms + known.distance_ms;
        progress.first_ms = Some(at_ms);
        booked.started = true;
        known.started(rank(arrival.kind), booked.prompt);
    }

    /// Compares the pace of the output with what was predicted.
    fn judge(&mut self, request: usize) {
        let arrival = &self.trace.arrivals[request];
        let progress = &self.requests[request];
        let (Some(engine), Some(first_ms)) = (progress.engine, progress.first_ms) else {
            return;
        };
        let judged = self.setting.policy != Policy::WithoutEjection && progress.token_ms > 0.0;
        if judged && arrival.output_tokens >= LEAST_TOKENS {
            let pace_ms = (self.now_ms - first_ms) / f64::from(arrival.output_tokens - 1);
            let known = self.nodes[progress.node].fleet.get_mut(engine);
            known
                .health
                .answered(self.now_ms as u64, progress.token_ms, pace_ms);
        }
    }

    fn done(&mut self, request: usize) {
        let arrival = self.trace.arrivals[request];
        self.judge(request);
        let distance_ms = self.unbook(request);
        let progress = &mut self.requests[request];
        progress.over = true;
        let at_ms = self.now_ms + distance_ms;
        let took_ms = at_ms - arrival.at_ms;
        self.counter.ended(&Ended {
            class: &arrival.kind.to_string(),
            member: arrival.member,
            took_ms,
            first_ms: progress.first_ms.unwrap_or(at_ms) - arrival.at_ms,
            tokens: arrival.output_tokens,
            in_time: took_ms <= arrival.deadline_ms,
        });
    }

    /// Takes a request off its engine's books and gives the way to it.
    fn unbook(&mut self, request: usize) -> f64 {
        let rank = rank(self.trace.arrivals[request].kind);
        let progress = &mut self.requests[request];
        let (Some(engine), Some(booked)) = (progress.engine, progress.booked.take()) else {
            return 0.0;
        };
        let known = self.nodes[progress.node].fleet.get_mut(engine);
        if booked.started {
            known.ended(booked.output);
        } else {
            known.dropped(rank, booked.prompt, booked.output);
        }
        known.distance_ms
    }

    /// An attempt failed: another engine is tried if the policy allows it.
    fn fail(&mut self, request: usize, blame: bool) {
        self.unbook(request);
        let progress = &mut self.requests[request];
        let Some(engine) = progress.engine.take() else {
            return;
        };
        progress.tried.push(engine);
        progress.first_ms = None;
        let node = progress.node;
        if blame
            && self.setting.policy.is_routed()
            && self.setting.policy != Policy::WithoutEjection
        {
            let known = self.nodes[node].fleet.get_mut(engine);
            known.health.failed(self.now_ms as u64);
        }
        let allowed =
            if self.setting.policy.is_routed() && self.setting.policy != Policy::CountedRetries {
                self.retries[node].spend()
            } else {
                self.requests[request].attempt < COUNTED_ATTEMPTS
            };
        if allowed {
            self.send(request);
            return;
        }
        self.requests[request].over = true;
        let class = self.trace.arrivals[request].kind.to_string();
        self.counter.abandoned(&class);
    }

    fn silence(&mut self, request: usize, attempt: usize) {
        let progress = &self.requests[request];
        let waits = progress.attempt == attempt && progress.first_ms.is_none() && !progress.over;
        if !waits {
            return;
        }
        if let Some(engine) = progress.engine
            && self.setting.policy.is_routed()
            && self.setting.policy != Policy::CountedRetries
            && !self.nodes[progress.node]
                .fleet
                .get(engine)
                .health
                .is_silent_since(progress.sent_ms as u64)
        {
            return;
        }
        self.cancel(request);
        self.fail(request, true);
    }

    /// A request that has not started and can no longer be in time is answered at once.
    fn give_up(&mut self, request: usize, attempt: usize) {
        let progress = &self.requests[request];
        if progress.attempt == attempt && progress.first_ms.is_none() {
            self.leave(request);
        }
    }

    fn cancel(&mut self, request: usize) {
        let progress = &self.requests[request];
        let id = (request as u64) << 8 | progress.attempt as u64;
        if let Some(engine) = progress.engine {
            self.engines[engine].cancel(id);
            self.jobs.remove(&id);
            self.maybe_change(engine);
        }
    }

    fn leave(&mut self, request: usize) {
        if self.requests[request].over {
            return;
        }
        self.cancel(request);
        self.unbook(request);
        self.requests[request].over = true;
        let class = self.trace.arrivals[request].kind.to_string();
        self.counter.abandoned(&class);
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
        let beat_ms = self.setting.beat_ms;
        self.calendar
            .add(self.now_ms + beat_ms.max(10.0), Step::Beat(node));
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
            .map(|engine| *engine.own())
            .collect();
        let busy = loads.iter().filter(|load| load.requests() > 0.0).count();
        self.bytes += BEAT_BYTES + LOAD_BYTES * busy as f64;
        let name = format!("node-{from}");
        for (engine, load) in loads.into_iter().enumerate() {
            self.nodes[to]
                .fleet
                .get_mut(engine)
                .told(self.now_ms as u64, &name, load);
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
        self.nodes[node].forecast.with_others(prompt, output)
    }

    fn expect(&mut self, node: usize) {
        let forecast = self.total_forecast(node);
        self.nodes[node]
            .fleet
            .expect(self.trace.deployment.model(), &forecast);
    }

    fn happens(&mut self, event: Event) {
        match event {
            Event::Crash(engine) => self.crash(engine),
            Event::Drain(engine) => {
                self.engines[engine].drained = true;
                self.notice(engine, Presence::Leaving);
            }
            Event::Slow(engine, factor) => self.engines[engine].set_slow(factor),
        }
    }

    fn crash(&mut self, engine: usize) {
        self.engines[engine].crash();
        self.lives[engine] += 1;
        self.notice(engine, Presence::Gone);
        for request in 0..self.requests.len() {
            let progress = &self.requests[request];
            if progress.engine == Some(engine) && !progress.over {
                self.fail(request, true);
            }
        }
    }

    fn notice(&mut self, engine: usize, presence: Presence) {
        let role = self.engines[engine].role();
        self.calendar.add(
            self.now_ms + NOTICE_MS,
            Step::Notice {
                engine,
                presence,
                role,
            },
        );
    }

    /// Plans the roles of each availability zone's group, as its lease holder would.
    fn plan(&mut self) {
        if self.now_ms > LENGTH_MS {
            return;
        }
        self.calendar.add(self.now_ms + PLAN_MS, Step::Plan);
        for group in 0..self.planners.len() {
            let holder = group % self.nodes.len();
            let engines: Vec<usize> = (0..self.engines.len())
                .filter(|engine| engine % 3 == group)
                .collect();
            let share = engines.len() as f64 / self.engines.len() as f64;
            let forecast = self.total_forecast(holder).scaled(share);
            let fleet = &self.nodes[holder].fleet;
            let now_ms = self.now_ms as u64;
            let changes = if self.setting.policy == Policy::GreedyRoles {
                greedy::plan(fleet, &engines, &forecast)
            } else {
                self.planners[group].plan(now_ms, fleet, &engines, &forecast, |_, _| true)
            };
            for change in changes {
                self.order(change.engine, change.role);
            }
        }
    }

    fn order(&mut self, engine: usize, role: Role) {
        if !self.engines[engine].takes() {
            return;
        }
        self.engines[engine].changing = Some(role);
        self.change_began_ms.insert(engine, self.now_ms);
        self.counter.figures.role_changes += 1;
        let current = self.engines[engine].role();
        for node in &mut self.nodes {
            let known = node.fleet.get_mut(engine);
            known.presence = Presence::Changing;
            known.role = current;
        }
        self.maybe_change(engine);
    }

    /// An engine ends what it holds before it changes.
    fn maybe_change(&mut self, engine: usize) {
        let Some(role) = self.engines[engine].changing else {
            return;
        };
        if self.engines[engine].is_idle() && self.change_began_ms.contains_key(&engine) {
            let began_ms = self.change_began_ms.remove(&engine).unwrap_or(self.now_ms);
            let change_ms = Shape::default().change_ms as f64;
            self.counter.figures.lost_s += (self.now_ms - began_ms + change_ms) / 1_000.0;
            self.calendar
                .add(self.now_ms + change_ms, Step::Changed { engine, role });
        }
    }

    fn changed(&mut self, engine: usize, role: Role) {
        if !self.engines[engine].alive {
            return;
        }
        self.engines[engine].become_role(role);
        let presence = if self.engines[engine].drained {
            Presence::Leaving
        } else {
            Presence::Live
        };
        for node in &mut self.nodes {
            let known = node.fleet.get_mut(engine);
            known.presence = presence;
            known.role = role;
        }
    }
}
