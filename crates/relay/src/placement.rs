//! Which upstream a request goes to, from what this instance sees of all.
//!
//! The reckoning itself is in `plan`; here it is fed with the upstreams at hand.

use std::rc::Rc;

use plan::{
    DecodeRequest, HealthStatus, LateRequest, LatestStart, Prediction, cheapest, work_tokens,
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

/// Prompts with fewer tokens to read are not worth reading apart and moving, in tokens: moving
/// costs a request of its own and some ms of set-up.
const MIN_DISAGGREGATED_TOKENS: f64 = 150.0;

/// Time of a plain service's answer before any was seen, in ms: the usual work of the services
/// served today.
pub const DEFAULT_ANSWER_MS: f64 = 15.0;

/// Part of an answer's time that a full set of places adds to it, before anything waits.
const FULL_LOAD_SLOWDOWN: f64 = 0.3;

/// Time that a place in a full batch takes to come free, in ms.
const SLOT_WAIT_MS: f64 = 250.0;

/// Share of an objective up to which a prediction counts as on time.
const ON_TIME_FRACTION: f64 = 1.0;

/// How much more a prompt whose shared part nobody has read yet seems to cost where it is not at
/// home, so that instances which see its first requests at once choose the same engine.
const NON_AFFINITY_PENALTY: f64 = 0.3;

/// What a new connection weighs where engines are else alike, in ms: a round trip across zones and its
/// set-up at the upstream, which is priced.
const CONNECTION_COST_MS: f64 = 5.0;

/// Share of the time left that a prediction may use up.
const USABLE_TIME_FRACTION: f64 = 0.8;

/// Time after which a caller is asked back when no upstream is there, in ms: the list of upstreams
/// is read about twice in that time by the instances together.
const NO_UPSTREAM_RETRY_MS: f64 = 300.0;

/// Bounds of the time after which a refused caller is asked back, in ms.
const RETRY_AFTER_BOUNDS_MS: (f64, f64) = (80.0, 900.0);

/// Where a generation goes first.
#[derive(Clone)]
pub enum Placement {
    /// An engine reads the prompt, and another one makes the output from its KV cache.
    Disaggregated(PrefillPlacement),
    /// One engine does both.
    Colocated(DecodePlacement),
}

/// Engine that reads a prompt.
#[derive(Clone)]
pub struct PrefillPlacement {
    /// The engine.
    pub engine: Rc<Upstream>,
    /// Engine from which it copies the prompt's start.
    pub copy_from: Option<Rc<Upstream>>,
    /// Tokens of the prompt that it need not read.
    pub cached_tokens: f64,
    /// Work of reading the rest there, in tokens.
    pub prefill_tokens: f64,
    /// Predicted time until it is read.
    pub prefill: Prediction,
    /// Whether it can be on time.
    pub urgency: Urgency,
}

/// Engine that makes output.
#[derive(Clone)]
pub struct DecodePlacement {
    /// The engine.
    pub engine: Rc<Upstream>,
    /// Engine from which it copies the prompt's start.
    pub copy_from: Option<Rc<Upstream>>,
    /// Tokens of the prompt that it need not read.
    pub cached_tokens: f64,
    /// Work of reading what it then lacks of the prompt, in tokens.
    pub prefill_tokens: f64,
    /// Predicted time to the first event.
    pub first_event: Prediction,
    /// Whether it can be on time.
    pub urgency: Urgency,
}

/// The engines of this instance among all of a stage.
fn own_subset(relay: &Relay, all: &[Rc<Upstream>]) -> Vec<Rc<Upstream>> {
    let own = InstanceKey::of(&relay.settings.borrow().name);
    engine_subset(own, all, |engine| engine.id.as_str())
}

/// Upstreams of a service that may be tried, the fit ones if there are any.
fn candidates(relay: &Relay, call: &Call, tried: &[String], stages: &[Stage]) -> Vec<Rc<Upstream>> {
    let now_ms = relay.now_ms();
    let upstreams = relay.upstreams.borrow();
    let all: Vec<Rc<Upstream>> = upstreams
        .ready(&call.service, now_ms)
        .filter(|each| stages.contains(&each.stage()) && !tried.contains(&each.id))
        .filter(|each| !each.is_changing_role(now_ms) && relay.has_rate_capacity(each))
        .cloned()
        .collect();
    // A probe may meet a failing upstream, so only what can be repeated is spent on it.
    let may_probe = call.route.is_retryable();
    let fit = |each: &&Rc<Upstream>| match each.verdict(now_ms) {
        HealthStatus::Healthy => true,
        HealthStatus::Probe => may_probe,
        HealthStatus::Ejected => false,
    };
    let fit: Vec<Rc<Upstream>> = all.iter().filter(fit).cloned().collect();
    // A slow answer is better than none: with nobody fit, all are tried.
    if fit.is_empty() { all } else { fit }
}

/// Chooses for a request that generates nothing.
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
            processing_ms: 2.0 * each.distance_ms + answer_ms,
            interference_ms: 0.0,
        }
    };
    let Some((at, time)) = cheapest(all.iter().map(predicted)) else {
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
    Ok(Rc::clone(&all[at]))
}

