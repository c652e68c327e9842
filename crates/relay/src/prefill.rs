//! Prompts read apart from the engine that makes the output.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use http::{Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use plan::PrefillSample;

use crate::attribution::note_lost_answer;
use crate::call::Call;
use crate::dialect::{KvHandle, Prompt, SendOptions, Step};
use crate::generation::record_cached_parts;
use crate::placement::PrefillPlacement;
use crate::pool::{ExchangeError, PooledConnection, exchange};
use crate::relay::Relay;
use crate::send::{
    exchange_with, is_no_capacity, note_exchange_error, note_misdirected, note_response_head,
};
use crate::upstream::{InFlight, PrefillProgress, Upstream, Work};

/// Times the predicted time after which a prompt's answer may have been lost.
const OVERDUE_FACTOR: f64 = 3.0;

/// Least time for that, in ms: an answer's fixed time and some queue that was not seen.
const MIN_OVERDUE_MS: u64 = 500;

/// Work of others, in tokens, up to which an engine counts as having nothing else to read.
const IDLE_QUEUE_TOKENS: f64 = 500.0;

/// Time after which a prompt that is late behind others is looked at again, in ms.
const RECHECK_MS: u64 = 200;

/// A prompt's KV cache that waits to be taken; freed if nobody takes it.
///
/// A cache that is never taken fills the reader's memory until it lapses.
pub struct PrefilledKv {
    relay: Rc<Relay>,
    reader: Rc<Upstream>,
    /// Where the cache is.
    pub handle: KvHandle,
    taken: Cell<bool>,
}

impl PrefilledKv {
    /// An engine has taken the cache, or may have.
    pub fn mark_taken(&self) {
        self.taken.set(true);
    }

    /// Whether another engine may still take it.
    pub fn is_available(&self) -> bool {
        !self.taken.get()
    }
}

impl Drop for PrefilledKv {
    fn drop(&mut self) {
        if self.taken.get() {
            return;
        }
        let relay = Rc::clone(&self.relay);
        let reader = Rc::clone(&self.reader);
        let handle = self.handle.clone();
        actix_rt::spawn(async move { free_kv(&relay, &reader, &handle).await });
    }
}

async fn free_kv(relay: &Relay, reader: &Rc<Upstream>, handle: &KvHandle) {
    let (method, path) = relay.dialect.free_kv_request(handle);
    let request = http::Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, reader.address.to_string())
        .body(http_body_util::Full::default());
    let Ok(request) = request else {
        return;
    };
    match exchange(&reader.pool, usize::MAX, request).await {
        Ok((response, lease)) => {
            if response.into_body().collect().await.is_ok() {
                lease.release();
            }
        }
        Err(fault) => log::debug!(fault:%; "a prompt's cache could not be freed"),
    }
}

