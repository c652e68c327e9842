//! Serves a request that generates text.

use std::rc::Rc;

use http::{Response, StatusCode};
use view::PrefilledPart;

use crate::answer::{AnswerBody, Refusal};
use crate::attribution::ensure_not_poison;
use crate::awaited::{AwaitedAnswer, AwaitedStep};
use crate::call::Call;
use crate::dialect::{Prompt, PromptPart, SendOptions};
use crate::engine_process::confirm_before_events;
use crate::forward::{buffer_or_stream, may_retry, retry_or_refuse};
use crate::handover::{hand_over, is_handed_over, send_unless_cut_off};
use crate::placement::{self, DecodePlacement, Placement};
use crate::prefill::{PrefilledKv, prefill_separately};
use crate::relay::Relay;
use crate::retry::refuse_rejected;
use crate::send::{SendResult, note_response};
use crate::shares;
use crate::stream::{StreamForwarder, StreamOrigin};
use crate::upstream::{InFlight, MIN_CACHED_TOKENS, PrefillProgress, Upstream, Work};
use crate::urgency::Urgency;
use crate::waiting::{self, wait_for_room};

/// Places a generation, has its prompt prefilled, and streams the output to the caller.
pub async fn generate(
    relay: &Rc<Relay>,
    call: &Rc<Call>,
    prompt: &Prompt,
) -> Result<Response<AnswerBody>, Refusal> {
    let mut tried = Vec::new();
    let mut unreachable_upstreams = 0;
    let mut transferred = None;
    shares::admit(relay, call)?;
    loop {
        let reservation = wait_for_room(relay, call, prompt).await?;
        if is_handed_over(relay, call).await {
            return hand_over(relay, call).await;
        }
        ensure_not_poison(relay, call).await?;
        let (decode, kv) = match transferred.take() {
            // An engine that rejected the request did not fetch the KV cache, so it can be used
            // again. Another prefill would cost time and count against the retry budget.
            Some((kv, urgency)) => (
                choose_decode_engine(relay, call, prompt, &tried, Some(&kv), urgency)?,
                Some(kv),
            ),
            None => place_and_prefill(relay, call, prompt, &tried).await?,
        };
        ensure_not_poison(relay, call).await?;
        if is_handed_over(relay, call).await {
            return hand_over(relay, call).await;
        }
        // Nothing has run yet, but a failed separate prefill has reached the service and counts as a
        // send.
        if !relay.may_send(call) {
            return Err(refuse_rejected());
        }
        // From here on the load of the engine counts the request.
        drop(reservation);
        let (sent, guard, is_transferred) =
            send_to_decode(relay, call, prompt, &decode, kv.as_ref()).await;
        let is_full = matches!(sent, SendResult::NotRun(_))
            && decode.engine.is_known_full(relay.now_ms())
            && waiting::is_enabled(relay, &call.service);
        // A full engine may be asked again once it reports room.
        if !is_full {
            tried.push(decode.engine.id.clone());
        }
        let failure = match sent {
            SendResult::Answer(checked) if checked.response.status() == StatusCode::OK => {
                let exchanged = (checked.response, checked.connection);
                let origin = StreamOrigin::Engine(guard);
                return Ok(StreamForwarder::start(
                    relay, call, exchanged, origin, tried,
                ));
            }
            SendResult::HandedOver(response) => return Ok(*response),
            SendResult::Answer(checked) => {
                // If no other engine can answer, the caller gets this error, which is more specific
                // than a refusal.
                let has_other = call.route.is_retryable()
                    && placement::choose_decode_engine(
                        relay,
                        call,
                        prompt,
                        &tried,
                        false,
                        decode.urgency,
                    )
                    .is_ok();
                if has_other && may_retry(relay, call) {
                    continue;
                }
                return buffer_or_stream(relay, call, *checked, guard).await;
            }
            failed => failed.failure(),
        };
        let reusable = kv.filter(|kv| is_transferred && kv.is_available());
        transferred = reusable.map(|kv| (kv, decode.urgency));
        if is_full {
            waiting::requeue(relay, call)?;
        } else {
            retry_or_refuse(relay, call, failure, &mut unreachable_upstreams)?;
        }
    }
}

/// Places a generation and runs the separate prefill if the placement has one.
async fn place_and_prefill(
    relay: &Rc<Relay>,
    call: &Rc<Call>,
    prompt: &Prompt,
    tried: &[String],
) -> Result<(DecodePlacement, Option<PrefilledKv>), Refusal> {
    match placement::place_generation(relay, call, prompt, tried)? {
        Placement::Colocated(decode) => Ok((decode, None)),
        Placement::Disaggregated(prefill) if !relay.may_prefill_separately(call) => {
            let decode = choose_decode_engine(relay, call, prompt, tried, None, prefill.urgency)?;
            Ok((decode, None))
        }
        Placement::Disaggregated(prefill) => {
            let kv = prefill_separately(relay, call, prompt, &prefill).await;
            let decode =
                choose_decode_engine(relay, call, prompt, tried, kv.as_ref(), prefill.urgency)?;
            Ok((decode, kv))
        }
    }
}

