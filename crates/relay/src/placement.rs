//! Chooses the upstreams that serve a request, from this instance's view of the fleet.
//!
//! The cost model is in `plan`; this module collects its input and picks the cheapest candidate.

use std::rc::Rc;

use plan::{
    DecodeRequest, HealthStatus, LateRequest, LatestStart, Prediction, cheapest, common_rest_ms,
    work_tokens,
};
use view::InstanceKey;

use crate::answer::{Reason, Refusal};
use crate::call::Call;
use crate::dialect::Prompt;
use crate::prefix::{CachedPrefix, PrefixHolders, affinity_target, holds_prefix};
use crate::relay::Relay;
use crate::subset::engine_subset;
use crate::upstream::{Stage, Upstream};
use crate::urgency::Urgency;

/// Shortest prompt that may be prefilled on a separate engine, in tokens. Transferring the KV cache
/// takes another request and a few ms of setup, which shorter prompts do not repay.
const MIN_DISAGGREGATED_TOKENS: f64 = 150.0;

/// Assumed answer time of a service without generation until an answer has been observed, in ms; about
/// what such services usually need.
pub const DEFAULT_ANSWER_MS: f64 = 15.0;

/// Fraction by which answers take longer when all slots of an upstream are in use and nothing waits.
const FULL_LOAD_SLOWDOWN: f64 = 0.3;

/// Time until a slot of a full batch becomes free, in ms.
const SLOT_TURNOVER_MS: f64 = 250.0;

/// Fraction of the objective within which a predicted first event counts as on time.
const ON_TIME_FRACTION: f64 = 1.0;

/// Fraction of the prefill time that is added to the cost of an engine which caches nothing of the
/// prompt and is not its affinity target. Instances that receive the first requests of a new prefix
/// at the same time then choose the same engine.
const NON_AFFINITY_PENALTY: f64 = 0.3;

/// Cost of opening a connection when engines are compared, in ms: a round trip between zones and the
/// setup at the upstream, which is billed.
const CONNECTION_COST_MS: f64 = 5.0;

/// Fraction of the remaining time that a prediction may use.
const USABLE_TIME_FRACTION: f64 = 0.8;

/// Retry delay sent to callers when no upstream is available, in ms. The instances together read the
/// list of upstreams about twice in this time.
const NO_UPSTREAM_RETRY_MS: f64 = 300.0;

/// Lower and upper bound of the retry delay sent with a refusal, in ms, before jitter.
const RETRY_AFTER_BOUNDS_MS: (f64, f64) = (80.0, 900.0);

/// The engines chosen for a generation.
#[derive(Clone)]
pub enum Placement {
    /// One engine does the prefill; another one decodes from the transferred KV cache.
    Disaggregated(PrefillPlacement),
    /// One engine does both prefill and decode.
    Colocated(DecodePlacement),
}

/// Choice of the engine that prefills a prompt for another one.
#[derive(Clone)]
pub struct PrefillPlacement {
    /// The engine.
    pub engine: Rc<Upstream>,
    /// Engine from which it copies the cached prefix.
    pub copy_from: Option<Rc<Upstream>>,
    /// Tokens of the prompt that are cached there, or will be after the copy.
    pub cached_tokens: f64,
    /// Prefill work that remains, in tokens.
    pub prefill_tokens: f64,
    /// Predicted time until the prefill is complete.
    pub prefill: Prediction,
    /// Whether the request can meet its objective.
    pub urgency: Urgency,
}

/// Choice of the engine that decodes, and prefills whatever it lacks of the prompt.
#[derive(Clone)]
pub struct DecodePlacement {
    /// The engine.
    pub engine: Rc<Upstream>,
    /// Engine from which it copies the cached prefix.
    pub copy_from: Option<Rc<Upstream>>,
    /// Tokens of the prompt that are cached there, or will be after the copy or transfer.
    pub cached_tokens: f64,
    /// Prefill work that remains, in tokens.
    pub prefill_tokens: f64,
    /// Predicted time to the first event.
    pub first_event: Prediction,
    /// Whether the request can meet its objective.
    pub urgency: Urgency,
}

/// The subset of the given engines that this instance uses.
fn own_subset(relay: &Relay, engines: &[Rc<Upstream>]) -> Vec<Rc<Upstream>> {
    let own = InstanceKey::of(&relay.settings.borrow().name);
    engine_subset(own, engines, |engine| engine.id.as_str())
}

