//! One entry instance in virtual time: what it believes, and how it chooses.

use model::Deployment;
use plan::{
    Choice, Engine, EngineProfile, Fleet, Forecast, PrefixIndex, Presence, Refusal, RefusalReason,
    Request, RouteSettings, Router,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use crate::trace::{Arrival, rank};
use crate::{Policy, RunSettings};

/// Time of one way to another availability zone, from the brief.
const OTHER_ZONE_MS: f64 = 1.2;

pub(crate) struct Node {
    pub(crate) fleet: Fleet,
    pub(crate) forecast: Forecast,
    pub(crate) prefixes: PrefixIndex,
    pub(crate) rng: Pcg64,
    router: Router,
    policy: Policy,
    turn: usize,
}

impl Node {
    pub(crate) fn new(place: usize, deployment: Deployment, setting: &RunSettings) -> Self {
        let mut fleet = Fleet::default();
        for number in 0..deployment.engines() {
            let zone = number % 3;
            let group = deployment.zones()[zone];
            let name = format!("engine-{number}");
            let mut engine =
                Engine::new(&name, deployment.model(), group, EngineProfile::default());
            engine.one_way_delay_ms = if place % 3 == zone {
                0.0
            } else {
                OTHER_ZONE_MS
            };
            fleet.add(engine);
        }
        let own = setting.route;
        let route = match setting.policy {
            Policy::NoAdmission => RouteSettings {
                refuse_late: false,
                enforce_shares: false,
                ..own
            },
            Policy::WithoutHarm => RouteSettings {
                interference_weight: 0.0,
                ..own
            },
            Policy::WithoutShares => RouteSettings {
                enforce_shares: false,
                ..own
            },
            Policy::WithoutPrefixes => RouteSettings {
                use_prefixes: false,
                ..own
            },
            _ => own,
        };
        Self {
            fleet,
            forecast: Forecast::default(),
            prefixes: PrefixIndex::default(),
            rng: Pcg64::seed_from_u64(setting.seed ^ (place as u64 + 1).wrapping_mul(0x9e37_79b9)),
            router: Router::new(route),
            policy: setting.policy,
            turn: place,
        }
    }

    /// Chooses an engine for a request with this much time left, or refuses.
    pub(crate) fn choose(
        &mut self,
        now_ms: f64,
        arrival: &Arrival,
        left_ms: f64,
        tried: &[usize],
    ) -> Result<Choice, Refusal> {
        if self.policy.is_routed() {
            return self.route(now_ms, arrival, left_ms, tried);
        }
        let live: Vec<usize> = (0..self.fleet.len())
            .filter(|place| self.fleet.get(*place).presence == Presence::Live)
            .filter(|place| !tried.contains(place))
            .collect();
        let none = Refusal {
            reason: RefusalReason::NoUpstream,
            retry_after_ms: 1_000,
        };
        let engine = self.simple(arrival, &live).ok_or(none)?;
        Ok(Choice {
            engine,
            first_token_ms: 0.0,
            finish_ms: 0.0,
            token_ms: 0.0,
            uncached_tokens: f64::from(arrival.prompt_tokens),
        })
    }

    fn route(
        &mut self,
        now_ms: f64,
        arrival: &Arrival,
        left_ms: f64,
        tried: &[usize],
    ) -> Result<Choice, Refusal> {
        let member = format!("member-{}", arrival.member);
        let model = self.fleet.get(0).model.clone();
        let request = Request {
            member: &member,
            share: 1,
            model: &model,
            rank: rank(arrival.kind),
            prompt_tokens: f64::from(arrival.prompt_tokens),
            output_tokens: f64::from(arrival.expected_tokens),
            left_ms,
        };
        let prefixes = &self.prefixes;
        let cached = |place: usize| match arrival.prefix {
            0 => 0.0,
            prefix => prefixes.cached_tokens(prefix, place),
        };
        let now_ms = now_ms as u64;
        self.router
            .route(now_ms, &self.fleet, &request, cached, tried, &mut self.rng)
    }

    fn simple(&mut self, arrival: &Arrival, live: &[usize]) -> Option<usize> {
        if live.is_empty() {
            return None;
        }
        match self.policy {
            Policy::RoundRobin => {
                self.turn += 1;
                Some(live[self.turn % live.len()])
            }
            Policy::TwoChoices => {
                let one = live[self.rng.random_range(0..live.len())];
                let two = live[self.rng.random_range(0..live.len())];
                Some(if self.reported(two) < self.reported(one) {
                    two
                } else {
                    one
                })
            }
            Policy::PrefixAffinity if arrival.prefix != 0 => {
                Some(live[arrival.prefix as usize % live.len()])
            }
            _ => {
                let least = live.iter().copied();
                least.min_by(|&a, &b| self.reported(a).total_cmp(&self.reported(b)))
            }
        }
    }

    /// Engine time that a report says is waiting.
    fn reported(&self, place: usize) -> f64 {
        let engine = self.fleet.get(place);
        let report = engine.report();
        let queued: f64 = report.queued.iter().sum();
        queued * engine.profile.token_ms + report.running * engine.profile.base_ms
    }
}
