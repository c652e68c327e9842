//! Refusals of requests that cannot be placed, and when their callers are told to retry.

use std::rc::Rc;

use plan::{Prediction, common_rest_ms};

use super::Placement;
use crate::answer::{Reason, Refusal};
use crate::call::Call;
use crate::dialect::Prompt;
use crate::relay::Relay;
use crate::upstream::{Stage, Upstream};

/// Retry delay sent to callers when no upstream is available, in ms. The instances together read the
/// list of upstreams about twice in this time.
pub(super) const NO_UPSTREAM_RETRY_MS: f64 = 300.0;

/// Lower and upper bound of the retry delay sent with a refusal, in ms, before jitter.
const RETRY_AFTER_BOUNDS_MS: (f64, f64) = (80.0, 900.0);

/// Logs a refusal with the estimates that it rests on, from how many answers they were learned and how old the
/// latest of these is: an estimate that only admitted requests correct shows by its age.
pub(super) fn log_too_late(
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
pub(crate) fn jitter(call: &Call) -> f64 {
    1.0 + (call.id_hash % 512) as f64 / 1_024.0
}

/// Builds a refusal with a retry delay of about `wait_ms`, after which capacity is expected.
pub(super) fn refuse(call: &Call, reason: Reason, wait_ms: f64) -> Refusal {
    let wait_ms = wait_ms.clamp(RETRY_AFTER_BOUNDS_MS.0, RETRY_AFTER_BOUNDS_MS.1) * jitter(call);
    Refusal::with_retry_after(reason, wait_ms as u64)
}
