//! Run of a policy on a trace, in virtual time.

mod control;
mod requests;

use std::collections::HashMap;

use conf::Role;
use plan::{
    EngineProfile, LoadReport, Presence, RetryBudget, RolePlanner, RoleSettings, RouteSettings,
};
use rand::seq::IteratorRandom;

use crate::Policy;
use crate::engine::SimEngine;
use crate::event_queue::EventQueue;
use crate::figures::{Figures, Recorder};
use crate::instance::SimInstance;
use crate::trace::{EngineEvent, LENGTH_MS, Trace};

/// Interval between reports of an engine, in ms.
const REPORT_INTERVAL_MS: f64 = 250.0;

/// Interval between role plans, in ms.
const PLAN_INTERVAL_MS: f64 = 500.0;

/// Number of peers that receive each heartbeat.
const FAN_OUT: usize = 3;

/// Share of cache events that are lost.
const CACHE_EVENT_LOSS: f64 = 0.1;

/// Time until all instances know of a crash or a drain, in ms.
const PRESENCE_DELAY_MS: f64 = 750.0;

/// Time after which a caller abandons its request, as a multiple of the deadline.
const CALLER_PATIENCE: f64 = 1.5;

/// Maximum number of attempts per request for policies without a retry budget.
const MAX_COUNTED_ATTEMPTS: usize = 3;

/// Size of a heartbeat without loads, as `bench slopes` measures it.
const HEARTBEAT_BYTES: f64 = 208.0;

/// Size of each engine load in a heartbeat, as `bench slopes` measures it.
const LOAD_BYTES: f64 = 104.0;

/// Settings of a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunSettings {
    /// Policy to run.
    pub policy: Policy,
    /// Number of entry instances.
    pub instances: usize,
    /// Interval between heartbeats, in ms. It determines how stale the loads of peers are.
    pub heartbeat_ms: f64,
    /// Seed of the policy's random choices.
    pub seed: u64,
    /// Settings of the router.
    pub route: RouteSettings,
    /// Settings of the role planner.
    pub roles: RoleSettings,
    /// Initial numbers of prefill and of decode engines; the others are mixed.
    pub initial_roles: (usize, usize),
}

impl RunSettings {
    /// Chicoryrack's default settings for a deployment, with the given policy.
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

/// Minimum output tokens for an answer's pace to count in the health of its engine.
const MIN_PACE_TOKENS: u32 = 8;

fn engine_slowness(instance: &SimInstance, engine: usize) -> f64 {
    instance.fleet.get(engine).health.slowness()
}

enum SimEvent {
    Arrive(usize),
    Deliver {
        request: usize,
        attempt: usize,
        engine: usize,
    },
    IterationEnd {
        engine: usize,
        crash_count: u64,
    },
    SendReport(usize),
    ReceiveReport {
        engine: usize,
        report: LoadReport,
    },
    CacheEvent {
        engine: usize,
        prefix: u64,
        tokens: f64,
    },
    Heartbeat(usize),
    GiveUp {
        request: usize,
        attempt: usize,
    },
    AttemptTimeout {
        request: usize,
        attempt: usize,
    },
    CallerTimeout(usize),
    EngineEvent(EngineEvent),
    PresenceChange {
        engine: usize,
        presence: Presence,
        role: Role,
    },
    PlanRoles,
    RoleChanged {
        engine: usize,
        role: Role,
    },
}

#[derive(Default)]
struct RequestState {
    instance: usize,
    engine: Option<usize>,
    attempt: usize,
    reservation: Option<Reservation>,
    tried: Vec<usize>,
    token_ms: f64,
    sent_ms: f64,
    first_token_ms: Option<f64>,
    ended: bool,
}

#[derive(Clone, Copy)]
struct Reservation {
    prompt: f64,
    output: f64,
    started: bool,
}

struct Sim<'a> {
    trace: &'a Trace,
    settings: RunSettings,
    now_ms: f64,
    event_queue: EventQueue<SimEvent>,
    engines: Vec<SimEngine>,
    crash_counts: Vec<u64>,
    instances: Vec<SimInstance>,
    planners: Vec<RolePlanner>,
    requests: Vec<RequestState>,
    jobs: HashMap<u64, usize>,
    retries: Vec<RetryBudget>,
    role_change_started_ms: HashMap<usize, f64>,
    recorder: Recorder,
    gossip_bytes: f64,
}