/// Chooses for a request that generates text, or refuses it if it would come too late.
///
/// Load pattern: long prompts come at five times the usual rate for some seconds. In one queue
/// all of them would be late. Those that can still start within their objective go first, and the
/// others get what these leave, up to their deadlines; so as many are served, and more of them
/// on time.
pub fn place_generation(
    relay: &Relay,
    call: &Call,
    prompt: &Prompt,
    tried: &[String],
) -> Result<Placement, Refusal> {
    if tried.is_empty() {
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
        if relay.failure_log_limit.take(relay.now_ms()) {
            log::info!(
                request = call.id(), wait_ms = first.wait_ms, own_ms = first.processing_ms, latest_ms,
                prompt_tokens = prompt.input_tokens, token_ms = relay.learned.pace(&call.service).token_ms();
                "would start too late"
            );
        }
        return Err(refuse(call, Reason::TooLate, first.total_ms() - latest_ms));
    }
    record_placement(relay, call, &placement, &first);
    Ok(placement)
}

/// Counts what a request asks of the engines, whether it will be served or not.
///
/// Shared parts are left out. While caches are cold they are read everywhere, and the split that
/// would suit those seconds is wrong for all that follow.
fn record_demand(relay: &Relay, call: &Call, prompt: &Prompt) {
    let tokens = f64::from(prompt.input_tokens);
    let own_tokens = prompt
        .parts
        .last()
        .map_or(tokens, |own| f64::from(own.tokens));
    let read_ms =
        work_tokens(tokens, tokens - own_tokens) * relay.learned.pace(&call.service).token_ms();
    relay
        .role_orders
        .record_demand(&call.service, relay.now_ms(), read_ms);
}

