//! Chooses the engine for a request, or refuses the request.

use conf::Role;
use rand::Rng;

use crate::{
    Engine, Fleet, HealthStatus, MemberShares, Outstanding, Presence, RANKS, Refusal, RefusalReason,
};

/// Most engines considered for a request; of a larger fleet a random sample of this size is taken,
/// so that the cost of a decision does not grow with the fleet.
const MAX_CANDIDATES: usize = 24;

/// Largest fraction of an engine's time that more urgent work is assumed to take from a prefill.
const MAX_URGENT_FRACTION: f64 = 0.8;

/// Free batch slots at which prompts of less urgent ranks are prefilled at full speed.
const SLOTS_FOR_LESS_URGENT: f64 = 8.0;

/// Longest delay after which a refused caller is told to retry.
const MAX_RETRY_MS: f64 = 5_000.0;

/// Shortest delay after which a refused caller is told to retry.
const MIN_RETRY_MS: f64 = 100.0;

/// The properties of a request on which a decision depends.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Request<'a> {
    /// Member on whose behalf it is made.
    pub member: &'a str,
    /// The member's weight in fair sharing.
    pub share: u32,
    /// Model that it asks for.
    pub model: &'a str,
    /// Priority rank; 0 is the most urgent.
    pub rank: usize,
    /// Length of the prompt.
    pub prompt_tokens: f64,
    /// Expected length of the output.
    pub output_tokens: f64,
    /// Time left until the caller's deadline.
    pub left_ms: f64,
}

/// The engine chosen for a request, with the predictions for it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Index of the engine in the fleet.
    pub engine: usize,
    /// Predicted time to the first token.
    pub first_token_ms: f64,
    /// Predicted time to the end of the output.
    pub finish_ms: f64,
    /// Predicted time between two tokens.
    pub token_ms: f64,
    /// Prompt tokens that the engine has to prefill.
    pub uncached_tokens: f64,
}

/// Mechanisms and weights of routing; each can be disabled by itself to measure its effect.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouteSettings {
    /// Whether to refuse requests that are predicted to miss their deadline.
    pub refuse_late: bool,
    /// Weight of the delay that a request causes to other requests on the engine.
    pub interference_weight: f64,
    /// Whether to hold members to their shares under pressure.
    pub enforce_shares: bool,
    /// Fraction of the time left that a request may be predicted to take.
    pub deadline_share: f64,
    /// Whether predictions take cached prefixes into account.
    pub use_prefixes: bool,
    /// Fraction of the time left from which a prediction counts as a sign of pressure.
    pub pressure_share: f64,
    /// Factor of the best score within which an engine is chosen at random.
    pub near_best_factor: f64,
}