/// Runs a trace with the given settings.
pub fn run(trace: &Trace, settings: &RunSettings) -> Figures {
    let mut sim = Sim::new(trace, *settings);
    sim.schedule_initial_events();
    while let Some((at_ms, event)) = sim.event_queue.next() {
        sim.now_ms = at_ms;
        sim.handle(event);
    }
    let instances = settings.instances as f64;
    sim.recorder.figures.gossip_bytes = sim.gossip_bytes / instances / (LENGTH_MS / 1_000.0);
    sim.recorder.finish()
}

fn initial_role(settings: &RunSettings, number: usize) -> Role {
    let (prefill, decode) = settings.initial_roles;
    if number < prefill {
        Role::Prefill
    } else if number < prefill + decode {
        Role::Decode
    } else {
        Role::Mixed
    }
}

impl<'a> Sim<'a> {
    fn new(trace: &'a Trace, settings: RunSettings) -> Self {
        let deployment = trace.deployment;
        let role = |number| initial_role(&settings, number);
        let engines: Vec<SimEngine> = (0..deployment.engines())
            .map(|number| SimEngine::new(EngineProfile::default(), role(number)))
            .collect();
        let mut instances: Vec<SimInstance> = (0..settings.instances)
            .map(|index| SimInstance::new(index, deployment, &settings))
            .collect();
        for instance in &mut instances {
            for number in 0..engines.len() {
                instance.fleet.get_mut(number).role = role(number);
            }
        }
        Self {
            trace,
            settings,
            now_ms: 0.0,
            event_queue: EventQueue::new(),
            crash_counts: vec![0; engines.len()],
            engines,
            retries: vec![RetryBudget::default(); settings.instances],
            instances,
            planners: vec![RolePlanner::new(settings.roles); deployment.zones().len()],
            requests: Vec::new(),
            jobs: HashMap::new(),
            role_change_started_ms: HashMap::new(),
            recorder: Recorder::new(deployment.members().len()),
            gossip_bytes: 0.0,
        }
    }

    fn schedule_initial_events(&mut self) {
        for (number, arrival) in self.trace.arrivals.iter().enumerate() {
            self.event_queue
                .add(arrival.at_ms, SimEvent::Arrive(number));
            let instance = number % self.instances.len();
            self.requests.push(RequestState {
                instance,
                ..RequestState::default()
            });
        }
        for (at_ms, event) in &self.trace.events {
            self.event_queue.add(*at_ms, SimEvent::EngineEvent(*event));
        }
        for engine in 0..self.engines.len() {
            let offset = REPORT_INTERVAL_MS * engine as f64 / self.engines.len() as f64;
            self.event_queue.add(offset, SimEvent::SendReport(engine));
        }
        for instance in 0..self.instances.len() {
            let offset = self.settings.heartbeat_ms * instance as f64 / self.instances.len() as f64;
            self.event_queue.add(offset, SimEvent::Heartbeat(instance));
        }
        if self.settings.policy.plans_roles() && self.trace.log_up {
            self.event_queue.add(PLAN_INTERVAL_MS, SimEvent::PlanRoles);
        }
    }

