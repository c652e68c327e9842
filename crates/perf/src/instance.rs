//! An entry instance in virtual time: its view of the engines and its routing.

use model::Deployment;
use plan::{
    Choice, Engine, EngineProfile, Fleet, Forecast, PrefixIndex, Presence, Refusal, RefusalReason,
    Request, RouteSettings, Router,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use crate::trace::{Arrival, rank};
use crate::{Policy, RunSettings};

/// One-way delay to another availability zone, in ms.
const CROSS_ZONE_DELAY_MS: f64 = 1.2;

pub(crate) struct SimInstance {
    pub(crate) fleet: Fleet,
    pub(crate) forecast: Forecast,
    pub(crate) prefixes: PrefixIndex,
    pub(crate) rng: Pcg64,
    router: Router,
    policy: Policy,
    next_engine: usize,
}

impl SimInstance {
    pub(crate) fn new(index: usize, deployment: Deployment, settings: &RunSettings) -> Self {
        let mut fleet = Fleet::default();
        for number in 0..deployment.engines() {
            let zone = number % 3;
            let group = deployment.zones()[zone];
            let name = format!("engine-{number}");
            let mut engine =
                Engine::new(&name, deployment.model(), group, EngineProfile::default());
            engine.one_way_delay_ms = if index % 3 == zone {
                0.0
            } else {
                CROSS_ZONE_DELAY_MS
            };
            fleet.add(engine);
        }
        let route_settings = settings.route;
        let route = match settings.policy {
            Policy::NoAdmission => RouteSettings {
                refuse_late: false,
                enforce_shares: false,
                ..route_settings
            },
            Policy::WithoutHarm => RouteSettings {
                interference_weight: 0.0,
                ..route_settings
            },
            Policy::WithoutShares => RouteSettings {
                enforce_shares: false,
                ..route_settings
            },
            Policy::WithoutPrefixes => RouteSettings {
                use_prefixes: false,
                ..route_settings
            },
            _ => route_settings,
        };
        Self {
            fleet,
            forecast: Forecast::default(),
            prefixes: PrefixIndex::default(),
            rng: Pcg64::seed_from_u64(settings.seed ^ (index as u64 + 1).wrapping_mul(0x9e37_79b9)),
            router: Router::new(route),
            policy: settings.policy,
            next_engine: index,
        }
    }

    /// Chooses an engine for a request, or refuses it.
    pub(crate) fn choose(
        &mut self,
        now_ms: f64,
        arrival: &Arrival,
        remaining_ms: f64,
        tried: &[usize],
    ) -> Result<Choice, Refusal> {
        if self.policy.is_routed() {
            return self.route(now_ms, arrival, remaining_ms, tried);
        }
        let live: Vec<usize> = (0..self.fleet.len())
            .filter(|index| self.fleet.get(*index).presence == Presence::Live)
            .filter(|index| !tried.contains(index))
            .collect();
        let refusal = Refusal {
            reason: RefusalReason::NoUpstream,
            retry_after_ms: 1_000,
        };
        let engine = self.choose_baseline(arrival, &live).ok_or(refusal)?;
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
        remaining_ms: f64,
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
            left_ms: remaining_ms,
        };
        let prefixes = &self.prefixes;
        let cached = |index: usize| match arrival.prefix {
            0 => 0.0,
            prefix => prefixes.cached_tokens(prefix, index),
        };
        let now_ms = now_ms as u64;
        self.router
            .route(now_ms, &self.fleet, &request, cached, tried, &mut self.rng)
    }

    fn choose_baseline(&mut self, arrival: &Arrival, live: &[usize]) -> Option<usize> {
        if live.is_empty() {
            return None;
        }
        match self.policy {
            Policy::RoundRobin => {
                self.next_engine += 1;
                Some(live[self.next_engine % live.len()])
            }
            Policy::TwoChoices => {
                let first = live[self.rng.random_range(0..live.len())];
                let second = live[self.rng.random_range(0..live.len())];
                Some(
                    if self.reported_load_ms(second) < self.reported_load_ms(first) {
                        second
                    } else {
                        first
                    },
                )
            }
            Policy::PrefixAffinity if arrival.prefix != 0 => {
                Some(live[arrival.prefix as usize % live.len()])
            }
            _ => {
                let least = live.iter().copied();
                least.min_by(|&a, &b| {
                    self.reported_load_ms(a)
                        .total_cmp(&self.reported_load_ms(b))
                })
            }
        }
    }

    /// Reported load of an engine, as engine time in ms.
    fn reported_load_ms(&self, index: usize) -> f64 {
        let engine = self.fleet.get(index);
        let report = engine.report();
        let queued: f64 = report.queued.iter().sum();
        queued * engine.profile.token_ms + report.running * engine.profile.base_ms
    }
}