impl Default for RouteSettings {
    fn default() -> Self {
        Self {
            refuse_late: true,
            interference_weight: 0.5,
            enforce_shares: true,
            deadline_share: 0.9,
            use_prefixes: true,
            pressure_share: 0.8,
            near_best_factor: 1.03,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Scored {
    choice: Choice,
    /// Predicted time plus the weighted interference; lower is better.
    score: f64,
    status: HealthStatus,
}

/// Routes and admits the requests of one instance.
#[derive(Debug, Clone, Default)]
pub struct Router {
    settings: RouteSettings,
    shares: MemberShares,
}

impl Router {
    /// A router that has not seen any request.
    pub fn new(settings: RouteSettings) -> Self {
        Self {
            settings,
            shares: MemberShares::default(),
        }
    }

    /// Chooses an engine for a request or refuses it.
    ///
    /// `cached` returns the tokens of the prompt that an engine is believed to cache; `skip` lists
    /// the engines that were already tried.
    pub fn route(
        &mut self,
        now_ms: u64,
        fleet: &Fleet,
        request: &Request,
        cached: impl Fn(usize) -> f64,
        skip: &[usize],
        rng: &mut impl Rng,
    ) -> Result<Choice, Refusal> {
        let indices = sample(fleet.indices_of_model(request.model), rng);
        let mut scored = Vec::with_capacity(indices.len());
        for index in indices {
            if skip.contains(&index) {
                continue;
            }
            let cached = if self.settings.use_prefixes {
                cached(index)
            } else {
                0.0
            };
            scored.extend(self.score(now_ms, fleet.get(index), index, request, cached));
        }
        let Some(best) = self.pick(request, &scored, rng) else {
            return Err(Refusal {
                reason: RefusalReason::NoUpstream,
                retry_after_ms: 1_000,
            });
        };
        let work_ms = fleet
            .get(best.choice.engine)
            .profile
            .min_work_ms(best.choice.uncached_tokens, request.output_tokens);
        let admission = self.admit(now_ms, request, &best, work_ms);
        let admitted = admission.is_ok();
        self.shares
            .record(now_ms, request.member, request.share, work_ms, admitted);
        admission.map(|()| best.choice)
    }

    fn admit(
        &self,
        now_ms: u64,
        request: &Request,
        best: &Scored,
        work_ms: f64,
    ) -> Result<(), Refusal> {
        let finish_ms = best.choice.finish_ms;
        let late_ms = finish_ms - request.left_ms * self.settings.deadline_share;
        if self.settings.refuse_late && late_ms > 0.0 {
            return Err(refusal(RefusalReason::Deadline, late_ms));
        }
        let is_under_pressure = finish_ms > request.left_ms * self.settings.pressure_share;
        let is_urgent = request.rank == 0;
        if self.settings.enforce_shares
            && is_under_pressure
            && !is_urgent
            && !self.shares.allows(now_ms, request.member, work_ms)
        {
            return Err(refusal(RefusalReason::Share, work_ms));
        }
        Ok(())
    }

    fn score(
        &self,
        now_ms: u64,
        engine: &Engine,
        index: usize,
        request: &Request,
        cached: f64,
    ) -> Option<Scored> {
        if engine.presence != Presence::Live {
            return None;
        }
        let status = engine.health.status(now_ms);
        let load = engine.load(now_ms);
        let uncached_tokens = (request.prompt_tokens - cached).max(1.0);
        let choice = predict(engine, index, &load, request, uncached_tokens);
        let interference_ms = interference_ms(engine, &load, request, uncached_tokens);
        Some(Scored {
            choice,
            score: choice.finish_ms + self.settings.interference_weight * interference_ms,
            status,
        })
    }

    /// Picks at random among the engines whose scores are close to the best.
    ///
    /// If all instances took the very best, those with the same stale data would send to the same
    /// seemingly idle engine. An engine that is due for a probe gets this request, unless the
    /// request is urgent or would be late there. An ejected engine is picked only if no engine is
    /// healthy, since a slow answer is better than none.
    fn pick(&self, request: &Request, scored: &[Scored], rng: &mut impl Rng) -> Option<Scored> {
        let in_time = request.left_ms * self.settings.deadline_share;
        let is_due =
            |each: &&Scored| each.status == HealthStatus::Probe && each.choice.finish_ms <= in_time;
        if request.rank > 0
            && let Some(probe) = scored.iter().find(is_due)
        {
            return Some(*probe);
        }
        let healthy = || {
            scored
                .iter()
                .filter(|each| each.status == HealthStatus::Healthy)
        };
        let pool: Vec<&Scored> = if healthy().count() > 0 {
            healthy().collect()
        } else {
            scored.iter().collect()
        };
        let best = pool.iter().map(|each| each.score).min_by(f64::total_cmp)?;
        let near = |each: &&&Scored| each.score <= best * self.settings.near_best_factor;
        let near: Vec<&&Scored> = pool.iter().filter(near).collect();
        near.get(rng.random_range(0..near.len().max(1)))
            .map(|each| ***each)
    }
}

fn refusal(reason: RefusalReason, wait_ms: f64) -> Refusal {
    Refusal {
        reason,
        retry_after_ms: wait_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS) as u64,
    }
}

/// The candidates, or a random sample of them drawn with replacement if there are too many.
fn sample(indices: &[usize], rng: &mut impl Rng) -> Vec<usize> {
    if indices.len() <= MAX_CANDIDATES {
        return indices.to_vec();
    }
    let mut sampled = Vec::with_capacity(MAX_CANDIDATES);
    for _ in 0..MAX_CANDIDATES {
        let index = indices[rng.random_range(0..indices.len())];
        if !sampled.contains(&index) {
            sampled.push(index);
        }
    }
    sampled
}

/// Predicts the times of a request on an engine from the load ahead of it.
fn predict(
    engine: &Engine,
    index: usize,
    load: &Outstanding,
    request: &Request,
    uncached_tokens: f64,
) -> Choice {
    let profile = &engine.profile;
    let chunk = f64::from(crate::EngineProfile::chunk_tokens(engine.role));
    let urgent: f64 = engine.prefill_utilization.iter().take(request.rank).sum();
    let available = 1.0 - urgent.min(MAX_URGENT_FRACTION);
    let ahead = load.prompt_ahead(request.rank) + uncached_tokens;
    let prefill_ms = profile.prefill_ms(engine.role, load.running, ahead) / available;
    // On average half of the current iteration is still to come.
    let rest_ms = profile.iteration_ms(load.running, chunk.min(load.prompt_ahead(RANKS - 1))) / 2.0;
    let token_ms = token_interval_ms(engine, load, request);
    let slot_ms = slot_wait_ms(engine, load, request, token_ms);
    let first_token_ms = 2.0 * engine.one_way_delay_ms
        + (rest_ms + prefill_ms.max(slot_ms)) * engine.health.slowness();
    let token_ms = token_ms * engine.health.slowness();
    Choice {
        engine: index,
        first_token_ms,
        finish_ms: first_token_ms + request.output_tokens * token_ms,
        token_ms,
        uncached_tokens,
    }
}

/// Time between two tokens, with the prompts that will be prefilled in the same iterations.
///
/// An engine starts prompts of a less urgent rank only while more urgent ones leave slots of the
/// batch free. So the queue of those prompts does not slow a full batch down, however long it is.
fn token_interval_ms(engine: &Engine, load: &Outstanding, request: &Request) -> f64 {
    let profile = &engine.profile;
    let chunk = f64::from(crate::EngineProfile::chunk_tokens(engine.role));
    let slots = f64::from(profile.max_running);
    let sequences = load.running + load.waiting_ahead(request.rank) + 1.0;
    let running = sequences.min(slots);
    let decode_ms = profile.iteration_ms(running, 0.0) * request.output_tokens;
    // Fraction of the iterations that prefill a chunk of these prompts.
    let prefilling = |tokens: f64, utilization: f64| {
        let prefill_ms = profile.prefill_ms(engine.role, running, tokens);
        (prefill_ms / decode_ms.max(1.0) + utilization).min(1.0)
    };
    let (urgent, less_urgent) = engine.prefill_utilization.split_at(request.rank + 1);
    let free = ((slots - sequences) / SLOTS_FOR_LESS_URGENT).clamp(0.0, 1.0);
    let behind = load.prompt_ahead(RANKS - 1) - load.prompt_ahead(request.rank);
    let fraction = prefilling(load.prompt_ahead(request.rank), urgent.iter().sum())
        + free * prefilling(behind, less_urgent.iter().sum());
    profile.iteration_ms(running, chunk * fraction.min(1.0))
}

/// Time until sequences have ended that leave the request a slot of the batch.
fn slot_wait_ms(engine: &Engine, load: &Outstanding, request: &Request, token_ms: f64) -> f64 {
    let slots = f64::from(engine.profile.max_running);
    let missing = load.running + load.waiting_ahead(request.rank) + 1.0 - slots;
    if missing <= 0.0 {
        return 0.0;
    }
    // Sequences end one after the other, each with half of its output still to come on average.
    let output = load.output / load.requests().max(1.0);
    missing * output * token_ms / slots
}

/// Delay that the request causes to the other requests on the engine, summed over them and divided
/// by the square root of the batch size.
fn interference_ms(
    engine: &Engine,
    load: &Outstanding,
    request: &Request,
    uncached_tokens: f64,
) -> f64 {
    let profile = &engine.profile;
    let requests = load.requests();
    let delay_ms = profile.token_ms * uncached_tokens + profile.sequence_ms * request.output_tokens;
    let role_factor = match engine.role {
        Role::Prefill => 0.5,
        Role::Mixed | Role::Decode => 1.0,
    };
    delay_ms * requests * role_factor / f64::from(profile.max_running).sqrt()
}
