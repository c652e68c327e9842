//! Chooses the upstreams that serve a request, from this instance's view of the fleet.
//!
//! The cost model is in `plan`; this module collects its input and picks the cheapest candidate.

mod candidates;
mod engines;
mod plain;
mod record;
mod refusal;

use std::rc::Rc;

use plan::{LateRequest, LatestStart, Prediction};

pub use self::candidates::engines_with_slots;
pub(crate) use self::engines::SLOT_TURNOVER_MS;
pub use self::engines::choose_decode_engine;
use self::engines::choose_prefill_engine;
pub use self::plain::choose_upstream;
pub use self::record::record_demand;
use self::record::record_placement;
pub(crate) use self::refusal::jitter;
pub use self::refusal::refusal_with_rest;
use self::refusal::{log_too_late, refuse};
use crate::answer::{Reason, Refusal};
use crate::call::Call;
use crate::dialect::Prompt;
use crate::relay::Relay;
use crate::upstream::Upstream;
use crate::urgency::Urgency;

/// Shortest prompt that may be prefilled on a separate engine, in tokens. Transferring the KV cache
/// takes another request and a few ms of setup, which shorter prompts do not repay.
const MIN_DISAGGREGATED_TOKENS: f64 = 150.0;

/// Assumed answer time of a service without generation until an answer has been observed, in ms; about
/// what such services usually need.
pub const DEFAULT_ANSWER_MS: f64 = 15.0;

/// Fraction of the objective within which a predicted first event counts as on time.
const ON_TIME_FRACTION: f64 = 1.0;

/// Fraction of the remaining time that a prediction may use.
const USABLE_TIME_FRACTION: f64 = 0.8;

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
    /// Cost of sending the body to its zone, in ms.
    pub crossing_ms: f64,
    /// Predicted time until the prefill is complete.
    pub prefill: Prediction,
    /// The engine's time factor in that prediction.
    pub time_factor: f64,
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
    /// The engine's time factor in that prediction.
    pub time_factor: f64,
    /// Whether the request can meet its objective.
    pub urgency: Urgency,
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
    record_demand(relay, call, prompt);
    let goal_ms = call.route.goal_ms as f64;
    let waited_ms = call.prior_wait_ms as f64;
    let queued_ms = call.queued_ms.get() as f64;
    let (placement, first) = cheaper_placement(relay, call, prompt, tried, Urgency::OnTime)?;
    if first.total_ms() <= goal_ms * ON_TIME_FRACTION - waited_ms - queued_ms {
        record_placement(relay, call, &placement, &first);
        return Ok(placement);
    }
    let (placement, first) = cheaper_placement(relay, call, prompt, tried, Urgency::Late)?;
    let left_ms = call.left_ms(relay.now_ms()) as f64 * USABLE_TIME_FRACTION;
    let latest_ms = LatestStart::default().max_wait_ms(&LateRequest {
        goal_ms,
        processing_ms: first.processing_ms,
        waited_ms,
        left_ms: left_ms + queued_ms,
    }) - queued_ms;
    if first.total_ms() > latest_ms {
        log_too_late(relay, call, prompt, &placement, &first, latest_ms);
        return Err(refuse(call, Reason::TooLate, first.total_ms() - latest_ms));
    }
    record_placement(relay, call, &placement, &first);
    Ok(placement)
}

/// Predicted time of a generation itself, without waiting, at the engines that would serve it now.
pub fn processing_ms(relay: &Relay, call: &Call, prompt: &Prompt) -> Result<f64, Refusal> {
    let (_, first) = cheaper_placement(relay, call, prompt, &[], Urgency::OnTime)?;
    Ok(first.processing_ms)
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
        interference_ms: decode.interference_ms + placement.crossing_ms,
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