/// Has the prompt read apart, where the placement says so; gives nothing if that failed, and the
/// engine that makes the output then reads it itself.
pub async fn prefill_separately(
    relay: &Rc<Relay>,
    call: &Rc<Call>,
    prompt: &Prompt,
    reader: &PrefillPlacement,
) -> Option<PrefilledKv> {
    let rank = call.rank(reader.urgency);
    let guard = InFlight::begin(
        &reader.engine,
        relay.now_ms(),
        Work {
            prefill_tokens: reader.prefill_tokens,
            context_tokens: 0.0,
            rank,
        },
    );
    let read_ms = reader.prefill.total_ms();
    let own_ms = reader.prefill.processing_ms;
    let copy_from = reader.copy_from.clone();
    let held_tokens = reader.cached_tokens;
    let own_tokens = reader.prefill_tokens;
    let reader = &reader.engine;
    let before = reader.view(relay.now_ms(), 0.0, rank).queued_tokens;
    record_cached_parts(relay, call, prompt, reader, PrefillProgress::Begun);
    call.current_upstream.borrow_mut().clone_from(&reader.id);
    let sending = SendOptions {
        instance: &reader.id,
        deadline_ms: call.left_ms(relay.now_ms()),
        priority: Some(rank),
        step: Step::Prefill,
        copy_from: copy_from.as_ref().map(|holder| holder.address),
        ..SendOptions::default()
    };
    let began_ms = relay.now_ms();
    let request = call.request(&*relay.dialect, &sending);
    call.note_prefill_sent();
    let prefill = async {
        match exchange_with(relay, call, reader, request).await {
            Ok((response, lease)) => {
                guard.note_head(relay.now_ms());
                read_response(relay, call, reader, response, lease).await
            }
            Err(fault) => {
                if !matches!(fault, ExchangeError::Lost { .. }) {
                    call.note_prefill_unsent();
                }
                note_exchange_error(relay, reader, &fault);
                log_not_prefilled(relay, call, reader, &fault.to_string());
                None
            }
        }
    };
    let kv = tokio::select! {
        kv = prefill => kv,
        () = overdue(reader, &guard, read_ms) => {
            log_not_prefilled(relay, call, reader, "nothing came, though nothing else is read there");
            None
        }
    };
    drop(guard);
    if kv.is_some() {
        call.note_prefill_accepted();
        record_cached_parts(relay, call, prompt, reader, PrefillProgress::Done);
        let took_ms = (relay.now_ms() - began_ms) as f64;
        if relay.success_log_limit.take(relay.now_ms()) {
            log::info!(
                request = call.id(), upstream = reader.id, rank, prompt_tokens = prompt.input_tokens, held_tokens,
                queued_tokens = before, own_ms, read_ms, took_ms,
                copied_from = copy_from.as_ref().map_or("-", |holder| &holder.id),
                load = reader.load(relay.now_ms());
                "prompt read"
            );
        }
        let seen = PrefillSample {
            own_tokens,
            queued_tokens: (before - own_tokens).max(0.0),
            elapsed_ms: took_ms,
        };
        relay.learned.observe_prefill(&call.service, &seen);
        reader.note_answer(relay.now_ms(), read_ms, took_ms);
        let labels = [call.service.as_str()];
        let histogram = relay.metrics.prefill_s.with_label_values(&labels);
        histogram.observe(took_ms / 1_000.0);
    }
    kv
}

/// Returns once the answer to a prompt must have been lost.
///
/// A lost answer would hold the request to its deadline, so it is given up where it is long
/// overdue and nothing else is read at the engine. In a rush the rest of the queue explains the
/// wait, and beginning again elsewhere would cost more than waiting on.
async fn overdue(reader: &Upstream, guard: &InFlight, read_ms: f64) {
    let overdue_ms = (read_ms * OVERDUE_FACTOR) as u64 + MIN_OVERDUE_MS;
    actix_rt::time::sleep(Duration::from_millis(overdue_ms)).await;
    while reader.queued_tokens() > guard.remaining_tokens() + IDLE_QUEUE_TOKENS {
        actix_rt::time::sleep(Duration::from_millis(RECHECK_MS)).await;
    }
}

fn log_not_prefilled(relay: &Relay, call: &Call, reader: &Upstream, why: &str) {
    if relay.failure_log_limit.take(relay.now_ms()) {
        log::info!(
            request = call.id(), key:% = call.key, upstream = reader.id, why;
            "prompt not read"
        );
    }
}

async fn read_response(
    relay: &Rc<Relay>,
    call: &Call,
    reader: &Rc<Upstream>,
    response: Response<Incoming>,
    lease: PooledConnection,
) -> Option<PrefilledKv> {
    let status = response.status();
    let answered = relay.dialect.parse_response_head(response.headers());
    note_response_head(relay, reader, &answered);
    // A late answer to an earlier request on the connection would lead to another prompt's cache.
    if answered.attempt != call.head.attempt {
        log_not_prefilled(relay, call, reader, "the answer is another request's");
        return None;
    }
    let body = match response.into_body().collect().await {
        Ok(collected) => collected.to_bytes(),
        Err(error) => {
            note_lost_answer(relay, call, reader);
            log_not_prefilled(relay, call, reader, &error.to_string());
            return None;
        }
    };
    lease.release();
    if status == StatusCode::MISDIRECTED_REQUEST {
        note_misdirected(relay, reader, answered.instance.as_deref(), Step::Prefill);
    }
    if is_no_capacity(status) {
        reader.note_no_capacity(relay.now_ms());
    }
    if status != StatusCode::OK {
        if relay.failure_log_limit.take(relay.now_ms()) {
            log::info!(
                request = call.id(), upstream = reader.id, status = status.as_u16();
                "prompt rejected"
            );
        }
        return None;
    }
    let id = relay.dialect.parse_prefill_response(&body)?;
    Some(PrefilledKv {
        relay: Rc::clone(relay),
        reader: Rc::clone(reader),
        handle: KvHandle {
            holder: reader.address,
            id,
        },
        taken: Cell::new(false),
    })
}