/// Upstreams of the call's service in one of the given stages that take requests now, of the version that began its
/// stream if there is one.
fn usable(relay: &Relay, call: &Call, stages: &[Stage]) -> Vec<Rc<Upstream>> {
    let now_ms = relay.now_ms();
    // A separate prefill writes no event of the stream.
    let began_version = call.began_version.get();
    let version = began_version.filter(|_| !stages.contains(&Stage::Prefill));
    let upstreams = relay.upstreams.borrow();
    upstreams
        .ready(&call.service, now_ms)
        .filter(|each| stages.contains(&each.stage()))
        .filter(|each| version.is_none_or(|version| each.version_key == version))
        .filter(|each| !each.is_changing_role(now_ms) && each.rest_left_ms(now_ms) == 0)
        .filter(|each| !each.is_unproven(now_ms) && relay.has_rate_capacity(each))
        .cloned()
        .collect()
}

/// Upstreams of the call's service in one of the given stages that have not been tried: the healthy
/// ones, or all of them if none is healthy.
fn candidates(relay: &Relay, call: &Call, tried: &[String], stages: &[Stage]) -> Vec<Rc<Upstream>> {
    let now_ms = relay.now_ms();
    let all = usable(relay, call, stages);
    let (mut all, again): (Vec<_>, Vec<_>) =
        all.into_iter().partition(|each| !tried.contains(&each.id));
    // No other version can go on with a stream, so one that broke it off is better than none.
    if all.is_empty() && call.began_version.get().is_some() {
        all = again;
    }
    // A probe may hit an upstream that still fails, so only repeatable requests are used as probes.
    let may_probe = call.route.is_retryable();
    let is_healthy = |each: &&Rc<Upstream>| match each.health_status(now_ms) {
        HealthStatus::Healthy => true,
        HealthStatus::Probe => may_probe,
        HealthStatus::Ejected => false,
    };
    let healthy: Vec<Rc<Upstream>> = all.iter().filter(is_healthy).cloned().collect();
    // A slow answer is better than none.
    if healthy.is_empty() { all } else { healthy }
}

/// Chooses the upstream for a request that generates no text, or refuses it if the answer is
/// predicted to come too late.
pub fn choose_upstream(
    relay: &Relay,
    call: &Call,
    tried: &[String],
) -> Result<Rc<Upstream>, Refusal> {
    let now_ms = relay.now_ms();
    let all = candidates(relay, call, tried, &[Stage::Whole]);
    let predicted = |each: &Rc<Upstream>| {
        let answer_ms = if each.answer_ms() > 0.0 {
            each.answer_ms()
        } else {
            DEFAULT_ANSWER_MS
        };
        let load = (each.load(now_ms) + 1.0) / f64::from(each.slots);
        let queue = (load - 1.0).max(0.0) + FULL_LOAD_SLOWDOWN * load;
        Prediction {
            wait_ms: answer_ms * queue,
            processing_ms: 2.0 * each.one_way_delay_ms + answer_ms,
            interference_ms: 0.0,
        }
    };
    let Some((index, time)) = cheapest(all.iter().map(predicted)) else {
        return Err(refuse(call, Reason::NoUpstream, NO_UPSTREAM_RETRY_MS));
    };
    let left_ms = call.left_ms(now_ms) as f64;
    let time_ms = time.total_ms();
    if time_ms > left_ms * USABLE_TIME_FRACTION {
        return Err(refuse(
            call,
            Reason::TooLate,
            time_ms - left_ms * USABLE_TIME_FRACTION,
        ));
    }
    Ok(Rc::clone(&all[index]))
}

