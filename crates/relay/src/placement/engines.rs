//! Choice of the engines that prefill and decode.

use std::rc::Rc;

use plan::{DecodeRequest, PlacedStep, work_tokens};

use super::candidates::{candidates, least_loaded, own_subset, subset_with_room};
use super::refusal::{NO_UPSTREAM_RETRY_MS, refuse};
use super::{DecodePlacement, PrefillPlacement};
use crate::answer::{Reason, Refusal};
use crate::call::Call;
use crate::dialect::Prompt;
use crate::prefix::{CachedPrefix, PrefixHolders, affinity_target, holds_prefix};
use crate::relay::Relay;
use crate::upstream::{Stage, Upstream};
use crate::urgency::Urgency;
use crate::zone_cost::{ZoneRequest, cheapest_engine, crossing_to_ms};

/// Time until a slot of a full batch becomes free, in ms.
pub(crate) const SLOT_TURNOVER_MS: f64 = 250.0;

/// Fraction of the prefill time that is added to the cost of an engine which caches nothing of the
/// prompt and is not its affinity target. Instances that receive the first requests of a new prefix
/// at the same time then choose the same engine.
const NON_AFFINITY_PENALTY: f64 = 0.3;

/// Cost of opening a connection when engines are compared, in ms: a round trip between zones and the
/// setup at the upstream, which is billed.
const CONNECTION_COST_MS: f64 = 5.0;

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
        None if call.needs_room.get() => subset_with_room(relay, &call.service, &all),
        None => own_subset(relay, &call.service, &all),
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
    let step = if is_prefilled {
        PlacedStep::Decode
    } else {
        PlacedStep::Whole
    };
    let placements = engines
        .iter()
        .map(|each| (each.zone.as_str(), predicted(each)));
    let Some((index, first)) =
        cheapest_engine(relay, now_ms, &zone_request(call, step, now_ms), placements)
    else {
        return Err(refuse(call, Reason::NoUpstream, NO_UPSTREAM_RETRY_MS));
    };
    let engine = Rc::clone(&engines[index]);
    let cached = cached(&engine);
    Ok(DecodePlacement {
        prefill_tokens: work_tokens(tokens, cached.tokens),
        copy_from: cached.copy_from,
        cached_tokens: cached.tokens,
        time_factor: engine.time_factor(now_ms),
        engine,
        first_event: first,
        urgency,
    })
}

fn zone_request(call: &Call, step: PlacedStep, now_ms: u64) -> ZoneRequest<'_> {
    ZoneRequest {
        service: &call.service,
        body_bytes: call.body_bytes(),
        left_ms: call.left_to_goal_ms(now_ms),
        step,
    }
}

/// Cost of the connection that a request needs; zero if an idle one is open.
pub(super) fn connection_cost_ms(upstream: &Upstream) -> f64 {
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
pub(super) fn choose_prefill_engine(
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
    let mut engines = own_subset(relay, &call.service, &all);
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
    let placements = engines
        .iter()
        .map(|each| (each.zone.as_str(), predicted(each)));
    let (index, prefill) = cheapest_engine(
        relay,
        now_ms,
        &zone_request(call, PlacedStep::Prefill, now_ms),
        placements,
    )?;
    let engine = Rc::clone(&engines[index]);
    let cached = holders.best_at(&engine, prompt);
    Some(PrefillPlacement {
        prefill_tokens: work_tokens(tokens, cached.tokens),
        copy_from: cached.copy_from,
        cached_tokens: cached.tokens,
        time_factor: engine.time_factor(now_ms),
        crossing_ms: crossing_to_ms(relay, &call.service, call.body_bytes(), &engine.zone),
        engine,
        prefill,
        urgency,
    })
}
