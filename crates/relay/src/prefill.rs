//! Separate prefill: a prompt is prefilled on another engine than the one that decodes.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use http::{Response, StatusCode, header};
use hyper::body::Incoming;
use plan::PrefillSample;

use crate::announcement::{AnnouncingAnswer, AnswerTo, note_announcements};
use crate::attribution::note_lost_answer;
use crate::awaited::AwaitedAnswer;
use crate::bounded_body::read_own;
use crate::call::Call;
use crate::dialect::{KvHandle, Prompt, SendOptions, Step};
use crate::forward::note_body_error;
use crate::framing::Framing;
use crate::generation::record_cached_parts;
use crate::handover::stays_cut_off_from;
use crate::placement::PrefillPlacement;
use crate::pool::{ExchangeError, PooledConnection, exchange};
use crate::relay::Relay;
use crate::send::{
    exchange_with, is_no_capacity, note_exchange_error, note_misdirected, note_response_head,
};
use crate::upstream::{InFlight, PrefillProgress, Upstream, Work};

/// Multiple of the predicted time after which the answer to a prefill may have been lost.
const OVERDUE_FACTOR: f64 = 3.0;

/// Time added to that multiple, in ms, for fixed costs and queued work that this instance does not
/// know of.
const OVERDUE_BASE_MS: u64 = 500;

/// Queued prefill work of other requests up to which an engine counts as idle, in tokens.
const IDLE_QUEUE_TOKENS: f64 = 500.0;

/// Interval at which the queue ahead of an overdue prefill is checked again, in ms.
const RECHECK_MS: u64 = 200;

/// Longest answer that names a KV cache or confirms that one is freed, in bytes.
const MAX_HANDLE_ANSWER_BYTES: usize = 64 << 10;

/// Time within which the freeing of a KV cache is answered, in ms; the engine frees it by itself after some seconds.
const FREE_TIMEOUT_MS: u64 = 3_000;

/// The KV cache of a prefilled prompt. Dropping it frees the cache unless an engine fetched it;
/// otherwise it would fill the prefill engine's memory until it expires.
pub struct PrefilledKv {
    relay: Rc<Relay>,
    engine: Rc<Upstream>,
    /// Location of the cache.
    pub handle: KvHandle,
    is_taken: Cell<bool>,
}

impl PrefilledKv {
    /// Records that an engine has fetched the cache, or may have.
    pub fn mark_taken(&self) {
        self.is_taken.set(true);
    }

    /// Whether the cache can still be fetched.
    pub fn is_available(&self) -> bool {
        !self.is_taken.get()
    }
}

impl Drop for PrefilledKv {
    fn drop(&mut self) {
        if self.is_taken.get() {
            return;
        }
        let relay = Rc::clone(&self.relay);
        let engine = Rc::clone(&self.engine);
        let handle = self.handle.clone();
        actix_rt::spawn(async move { free_kv(&relay, &engine, &handle).await });
    }
}

async fn free_kv(relay: &Relay, engine: &Rc<Upstream>, handle: &KvHandle) {
    let rest_ms = engine.rest_left_ms(relay.now_ms());
    if rest_ms > 0 {
        actix_rt::time::sleep(Duration::from_millis(rest_ms)).await;
    }
    let (method, path) = relay.dialect.free_kv_request(handle);
    let request = http::Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, engine.address.to_string())
        .body(http_body_util::Full::default());
    let Ok(request) = request else {
        return;
    };
    let freeing = async {
        let (response, connection) = exchange(&engine.pool, usize::MAX, request)
            .await
            .map_err(|error| error.to_string())?;
        let head = relay.dialect.parse_response_head(response.headers());
        let status = response.status();
        let answer = AnnouncingAnswer::to_own_call(AnswerTo::FreeKv, status, &head);
        note_announcements(relay, engine, &answer);
        let body = read_own(response.into_body(), MAX_HANDLE_ANSWER_BYTES).await;
        body.map_err(|error| error.to_string())?;
        connection.release();
        Ok::<_, String>(())
    };
    let timeout = Duration::from_millis(FREE_TIMEOUT_MS);
    let freed = actix_rt::time::timeout(timeout, freeing).await;
    let freed = freed.unwrap_or_else(|_| Err(format!("nothing within {FREE_TIMEOUT_MS} ms")));
    if let Err(why) = freed {
        log::debug!(upstream = engine.id, why; "KV cache of a prompt could not be freed");
    }
}