/// Chooses the decode engine after a separate prefill, whether or not it succeeded.
fn choose_decode_engine(
    relay: &Relay,
    call: &Call,
    prompt: &Prompt,
    tried: &[String],
    kv: Option<&PrefilledKv>,
    urgency: Urgency,
) -> Result<DecodePlacement, Refusal> {
    placement::choose_decode_engine(relay, call, prompt, tried, kv.is_some(), urgency)
}

/// Sends a generation to its decode engine. The flag tells whether the last send offered the
/// transferred KV cache.
async fn send_to_decode(
    relay: &Rc<Relay>,
    call: &Rc<Call>,
    prompt: &Prompt,
    placement: &DecodePlacement,
    kv: Option<&PrefilledKv>,
) -> (SendResult, InFlight, bool) {
    let predicted_ms = placement.first_event.total_ms();
    let rank = call.rank(placement.urgency);
    let guard = InFlight::begin(
        &placement.engine,
        relay.now_ms(),
        Work {
            prefill_tokens: placement.prefill_tokens,
            context_tokens: f64::from(prompt.input_tokens),
            rank,
        },
    );
    guard.expect_answer(predicted_ms, placement.time_factor);
    let copy_from = placement.copy_from.as_ref().map(|holder| holder.address);
    let held_tokens = placement.cached_tokens;
    let first = placement.first_event;
    let engine = &placement.engine;
    let mut options = SendOptions {
        instance: &engine.id,
        deadline_ms: call.left_ms(relay.now_ms()),
        priority: Some(rank),
        kv: kv.map(|kv| &kv.handle),
        copy_from,
        last_event: call.head.last_event,
        ..SendOptions::default()
    };
    confirm_before_events(relay, engine);
    let began_ms = relay.now_ms();
    let mut is_transferred = kv.is_some();
    let awaited = AwaitedAnswer::begin(
        relay,
        call,
        engine,
        AwaitedStep::FirstEvent {
            predicted: first,
            is_transferred,
        },
        placement.time_factor,
    );
    let mut sent = send_unless_cut_off(relay, call, engine, &options).await;
    awaited.end();
    if let Some(kv) = kv {
        match sent {
            SendResult::Answer(_) | SendResult::Lost(_) | SendResult::HandedOver(_) => {
                kv.mark_taken();
            }
            SendResult::NotRun(StatusCode::SERVICE_UNAVAILABLE)
                if engine.accepts_requests(relay.now_ms())
                    && relay.may_send_again(call)
                    && relay.may_send(call) =>
            {
                // The KV cache expired or could not be fetched. The same engine can still do the
                // prefill itself.
                options.kv = None;
                is_transferred = false;
                options.deadline_ms = call.left_ms(relay.now_ms());
                sent = send_unless_cut_off(relay, call, engine, &options).await;
            }
            SendResult::NotRun(_) | SendResult::Unsent(_) => {}
        }
    }
    note_response(relay, &guard, &sent);
    if let SendResult::Answer(checked) = &sent {
        waiting::note_accepted(relay, engine, checked.head.load);
        guard.note_prefilled();
        record_cached_parts(relay, call, prompt, engine, PrefillProgress::Done);
        let took_ms = (relay.now_ms() - began_ms) as f64;
        if relay.success_log_limit.take(relay.now_ms()) {
            log::info!(
                request = call.id(), upstream = engine.id, predicted_ms, took_ms, apart = is_transferred,
                time_factor = placement.time_factor,
                prompt_tokens = prompt.input_tokens, held_tokens,
                load = engine.load(relay.now_ms()); "generation started"
            );
        }
        if !relay.was_cut_off_since(&call.service, began_ms) {
            relay.estimates.observe_first_event(
                relay.now_ms(),
                &call.service,
                &first.at_usual_speed(placement.time_factor),
                is_transferred,
                took_ms / placement.time_factor,
            );
            let predicted_ms = predicted_ms.max(call.route.goal_ms as f64 / 2.0);
            engine.note_answer(relay.now_ms(), predicted_ms, took_ms);
        }
    }
    (sent, guard, is_transferred)
}

/// Records that an engine is prefilling or has prefilled a prompt, here and for gossip to peers.
///
/// It is recorded as soon as the prompt is sent, so that the next request with the same part goes to
/// this engine instead of being prefilled elsewhere too. Later uses are gossiped as well, since
/// engines evict the least recently used parts.
pub fn record_cached_parts(
    relay: &Relay,
    call: &Call,
    prompt: &Prompt,
    engine: &Upstream,
    progress: PrefillProgress,
) {
    let kv_tokens = relay.engine_limits(&call.service).kv_tokens;
    let is_tracked = |part: &&PromptPart| part.tokens >= MIN_CACHED_TOKENS;
    for part in prompt.parts.iter().filter(is_tracked) {
        let is_gossiped = progress == PrefillProgress::Done || engine.cached_tokens(part.id) == 0.0;
        let tokens = f64::from(part.tokens);
        engine.note_cached_part(part.id, tokens, progress, kv_tokens as f64);
        if is_gossiped {
            relay.unannounced_parts.borrow_mut().push(PrefilledPart {
                upstream: engine.key,
                part: part.id,
                tokens: part.tokens,
                progress,
            });
        }
    }
}