/// Chooses the engines for a generation, or refuses it if it would start too late.
///
/// In a burst of long prompts, a single queue would make every request late. Requests that can
/// still meet their objective are therefore ranked first; the others use the remaining capacity
/// until their deadline. The same number is served, and more of them on time.
pub fn place_generation(
    relay: &Relay,
    call: &Call,
    prompt: &Prompt,
    tried: &[String],
) -> Result<Placement, Refusal> {
    // The demand of a request that was placed at a peer before is counted there.
    if tried.is_empty() && !(call.is_taken_over.get() && call.is_first_counted.get()) {
        record_demand(relay, call, prompt);
    }
    let goal_ms = call.route.goal_ms as f64;
    let waited_ms = call.prior_wait_ms as f64;
    let (placement, first) = cheaper_placement(relay, call, prompt, tried, Urgency::OnTime)?;
    if first.total_ms() <= goal_ms * ON_TIME_FRACTION - waited_ms {
        record_placement(relay, call, &placement, &first);
        return Ok(placement);
    }
    let (placement, first) = cheaper_placement(relay, call, prompt, tried, Urgency::Late)?;
    let latest_ms = LatestStart::default().max_wait_ms(&LateRequest {
        goal_ms,
        processing_ms: first.processing_ms,
        waited_ms,
        left_ms: call.left_ms(relay.now_ms()) as f64 * USABLE_TIME_FRACTION,
    });
    if first.total_ms() > latest_ms {
        log_too_late(relay, call, prompt, &placement, &first, latest_ms);
        return Err(refuse(call, Reason::TooLate, first.total_ms() - latest_ms));
    }
    record_placement(relay, call, &placement, &first);
    Ok(placement)
}

/// Logs a refusal with the estimates that it rests on, from how many answers they were learned and how old the
/// latest of these is: an estimate that only admitted requests correct shows by its age.
fn log_too_late(
    relay: &Relay,
    call: &Call,
    prompt: &Prompt,
    placement: &Placement,
    first: &Prediction,
    latest_ms: f64,
) {
    let now_ms = relay.now_ms();
    if !relay.failure_log_limit.take(now_ms) {
        return;
    }
    let latency = relay.estimates.latency(now_ms, &call.service);
    let model = &latency.model;
    let (estimate, fixed_ms, learned) = match placement {
        Placement::Disaggregated(_) => (
            "apart",
            model.prefill_base_ms() + model.kv_transfer_ms(),
            [latency.prefill, latency.kv_transfer],
        ),
        Placement::Colocated(_) => (
            "whole",
            model.decode_base_ms(),
            [latency.prefill, latency.decode_prefill],
        ),
    };
    let answers = learned.iter().map(|it| it.answers).min().unwrap_or(0);
    let ages_ms = learned.map(|it| it.age_ms(now_ms).unwrap_or(u64::MAX));
    let answer_age_ms = ages_ms.into_iter().max().unwrap_or(u64::MAX);
    log::info!(
        request = call.id(), wait_ms = first.wait_ms, own_ms = first.processing_ms, latest_ms,
        prompt_tokens = prompt.input_tokens, token_ms = model.token_ms(), estimate, fixed_ms, answers, answer_age_ms;
        "request refused: it would start too late"
    );
}

/// Records the prefill demand of a request, whether or not it will be served.
///
/// Shared parts are left out: while caches are cold every engine prefills them, and a role split
/// computed from that demand would be wrong as soon as the caches are warm.
fn record_demand(relay: &Relay, call: &Call, prompt: &Prompt) {
    let tokens = f64::from(prompt.input_tokens);
    let unshared_tokens = prompt
        .parts
        .last()
        .map_or(tokens, |own| f64::from(own.tokens));
    let now_ms = relay.now_ms();
    let prefill_ms = work_tokens(tokens, tokens - unshared_tokens)
        * relay
            .estimates
            .latency_model(now_ms, &call.service)
            .token_ms();
    relay
        .role_orders
        .record_demand(&call.service, relay.now_ms(), prefill_ms);
}

/// Updates the metrics of a placement: where the prompt is prefilled, how its prefix is cached
/// there, and the predicted wait.
fn record_placement(relay: &Relay, call: &Call, placement: &Placement, first: &Prediction) {
    let (read, is_copied, cached_tokens) = match placement {
        Placement::Disaggregated(prefill) => {
            ("apart", prefill.copy_from.is_some(), prefill.cached_tokens)
        }
        Placement::Colocated(decode) => ("whole", decode.copy_from.is_some(), decode.cached_tokens),
    };
    let held = match (is_copied, cached_tokens > 0.0) {
        (true, _) => "copied",
        (false, true) => "there",
        (false, false) => "nowhere",
    };
    let service = call.service.as_str();
    let placed = relay
        .metrics
        .prompts_placed
        .with_label_values(&[service, read, held]);
    placed.inc();
    let wait = relay.metrics.predicted_wait_s.with_label_values(&[service]);
    wait.observe(first.wait_ms / 1_000.0);
}