/// Prefills a prompt on the chosen engine. Returns nothing if that failed; the decode engine then
/// does the prefill itself.
pub async fn prefill_separately(
    relay: &Rc<Relay>,
    call: &Rc<Call>,
    prompt: &Prompt,
    placement: &PrefillPlacement,
) -> Option<PrefilledKv> {
    let rank = call.rank(placement.urgency);
    let guard = InFlight::begin(
        &placement.engine,
        relay.now_ms(),
        Work {
            prefill_tokens: placement.prefill_tokens,
            context_tokens: 0.0,
            rank,
        },
    );
    let (read_ms, time_factor) = (placement.prefill.total_ms(), placement.time_factor);
    let own_ms = placement.prefill.processing_ms;
    guard.expect_answer(read_ms, time_factor);
    let copy_from = placement.copy_from.clone();
    let held_tokens = placement.cached_tokens;
    let own_tokens = placement.prefill_tokens;
    let engine = &placement.engine;
    let queued_before = engine.view(relay.now_ms(), 0.0, rank).queued_tokens;
    record_cached_parts(relay, call, prompt, engine, PrefillProgress::Begun);
    call.current_upstream.borrow_mut().clone_from(&engine.id);
    let options = SendOptions {
        instance: &engine.id,
        deadline_ms: call.left_ms(relay.now_ms()),
        priority: Some(rank),
        step: Step::Prefill,
        copy_from: copy_from.as_ref().map(|holder| holder.address),
        ..SendOptions::default()
    };
    let began_ms = relay.now_ms();
    let request = call.request(&*relay.dialect, &options);
    call.note_prefill_sent();
    let sample = PrefillSample {
        own_tokens,
        queued_tokens: (queued_before - own_tokens).max(0.0),
        elapsed_ms: 0.0,
    };
    let awaited = AwaitedAnswer::to_prefill(relay, call, placement, sample);
    let prefill = async {
        let exchanged = exchange_with(relay, call, engine, request).await;
        awaited.end();
        match exchanged {
            Ok((response, connection)) => {
                guard.note_head(relay.now_ms());
                read_response(relay, call, engine, response, connection).await
            }
            Err(error) => {
                if !matches!(error, ExchangeError::Lost { .. }) {
                    call.note_prefill_unsent();
                }
                note_exchange_error(relay, engine, &error, began_ms);
                log_not_prefilled(relay, call, engine, &error.to_string());
                None
            }
        }
    };
    let kv = tokio::select! {
        kv = prefill => kv,
        () = stays_cut_off_from(relay, call, engine) => {
            log_not_prefilled(relay, call, engine, "the path to the engine was cut");
            None
        }
        () = overdue(relay, call, engine, &guard, read_ms) => {
            log_not_prefilled(relay, call, engine, "no answer, although the engine has no other prefill work");
            None
        }
    };
    drop(guard);
    if kv.is_some() {
        call.note_prefill_accepted();
        record_cached_parts(relay, call, prompt, engine, PrefillProgress::Done);
        let took_ms = (relay.now_ms() - began_ms) as f64;
        if relay.success_log_limit.take(relay.now_ms()) {
            log::info!(
                request = call.id(), upstream = engine.id, rank, prompt_tokens = prompt.input_tokens, held_tokens,
                queued_tokens = queued_before, own_ms, read_ms, took_ms, time_factor,
                copied_from = copy_from.as_ref().map_or("-", |holder| &holder.id),
                load = engine.load(relay.now_ms());
                "separate prefill finished"
            );
        }
        let sample = PrefillSample {
            elapsed_ms: took_ms,
            ..sample
        }
        .at_usual_speed(time_factor);
        if !relay.was_cut_off_since(&call.service, began_ms) {
            relay.estimates.observe_prefill(
                relay.now_ms(),
                &call.service,
                &sample.at_usual_speed(placement.time_factor),
            );
            engine.note_answer(relay.now_ms(), read_ms, took_ms);
        }
        let labels = [call.service.as_str()];
        let histogram = relay.metrics.prefill_s.with_label_values(&labels);
        histogram.observe(took_ms / 1_000.0);
    }
    kv
}

