//! The walk of a request that generates text.

use std::rc::Rc;

use http::{Response, StatusCode};
use view::PrefilledPart;

use crate::answer::{AnswerBody, Refusal};
use crate::attribution::ensure_not_poison;
use crate::call::Call;
use crate::dialect::{Prompt, PromptPart, SendOptions};
use crate::forward::{buffer_or_stream, may_retry, retry_or_refuse};
use crate::placement::{self, DecodePlacement, Placement};
use crate::prefill::{PrefilledKv, prefill_separately};
use crate::relay::Relay;
use crate::retry::refuse_rejected;
use crate::send::{SendResult, note_response, send};
use crate::stream::StreamForwarder;
use crate::upstream::{InFlight, MIN_CACHED_TOKENS, PrefillProgress, Upstream, Work};
use crate::urgency::Urgency;

/// Places, sends and answers it.
pub async fn generate(
    relay: &Rc<Relay>,
    call: &Rc<Call>,
    prompt: &Prompt,
) -> Result<Response<AnswerBody>, Refusal> {
    let mut tried = Vec::new();
    let mut unreached = 0;
    let mut read = None;
    loop {
        ensure_not_poison(relay, call).await?;
        let (maker, kv) = match read.take() {
            // An engine that rejected the cache left it where it was; reading the prompt once more
            // would cost a second time and count as a repeat.
            Some((kv, urgency)) => (
                choose_decode_engine(relay, call, prompt, &tried, Some(&kv), urgency)?,
                Some(kv),
            ),
            None => place_and_prefill(relay, call, prompt, &tried).await?,
        };
        ensure_not_poison(relay, call).await?;
        // Nothing has run: a prompt that was to be read apart, and was not, has reached its service all the same.
        if !relay.may_send(call) {
            return Err(refuse_rejected());
        }
        let (sent, guard, is_transferred) =
            send_to_decode(relay, call, prompt, &maker, kv.as_ref()).await;
        tried.push(maker.engine.id.clone());
        let outcome = match sent {
            SendResult::Answer(checked) if checked.response.status() == StatusCode::OK => {
                return Ok(StreamForwarder::start(relay, call, *checked, guard, tried));
            }
            SendResult::Answer(checked) => {
                // The engine's own failure is worth more to the caller than our refusal.
                let has_other = call.route.is_retryable()
                    && placement::choose_decode_engine(
                        relay,
                        call,
                        prompt,
                        &tried,
                        false,
                        maker.urgency,
                    )
                    .is_ok();
                if has_other && may_retry(relay, call) {
                    continue;
                }
                return buffer_or_stream(relay, call, *checked, guard).await;
            }
            unanswered => unanswered.failure(),
        };
        let kept = kv.filter(|kv| is_transferred && kv.is_available());
        read = kept.map(|kv| (kv, maker.urgency));
        retry_or_refuse(relay, call, outcome, &mut unreached)?;
    }
}

/// Places it, and has its prompt read apart if that is where it goes.
async fn place_and_prefill(
    relay: &Rc<Relay>,
    call: &Rc<Call>,
    prompt: &Prompt,
    tried: &[String],
) -> Result<(DecodePlacement, Option<PrefilledKv>), Refusal> {
    match placement::place_generation(relay, call, prompt, tried)? {
        Placement::Colocated(maker) => Ok((maker, None)),
        Placement::Disaggregated(reader) if !relay.may_prefill_apart(call) => {
            let maker = choose_decode_engine(relay, call, prompt, tried, None, reader.urgency)?;
            Ok((maker, None))
        }
        Placement::Disaggregated(reader) => {
            let kv = prefill_separately(relay, call, prompt, &reader).await;
            let maker =
                choose_decode_engine(relay, call, prompt, tried, kv.as_ref(), reader.urgency)?;
            Ok((maker, kv))
        }
    }
}

/// The engine for the output of a prompt that was read apart, or should have been.
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