/// The cheaper of a colocated and a disaggregated placement, with the predicted time to the first
/// event.
fn cheaper_placement(
    relay: &Relay,
    call: &Call,
    prompt: &Prompt,
    tried: &[String],
    urgency: Urgency,
) -> Result<(Placement, Prediction), Refusal> {
    let colocated = choose_decode_engine(relay, call, prompt, tried, false, urgency)?;
    let tokens = f64::from(prompt.input_tokens);
    let prefill = (tokens >= MIN_DISAGGREGATED_TOKENS)
        .then(|| choose_prefill_engine(relay, call, prompt, tried, urgency))
        .flatten();
    let decode = choose_decode_engine(relay, call, prompt, tried, true, urgency)?.first_event;
    // Interference at the prefill engine only serves to choose among prefill engines. Counting it
    // here would move prefills to decode engines, where they delay short answers.
    let first_event = |placement: &PrefillPlacement| Prediction {
        wait_ms: placement.prefill.wait_ms + decode.wait_ms,
        processing_ms: placement.prefill.processing_ms + decode.processing_ms,
        interference_ms: decode.interference_ms,
    };
    let disaggregated = prefill.map(|placement| (first_event(&placement), placement));
    Ok(match disaggregated {
        Some((first, placement)) if first.cost_ms() < colocated.first_event.cost_ms() => {
            (Placement::Disaggregated(placement), first)
        }
        _ => {
            let first = colocated.first_event;
            (Placement::Colocated(colocated), first)
        }
    })
}

/// Chooses the engine that decodes. `is_prefilled` tells whether the prompt's KV cache will be
/// transferred there, so that no prefill is left to do.
///
/// Called again after a separate prefill, which can take seconds under load; the engine that was
/// best before may be leaving by then.
pub fn choose_decode_engine(
    relay: &Relay,
    call: &Call,
    prompt: &Prompt,
    tried: &[String],
    is_prefilled: bool,
    urgency: Urgency,
) -> Result<DecodePlacement, Refusal> {
    let now_ms = relay.now_ms();
    let tokens = f64::from(prompt.input_tokens);
    let model = relay.estimates.latency_model(now_ms, &call.service);
    let all = candidates(relay, call, tried, &[Stage::Decode, Stage::Whole]);
    let engines = match call.part_trial.get() {
        Some(_) => least_loaded(&all, now_ms),
        None => own_subset(relay, &all),
    };
    let decode_request = DecodeRequest {
        prompt_tokens: tokens,
        slot_turnover_ms: SLOT_TURNOVER_MS,
        gap_goal_ms: call.route.gap_goal_ms as f64,
        event_tokens: f64::from(relay.engine_limits(&call.service).event_tokens.max(1)),
    };
    let holders = PrefixHolders::of(relay, call, prompt);
    let rank = call.rank(urgency);
    let cached = |each: &Rc<Upstream>| {
        if is_prefilled {
            CachedPrefix::whole_prompt(each, prompt)
        } else {
            holders.best_at(each, prompt)
        }
    };
    let predicted = |each: &Rc<Upstream>| {
        let mut first = model.predict_decode(
            &cached(each).engine_view(each, now_ms, rank),
            &decode_request,
        );
        first.interference_ms += connection_cost_ms(each);
        first
    };
    let Some((index, first)) = cheapest(engines.iter().map(predicted)) else {
        return Err(refuse(call, Reason::NoUpstream, NO_UPSTREAM_RETRY_MS));
    };
    let engine = Rc::clone(&engines[index]);
    let cached = cached(&engine);
    Ok(DecodePlacement {
        prefill_tokens: work_tokens(tokens, cached.tokens),
        copy_from: cached.copy_from,
        cached_tokens: cached.tokens,
        engine,
        first_event: first,
        urgency,
    })
}

/// The engine with the least to do: one that may end takes its answers along.
fn least_loaded(engines: &[Rc<Upstream>], now_ms: u64) -> Vec<Rc<Upstream>> {
    let load = |engine: &&Rc<Upstream>| engine.load(now_ms);
    let least = engines
        .iter()
        .min_by(|one, other| load(one).total_cmp(&load(other)));
    least.into_iter().cloned().collect()
}