/// Completes once the answer to a prefill is presumed lost.
///
/// A lost answer would block the request until its deadline. It is therefore abandoned if it is
/// long overdue and the engine has no other prefill work. With a long queue, the queue explains the
/// wait, and starting over elsewhere would cost more than waiting. An unanswered prefill counts as an arrival, so
/// without a retry for the decode the request would be refused, while the answer may still come.
async fn overdue(relay: &Relay, call: &Call, engine: &Upstream, guard: &InFlight, read_ms: f64) {
    let overdue_ms = (read_ms * OVERDUE_FACTOR) as u64 + OVERDUE_BASE_MS;
    actix_rt::time::sleep(Duration::from_millis(overdue_ms)).await;
    let is_queued = || engine.queued_tokens() > guard.remaining_tokens() + IDLE_QUEUE_TOKENS;
    while is_queued() || !relay.may_send(call) {
        actix_rt::time::sleep(Duration::from_millis(RECHECK_MS)).await;
    }
}

/// Logs why a separate prefill brought no KV cache.
fn log_not_prefilled(relay: &Relay, call: &Call, engine: &Upstream, why: &str) {
    if relay.failure_log_limit.take(relay.now_ms()) {
        log::info!(
            request = call.id(), key:% = call.key, upstream = engine.id, why;
            "separate prefill failed"
        );
    }
}

/// Checks the answer to a prefill and reads the handle of the KV cache from it.
async fn read_response(
    relay: &Rc<Relay>,
    call: &Call,
    engine: &Rc<Upstream>,
    response: Response<Incoming>,
    connection: PooledConnection,
) -> Option<PrefilledKv> {
    let status = response.status();
    let framing = Framing::of(response.headers());
    let answered = relay.dialect.parse_response_head(response.headers());
    let answer = AnnouncingAnswer::to_attempt(AnswerTo::Prefill, call, status, &answered);
    note_response_head(relay, engine, &answer);
    // A late answer to an earlier request on this connection would name another prompt's cache.
    if !answer.is_expected {
        log_not_prefilled(relay, call, engine, "the answer belongs to another request");
        return None;
    }
    let body = match read_own(response.into_body(), MAX_HANDLE_ANSWER_BYTES).await {
        Ok(body) => body,
        Err(error) => {
            drop(connection);
            if error.is_past_bound() {
                engine.note_failure(relay.now_ms());
            }
            note_lost_answer(relay, call, engine);
            note_body_error(relay, call, &engine.id, &error);
            return None;
        }
    };
    connection.release();
    if status == StatusCode::MISDIRECTED_REQUEST {
        note_misdirected(relay, engine, answered.instance.as_deref(), Step::Prefill);
    }
    if is_no_capacity(status) {
        engine.note_no_capacity(relay.now_ms());
    }
    if status != StatusCode::OK {
        if relay.failure_log_limit.take(relay.now_ms()) {
            log::info!(
                request = call.id(), upstream = engine.id, status = status.as_u16();
                "separate prefill rejected"
            );
        }
        return None;
    }
    let Some(id) = relay.dialect.parse_prefill_response(&body) else {
        if framing == Framing::Close {
            note_lost_answer(relay, call, engine);
        }
        log_not_prefilled(relay, call, engine, "the answer names no KV cache");
        return None;
    };
    Some(PrefilledKv {
        relay: Rc::clone(relay),
        engine: Rc::clone(engine),
        handle: KvHandle {
            holder: engine.address,
            id,
        },
        is_taken: Cell::new(false),
    })
}