/// Sends a generation to the engine that makes its output; also tells whether the KV cache was still
/// offered in the end.
async fn send_to_decode(
    relay: &Rc<Relay>,
    call: &Rc<Call>,
    prompt: &Prompt,
    maker: &DecodePlacement,
    kv: Option<&PrefilledKv>,
) -> (SendResult, InFlight, bool) {
    let predicted_ms = maker.first_event.total_ms();
    let rank = call.rank(maker.urgency);
    let guard = InFlight::begin(
        &maker.engine,
        relay.now_ms(),
        Work {
            prefill_tokens: maker.prefill_tokens,
            context_tokens: f64::from(prompt.input_tokens),
            rank,
        },
    );
    let copy_from = maker.copy_from.as_ref().map(|holder| holder.address);
    let held_tokens = maker.cached_tokens;
    let first = maker.first_event;
    let maker = &maker.engine;
    let mut sending = SendOptions {
        instance: &maker.id,
        deadline_ms: call.left_ms(relay.now_ms()),
        priority: Some(rank),
        kv: kv.map(|kv| &kv.handle),
        copy_from,
        last_event: call.head.last_event,
        ..SendOptions::default()
    };
    let began_ms = relay.now_ms();
    let mut sent = send(relay, call, maker, &sending).await;
    let mut is_transferred = kv.is_some();
    if let Some(kv) = kv {
        match sent {
            SendResult::Answer(_) | SendResult::Lost(_) => kv.mark_taken(),
            SendResult::NotRun(StatusCode::SERVICE_UNAVAILABLE)
                if relay.check_poison(call).is_ok() && relay.may_send(call) =>
            {
                // The handle lapsed or could not be fetched. The same engine can still read the
                // prompt itself.
                sending.kv = None;
                is_transferred = false;
                sending.deadline_ms = call.left_ms(relay.now_ms());
                sent = send(relay, call, maker, &sending).await;
            }
            SendResult::NotRun(_) | SendResult::Unsent(_) => {}
        }
    }
    note_response(relay, &guard, &sent);
    if let SendResult::Answer(_) = &sent {
        guard.note_prefilled();
        record_cached_parts(relay, call, prompt, maker, PrefillProgress::Done);
        let took_ms = (relay.now_ms() - began_ms) as f64;
        if relay.success_log_limit.take(relay.now_ms()) {
            log::info!(
                request = call.id(), upstream = maker.id, predicted_ms, took_ms, apart = is_transferred,
                prompt_tokens = prompt.input_tokens, held_tokens,
                load = maker.load(relay.now_ms()); "output begun"
            );
        }
        relay
            .learned
            .observe_first_event(&call.service, &first, is_transferred, took_ms);
        let predicted_ms = predicted_ms.max(call.route.goal_ms as f64 / 2.0);
        maker.note_answer(relay.now_ms(), predicted_ms, took_ms);
    }
    (sent, guard, is_transferred)
}

/// Notes that an engine is reading or has read a prompt, here and for the other instances.
///
/// It is noted as soon as the prompt is on its way: who asks next for the same part finds it read
/// by then, or waits for it there instead of having it read twice. Each later use is told too,
/// since engines drop what was used least recently.
pub fn record_cached_parts(
    relay: &Relay,
    call: &Call,
    prompt: &Prompt,
    engine: &Upstream,
    reading: PrefillProgress,
) {
    let kv_tokens = relay.engine_limits(&call.service).kv_tokens;
    let long = |part: &&PromptPart| part.tokens >= MIN_CACHED_TOKENS;
    for part in prompt.parts.iter().filter(long) {
        let is_news = reading == PrefillProgress::Done || engine.cached_tokens(part.id) == 0.0;
        let tokens = f64::from(part.tokens);
        engine.note_cached_part(part.id, tokens, reading, kv_tokens as f64);
        if is_news {
            relay.prefix_news.borrow_mut().push(PrefilledPart {
                upstream: engine.key,
                part: part.id,
                tokens: part.tokens,
                progress: reading,
            });
        }
    }
}