/// Cost of the connection that a request needs; zero if an idle one is open.
fn connection_cost_ms(upstream: &Upstream) -> f64 {
    if upstream.pool.has_idle() {
        0.0
    } else {
        CONNECTION_COST_MS
    }
}

/// Chooses the engine for a separate prefill, if there is one.
///
/// Candidates are this instance's subset, the prompt's affinity target, and the engines that cache
/// a prefix of it.
fn choose_prefill_engine(
    relay: &Relay,
    call: &Call,
    prompt: &Prompt,
    tried: &[String],
    urgency: Urgency,
) -> Option<PrefillPlacement> {
    let now_ms = relay.now_ms();
    let tokens = f64::from(prompt.input_tokens);
    let model = relay.estimates.latency_model(now_ms, &call.service);
    let all = candidates(relay, call, tried, &[Stage::Prefill]);
    let affinity_target = affinity_target(&all, prompt).map(|each| each.id.clone());
    let holders = PrefixHolders::of(relay, call, prompt);
    let rank = call.rank(urgency);
    let mut engines = own_subset(relay, &all);
    let is_in_subset = |each: &Rc<Upstream>| engines.iter().any(|own| own.id == each.id);
    let has_affinity = |each: &&Rc<Upstream>| {
        Some(&each.id) == affinity_target.as_ref() || holds_prefix(each, prompt)
    };
    let others = all
        .iter()
        .filter(has_affinity)
        .filter(|each| !is_in_subset(each));
    let others: Vec<Rc<Upstream>> = others.cloned().collect();
    engines.extend(others);
    let predicted = |each: &Rc<Upstream>| {
        let cached = holders.best_at(each, prompt);
        let mut prefill = model.predict_prefill(&cached.engine_view(each, now_ms, rank), tokens);
        prefill.interference_ms += connection_cost_ms(each);
        if cached.tokens == 0.0 && Some(&each.id) != affinity_target.as_ref() {
            prefill.interference_ms += prefill.processing_ms * NON_AFFINITY_PENALTY;
        }
        prefill
    };
    let (index, prefill) = cheapest(engines.iter().map(predicted))?;
    let engine = Rc::clone(&engines[index]);
    let cached = holders.best_at(&engine, prompt);
    Some(PrefillPlacement {
        prefill_tokens: work_tokens(tokens, cached.tokens),
        copy_from: cached.copy_from,
        cached_tokens: cached.tokens,
        engine,
        prefill,
        urgency,
    })
}

/// Replaces a refusal for lack of an upstream by one that names the time that is left, if all upstreams that
/// could answer the request asked for rest.
///
/// A caller that is told to come back sooner only comes to be refused again.
pub fn refusal_with_rest(relay: &Relay, call: &Call, refusal: Refusal) -> Refusal {
    if !matches!(refusal.reason, Reason::NoUpstream | Reason::Rejected) {
        return refusal;
    }
    let now_ms = relay.now_ms();
    let upstreams = relay.upstreams.borrow();
    let may_answer = |each: &&Rc<Upstream>| each.stage() != Stage::Prefill;
    let ready = upstreams.ready(&call.service, now_ms).filter(may_answer);
    let Some(rest_ms) = common_rest_ms(ready.map(|each| each.rest_left_ms(now_ms))) else {
        return refusal;
    };
    let jitter_ms = (rest_ms as f64).min(RETRY_AFTER_BOUNDS_MS.1) * (jitter(call) - 1.0);
    Refusal::with_retry_after(Reason::Resting, rest_ms + jitter_ms as u64)
}

/// Factor from 1 to 1.5, by the hash of the attempt's id, so that callers that were refused together do not
/// retry together.
fn jitter(call: &Call) -> f64 {
    1.0 + (call.id_hash % 512) as f64 / 1_024.0
}

/// Builds a refusal with a retry delay of about `wait_ms`, after which capacity is expected.
fn refuse(call: &Call, reason: Reason, wait_ms: f64) -> Refusal {
    let wait_ms = wait_ms.clamp(RETRY_AFTER_BOUNDS_MS.0, RETRY_AFTER_BOUNDS_MS.1) * jitter(call);
    Refusal::with_retry_after(reason, wait_ms as u64)
}