    #[expect(clippy::needless_pass_by_value, reason = "each event is handled once")]
    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrive(request) => self.arrive(request),
            SimEvent::Deliver {
                request,
                attempt,
                engine,
            } => self.deliver(request, attempt, engine),
            SimEvent::IterationEnd {
                engine,
                crash_count,
            } => self.finish_iteration(engine, crash_count),
            SimEvent::SendReport(engine) => self.send_report(engine),
            SimEvent::ReceiveReport { engine, report } => {
                for instance in &mut self.instances {
                    instance.fleet.get_mut(engine).record_report(report);
                }
            }
            SimEvent::CacheEvent {
                engine,
                prefix,
                tokens,
            } => {
                for instance in &mut self.instances {
                    instance.prefixes.record_holder(prefix, engine, tokens);
                }
            }
            SimEvent::Heartbeat(instance) => self.send_heartbeat(instance),
            SimEvent::AttemptTimeout { request, attempt } => {
                self.handle_attempt_timeout(request, attempt);
            }
            SimEvent::GiveUp { request, attempt } => self.give_up(request, attempt),
            SimEvent::CallerTimeout(request) => self.abandon(request),
            SimEvent::EngineEvent(event) => self.apply_engine_event(event),
            SimEvent::PresenceChange {
                engine,
                presence,
                role,
            } => {
                for instance in &mut self.instances {
                    let engine_view = instance.fleet.get_mut(engine);
                    engine_view.presence = presence;
                    engine_view.role = role;
                }
            }
            SimEvent::PlanRoles => self.plan_roles(),
            SimEvent::RoleChanged { engine, role } => self.finish_role_change(engine, role),
        }
    }

    fn send_report(&mut self, engine: usize) {
        if self.now_ms > 2.0 * LENGTH_MS || !self.engines[engine].alive {
            return;
        }
        let report = self.engines[engine].report(self.now_ms);
        self.event_queue.add(
            self.now_ms + self.trace.lag_ms,
            SimEvent::ReceiveReport { engine, report },
        );
        self.event_queue.add(
            self.now_ms + REPORT_INTERVAL_MS,
            SimEvent::SendReport(engine),
        );
    }

    fn send_heartbeat(&mut self, instance: usize) {
        if self.now_ms > 2.0 * LENGTH_MS {
            return;
        }
        let heartbeat_ms = self.settings.heartbeat_ms;
        self.event_queue.add(
            self.now_ms + heartbeat_ms.max(10.0),
            SimEvent::Heartbeat(instance),
        );
        self.update_forecast(instance);
        if self.settings.policy == Policy::WithoutPeers {
            return;
        }
        let peers = (0..self.instances.len()).filter(|peer| *peer != instance);
        let targets = peers.choose_multiple(&mut self.instances[instance].rng, FAN_OUT);
        for peer in targets {
            self.send_loads(instance, peer);
            self.send_loads(peer, instance);
        }
    }

    fn send_loads(&mut self, from: usize, to: usize) {
        let loads: Vec<_> = self.instances[from]
            .fleet
            .iter()
            .map(|engine| *engine.own_load())
            .collect();
        let busy = loads.iter().filter(|load| load.requests() > 0.0).count();
        self.gossip_bytes += HEARTBEAT_BYTES + LOAD_BYTES * busy as f64;
        let name = format!("node-{from}");
        for (engine, load) in loads.into_iter().enumerate() {
            self.instances[to].fleet.get_mut(engine).record_peer_load(
                self.now_ms as u64,
                &name,
                load,
            );
        }
    }

    fn total_forecast(&self, instance: usize) -> plan::Forecast {
        let peers = self
            .instances
            .iter()
            .enumerate()
            .filter(|(peer, _)| *peer != instance);
        let (prompt, output) = peers.fold((0.0, 0.0), |sum, (_, peer)| {
            (
                sum.0 + peer.forecast.prompt_rate(),
                sum.1 + peer.forecast.output_rate(),
            )
        });
        self.instances[instance]
            .forecast
            .with_peer_rates(prompt, output)
    }

    fn update_forecast(&mut self, instance: usize) {
        let forecast = self.total_forecast(instance);
        self.instances[instance]
            .fleet
            .apply_forecast(self.trace.deployment.model(), &forecast);
    }
}
