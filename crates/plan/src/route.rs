//! Which engine a request goes to, or that it is refused.

use conf::Role;
use rand::Rng;

use crate::{
    Engine, Fairness, Fleet, HealthStatus, Outstanding, Presence, RANKS, Refusal, RefusalReason,
};

/// Engines up to which all are looked at. Above it a decision looks at a sample of this size, so
/// that its cost does not grow with the fleet.
const LOOKED_AT: usize = 24;

/// Most that work of higher rank is taken to slow a prompt down, as a share of the engine.
const MOST_OVERTAKEN: f64 = 0.8;

/// Free places of the batch at which prompts of later ranks are read at full pace.
const PLACES_FOR_LATER: f64 = 8.0;

/// Longest time that a refused caller is told to wait.
const LONGEST_RETRY_MS: f64 = 5_000.0;

/// Shortest time that a refused caller is told to wait.
const SHORTEST_RETRY_MS: f64 = 100.0;

/// What a decision needs to know of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Request<'a> {
    /// Member on whose behalf it is made.
    pub member: &'a str,
    /// The member's weight.
    pub share: u32,
    /// Model.
    pub model: &'a str,
    /// Level of urgency, 0 first.
    pub rank: usize,
    /// Prompt tokens.
    pub prompt_tokens: f64,
    /// Output tokens expected.
    pub output_tokens: f64,
    /// Time left until the caller's deadline.
    pub left_ms: f64,
}

/// A request's engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Choice {
    /// Place of the engine in the fleet.
    pub engine: usize,
    /// Predicted time to the first token.
    pub first_token_ms: f64,
    /// Predicted time to the end.
    pub finish_ms: f64,
    /// Predicted time between two tokens.
    pub token_ms: f64,
    /// Prompt tokens that the engine will have to read.
    pub uncached_tokens: f64,
}

/// Mechanisms and weights of routing; each can be switched off alone to see whether it pays.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouteSettings {
    /// Refuse what would not finish in time.
    pub refuse_late: bool,
    /// Weight of the delay that a request causes to others.
    pub interference_weight: f64,
    /// Hold members to their shares under pressure.
    pub enforce_shares: bool,
    /// Share of the deadline that a prediction may use up.
    pub deadline_share: f64,
    /// Count cached prefixes.
    pub use_prefixes: bool,
    /// Share of the deadline at which the fleet counts as under pressure.
    pub pressure_share: f64,
    /// Choices within this factor of the best are drawn from at random.
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
    score: f64,
    verdict: HealthStatus,
}

/// Routing and admission of one instance.
#[derive(Debug, Clone, Default)]
pub struct Router {
    settings: RouteSettings,
    fairness: Fairness,
}

impl Router {
    /// A router with these settings.
    pub fn new(settings: RouteSettings) -> Self {
        Self {
            settings,
            fairness: Fairness::default(),
        }
    }