/// Counts where a prompt is read, what is held of it there, and the wait that is expected.
fn record_placement(relay: &Relay, call: &Call, placement: &Placement, first: &Prediction) {
    let (read, copies, held_tokens) = match placement {
        Placement::Disaggregated(reader) => {
            ("apart", reader.copy_from.is_some(), reader.cached_tokens)
        }
        Placement::Colocated(maker) => ("whole", maker.copy_from.is_some(), maker.cached_tokens),
    };
    let held = match (copies, held_tokens > 0.0) {
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

fn cheaper_placement(
    relay: &Relay,
    call: &Call,
    prompt: &Prompt,
    tried: &[String],
    urgency: Urgency,
) -> Result<(Placement, Prediction), Refusal> {
    let whole = choose_decode_engine(relay, call, prompt, tried, false, urgency)?;
    let tokens = f64::from(prompt.input_tokens);
    let apart = (tokens >= MIN_DISAGGREGATED_TOKENS)
        .then(|| choose_prefill_engine(relay, call, prompt, tried, urgency))
        .flatten();
    let after = choose_decode_engine(relay, call, prompt, tried, true, urgency)?.first_event;
    // What a part displaces at the engine that reads apart decides among such engines only. Counted
    // here it would send more reads beside output, where they make short answers late.
    let first_of = |reader: &PrefillPlacement| Prediction {
        wait_ms: reader.prefill.wait_ms + after.wait_ms,
        processing_ms: reader.prefill.processing_ms + after.processing_ms,
        interference_ms: after.interference_ms,
    };
    let apart = apart.map(|reader| (first_of(&reader), reader));
    Ok(match apart {
        Some((first, reader)) if first.cost_ms() < whole.first_event.cost_ms() => {
            (Placement::Disaggregated(reader), first)
        }
        _ => {
            let first = whole.first_event;
            (Placement::Colocated(whole), first)
        }
    })
}

/// Chooses the engine that makes the output, for a prompt that was read or not.
///
/// After a prompt was read apart this is asked again: reading takes up to seconds in a rush, and
/// an engine that looked best before may be leaving by then.
pub fn choose_decode_engine(
    relay: &Relay,
    call: &Call,
    prompt: &Prompt,
    tried: &[String],
    is_read: bool,
    urgency: Urgency,
) -> Result<DecodePlacement, Refusal> {
    let now_ms = relay.now_ms();
    let tokens = f64::from(prompt.input_tokens);
    let pace = relay.learned.pace(&call.service);
    let makers = own_subset(
        relay,
        &candidates(relay, call, tried, &[Stage::Decode, Stage::Whole]),
    );
    let ask = DecodeRequest {
        prompt_tokens: tokens,
        slot_turnover_ms: SLOT_WAIT_MS,
        gap_goal_ms: call.route.gap_goal_ms as f64,
        event_tokens: f64::from(relay.engine_limits(&call.service).event_tokens.max(1)),
    };
    let holders = PrefixHolders::of(relay, call, prompt);
    let rank = call.rank(urgency);
    let start = |each: &Rc<Upstream>| {
        if is_read {
            CachedPrefix::whole_prompt(each, prompt)
        } else {
            holders.best_at(each, prompt)
        }
    };
    let predicted = |each: &Rc<Upstream>| {
        let mut first = pace.predict_decode(&start(each).engine_view(each, now_ms, rank), &ask);
        first.interference_ms += connection_cost_ms(each);
        first
    };
    let Some((at, first)) = cheapest(makers.iter().map(predicted)) else {
        return Err(refuse(call, Reason::NoUpstream, NO_UPSTREAM_RETRY_MS));
    };
    let engine = Rc::clone(&makers[at]);
    let start = start(&engine);
    Ok(DecodePlacement {
        prefill_tokens: work_tokens(tokens, start.tokens),
        copy_from: start.copy_from,
        cached_tokens: start.tokens,
        engine,
        first_event: first,
        urgency,
    })
}

/// What opening a connection costs the upstream and the callers, who pay for it.
fn connection_cost_ms(upstream: &Upstream) -> f64 {
    if upstream.pool.has_idle() {
        0.0
    } else {
        CONNECTION_COST_MS
    }
}

/// Chooses the engine that reads a prompt apart.
fn choose_prefill_engine(
    relay: &Relay,
    call: &Call,
    prompt: &Prompt,
    tried: &[String],
    urgency: Urgency,
) -> Option<PrefillPlacement> {
    let now_ms = relay.now_ms();
    let tokens = f64::from(prompt.input_tokens);
    let pace = relay.learned.pace(&call.service);
    let all = candidates(relay, call, tried, &[Stage::Prefill]);
    let affinity_target = affinity_target(&all, prompt).map(|each| each.id.clone());
    let holders = PrefixHolders::of(relay, call, prompt);
    let rank = call.rank(urgency);
    let mut readers = own_subset(relay, &all);
    let is_near = |each: &Rc<Upstream>| readers.iter().any(|near| near.id == each.id);
    let meets = |each: &&Rc<Upstream>| {
        Some(&each.id) == affinity_target.as_ref() || holds_prefix(each, prompt)
    };
    let others = all.iter().filter(meets).filter(|each| !is_near(each));
    let others: Vec<Rc<Upstream>> = others.cloned().collect();
    readers.extend(others);
    let all = readers;
    let predicted = |each: &Rc<Upstream>| {
        let start = holders.best_at(each, prompt);
        let mut read = pace.predict_prefill(&start.engine_view(each, now_ms, rank), tokens);
        read.interference_ms += connection_cost_ms(each);
        if start.tokens == 0.0 && Some(&each.id) != affinity_target.as_ref() {
            read.interference_ms += read.processing_ms * NON_AFFINITY_PENALTY;
        }
        read
    };
    let (at, read) = cheapest(all.iter().map(predicted))?;
    let engine = Rc::clone(&all[at]);
    let start = holders.best_at(&engine, prompt);
    Some(PrefillPlacement {
        prefill_tokens: work_tokens(tokens, start.tokens),
        copy_from: start.copy_from,
        cached_tokens: start.tokens,
        engine,
        prefill: read,
        urgency,
    })
}

/// A refusal, with the time after which a place is expected.
///
/// The time is stretched by up to a half from the request's own draw, so that callers who were
/// refused together do not come back together.
fn refuse(call: &Call, reason: Reason, wait_ms: f64) -> Refusal {
    let spread = 1.0 + (call.id_hash % 512) as f64 / 1_024.0;
    let wait_ms = wait_ms.clamp(RETRY_AFTER_BOUNDS_MS.0, RETRY_AFTER_BOUNDS_MS.1) * spread;
    Refusal::with_retry_after(reason, wait_ms as u64)
}