    /// Chooses an engine or refuses.
    ///
    /// `cached` gives the tokens of the prompt's prefix that an engine is believed to hold, and
    /// `skip` the engines that have been tried.
    pub fn route(
        &mut self,
        now_ms: u64,
        fleet: &Fleet,
        request: &Request,
        cached: impl Fn(usize) -> f64,
        skip: &[usize],
        rng: &mut impl Rng,
    ) -> Result<Choice, Refusal> {
        let places = sample(fleet.indices_of_model(request.model), rng);
        let mut scored = Vec::with_capacity(places.len());
        for place in places {
            if skip.contains(&place) {
                continue;
            }
            let cached = if self.settings.use_prefixes {
                cached(place)
            } else {
                0.0
            };
            scored.extend(self.score(now_ms, fleet.get(place), place, request, cached));
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
        let verdict = self.admit(now_ms, request, &best, work_ms);
        let admitted = verdict.is_ok();
        self.fairness
            .record(now_ms, request.member, request.share, work_ms, admitted);
        verdict.map(|()| best.choice)
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
        let pressed = finish_ms > request.left_ms * self.settings.pressure_share;
        let urgent = request.rank == 0;
        if self.settings.enforce_shares
            && pressed
            && !urgent
            && !self.fairness.allows(now_ms, request.member, work_ms)
        {
            return Err(refusal(RefusalReason::Share, work_ms));
        }
        Ok(())
    }

    fn score(
        &self,
        now_ms: u64,
        engine: &Engine,
        place: usize,
        request: &Request,
        cached: f64,
    ) -> Option<Scored> {
        if engine.presence != Presence::Live {
            return None;
        }
        let verdict = engine.health.status(now_ms);
        let load = engine.load(now_ms);
        let uncached_tokens = (request.prompt_tokens - cached).max(1.0);
        let choice = predict(engine, place, &load, request, uncached_tokens);
        let harm_ms = harm(engine, &load, request, uncached_tokens);
        Some(Scored {
            choice,
            score: choice.finish_ms + self.settings.interference_weight * harm_ms,
            verdict,
        })
    }

    /// Takes the best, drawing among those that are nearly as good.
    ///
    /// Instances that see the same stale picture would otherwise all send to the one engine that
    /// looks idle. An engine that is due for a probe gets one, though never an urgent request;
    /// one that is ejected is taken only when there is no other, since a slow answer is better
    /// than none.
    fn pick(&self, request: &Request, scored: &[Scored], rng: &mut impl Rng) -> Option<Scored> {
        let in_time = request.left_ms * self.settings.deadline_share;
        let due = |each: &&Scored| {
            each.verdict == HealthStatus::Probe && each.choice.finish_ms <= in_time
        };
        if request.rank > 0
            && let Some(probe) = scored.iter().find(due)
        {
            return Some(*probe);
        }
        let fit = || {
            scored
                .iter()
                .filter(|each| each.verdict == HealthStatus::Healthy)
        };
        let pool: Vec<&Scored> = if fit().count() > 0 {
            fit().collect()
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

fn refusal(limit: RefusalReason, wait_ms: f64) -> Refusal {
    Refusal {
        reason: limit,
        retry_after_ms: wait_ms.clamp(SHORTEST_RETRY_MS, LONGEST_RETRY_MS) as u64,
    }
}

fn sample(places: &[usize], rng: &mut impl Rng) -> Vec<usize> {
    if places.len() <= LOOKED_AT {
        return places.to_vec();
    }
    let mut seen = Vec::with_capacity(LOOKED_AT);
    for _ in 0..LOOKED_AT {
        let place = places[rng.random_range(0..places.len())];
        if !seen.contains(&place) {
            seen.push(place);
        }
    }
    seen
}

/// Predicted times of a request on an engine, from the load ahead of it.
fn predict(
    engine: &Engine,
    place: usize,
    load: &Outstanding,
    request: &Request,
    uncached_tokens: f64,
) -> Choice {
    let shape = &engine.profile;
    let chunk = f64::from(crate::EngineProfile::chunk_tokens(engine.role));
    let overtaken: f64 = engine.prefill_utilization.iter().take(request.rank).sum();
    let unhindered = 1.0 - overtaken.min(MOST_OVERTAKEN);
    let ahead = load.prompt_ahead(request.rank) + uncached_tokens;
    let prefill_ms = shape.prefill_ms(engine.role, load.running, ahead) / unhindered;
    let queue_ms = shape.iteration_ms(load.running, chunk.min(load.prompt_ahead(RANKS - 1))) / 2.0;
    let token_ms = pace(engine, load, request);
    let slot_ms = slot_wait(engine, load, request, token_ms);
    let first_token_ms = 2.0 * engine.one_way_delay_ms
        + (queue_ms + prefill_ms.max(slot_ms)) * engine.health.slowness();
    let token_ms = token_ms * engine.health.slowness();
    Choice {
        engine: place,
        first_token_ms,
        finish_ms: first_token_ms + request.output_tokens * token_ms,
        token_ms,
        uncached_tokens,
    }
}

/// Time between two tokens, with the prompts that will be read beside the output.
///
/// Prompts of a later rank are begun only while the batch has places that no earlier rank wants,
/// so a full batch runs at its own pace however long the queue of long prompts is.
fn pace(engine: &Engine, load: &Outstanding, request: &Request) -> f64 {
    let shape = &engine.profile;
    let chunk = f64::from(crate::EngineProfile::chunk_tokens(engine.role));
    let most = f64::from(shape.max_running);
    let sequences = load.running + load.waiting_ahead(request.rank) + 1.0;
    let running = sequences.min(most);
    let plain_ms = shape.iteration_ms(running, 0.0) * request.output_tokens;
    let part = |tokens: f64, busy: f64| {
        let read_ms = shape.prefill_ms(engine.role, running, tokens);
        (read_ms / plain_ms.max(1.0) + busy).min(1.0)
    };
    let (early, late) = engine.prefill_utilization.split_at(request.rank + 1);
    let room = ((most - sequences) / PLACES_FOR_LATER).clamp(0.0, 1.0);
    let behind = load.prompt_ahead(RANKS - 1) - load.prompt_ahead(request.rank);
    let beside = part(load.prompt_ahead(request.rank), early.iter().sum())
        + room * part(behind, late.iter().sum());
    shape.iteration_ms(running, chunk * beside.min(1.0))
}

/// Time until a sequence ends that leaves its place in the batch to the request.
fn slot_wait(engine: &Engine, load: &Outstanding, request: &Request, token_ms: f64) -> f64 {
    let most = f64::from(engine.profile.max_running);
    let short = load.running + load.waiting_ahead(request.rank) + 1.0 - most;
    if short <= 0.0 {
        return 0.0;
    }
    // Sequences end one after the other, each with half of its output still to come on average.
    let output = load.output / load.requests().max(1.0);
    short * output * token_ms / most
}

/// Delay that the request causes to the others on the engine, for each of them on average.
fn harm(engine: &Engine, load: &Outstanding, request: &Request, uncached_tokens: f64) -> f64 {
    let shape = &engine.profile;
    let streams = load.requests();
    let delay_ms = shape.token_ms * uncached_tokens + shape.sequence_ms * request.output_tokens;
    let spare = match engine.role {
        Role::Prefill => 0.5,
        Role::Mixed | Role::Decode => 1.0,
    };
    delay_ms * streams * spare / f64::from(shape.max_running).sqrt()
}
