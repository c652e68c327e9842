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
use crate::generation::keep_parts;
use crate::placement::Reader;
use crate::pool::{ExchangeError, PooledConnection, exchange};
use crate::relay::Relay;
use crate::send::{has_no_room, note_misdirected, note_told, note_unsent, raw_send};
use crate::upstream::{InFlight, PrefillProgress, Upstream, Work};

/// Times the predicted time after which a prompt's answer may have been lost.
const PATIENCE: f64 = 3.0;

/// Least time for that, in ms: an answer's fixed time and some queue that was not seen.
const LEAST_PATIENCE_MS: u64 = 500;

/// Work of others, in tokens, up to which an engine counts as having nothing else to read.
const IDLE_TOKENS: f64 = 500.0;

/// Time after which a prompt that is late behind others is looked at again, in ms.
const LOOK_AGAIN_MS: u64 = 200;

/// A prompt's KV cache that waits to be taken; freed if nobody takes it.
///
/// A cache that is never taken fills the reader's memory until it lapses.
pub struct Handed {
    relay: Rc<Relay>,
    reader: Rc<Upstream>,
    /// Where the cache is.
    pub handle: KvHandle,
    taken: Cell<bool>,
}

impl Handed {
    /// An engine has taken the cache, or may have.
    pub fn taken(&self) {
        self.taken.set(true);
    }

    /// Whether another engine may still take it.
    pub fn is_there(&self) -> bool {
        !self.taken.get()
    }
}

impl Drop for Handed {
    fn drop(&mut self) {
        if self.taken.get() {
            return;
        }
        let relay = Rc::clone(&self.relay);
        let reader = Rc::clone(&self.reader);
        let handle = self.handle.clone();
        actix_rt::spawn(async move { free(&relay, &reader, &handle).await });
    }
}

async fn free(relay: &Relay, reader: &Rc<Upstream>, handle: &KvHandle) {
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
pub async fn read_apart(
    relay: &Rc<Relay>,
    call: &Rc<Call>,
    prompt: &Prompt,
    reader: &Reader,
) -> Option<Handed> {
    let rank = call.rank(reader.urgency);
    let guard = InFlight::begin(
        &reader.engine,
        relay.now_ms(),
        Work {
            prefill_tokens: reader.tokens,
            context_tokens: 0.0,
            rank,
        },
    );
    let read_ms = reader.read.total_ms();
    let own_ms = reader.read.processing_ms;
    let copy_from = reader.copy_from.clone();
    let held_tokens = reader.held_tokens;
    let own_tokens = reader.tokens;
    let reader = &reader.engine;
    let before = reader.view(relay.now_ms(), 0.0, rank).queued_tokens;
    keep_parts(relay, call, prompt, reader, PrefillProgress::Begun);
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
    call.begins_read();
    let reading = async {
        match raw_send(relay, call, reader, request).await {
            Ok((response, lease)) => {
                guard.note_head(relay.now_ms());
                prefilled(relay, call, reader, response, lease).await
            }
            Err(fault) => {
                if !matches!(fault, ExchangeError::Lost { .. }) {
                    call.read_is_unsent();
                }
                note_unsent(relay, reader, &fault);
                note_unread(relay, call, reader, &fault.to_string());
                None
            }
        }
    };
    let handed = tokio::select! {
        handed = reading => handed,
        () = overdue(reader, &guard, read_ms) => {
            note_unread(relay, call, reader, "nothing came, though nothing else is read there");
            None
        }
    };
    drop(guard);
    if handed.is_some() {
        call.read_is_accepted();
        keep_parts(relay, call, prompt, reader, PrefillProgress::Done);
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
    handed
}

/// Returns once the answer to a prompt must have been lost.
///
/// A lost answer would hold the request to its deadline, so it is given up where it is long
/// overdue and nothing else is read at the engine. In a rush the rest of the queue explains the
/// wait, and beginning again elsewhere would cost more than waiting on.
async fn overdue(reader: &Upstream, guard: &InFlight, read_ms: f64) {
    let patience_ms = (read_ms * PATIENCE) as u64 + LEAST_PATIENCE_MS;
    actix_rt::time::sleep(Duration::from_millis(patience_ms)).await;
    while reader.queued_tokens() > guard.tokens() + IDLE_TOKENS {
        actix_rt::time::sleep(Duration::from_millis(LOOK_AGAIN_MS)).await;
    }
}

fn note_unread(relay: &Relay, call: &Call, reader: &Upstream, why: &str) {
    if relay.failure_log_limit.take(relay.now_ms()) {
        log::info!(
            request = call.id(), key:% = call.key, upstream = reader.id, why;
            "prompt not read"
        );
    }
}

async fn prefilled(
    relay: &Rc<Relay>,
    call: &Call,
    reader: &Rc<Upstream>,
    response: Response<Incoming>,
    lease: PooledConnection,
) -> Option<Handed> {
    let status = response.status();
    let answered = relay.dialect.parse_response_head(response.headers());
    note_told(relay, reader, &answered);
    // A late answer to an earlier request on the connection would lead to another prompt's cache.
    if answered.attempt != call.head.attempt {
        note_unread(relay, call, reader, "the answer is another request's");
        return None;
    }
    let body = match response.into_body().collect().await {
        Ok(collected) => collected.to_bytes(),
        Err(error) => {
            note_lost_answer(relay, call, reader);
            note_unread(relay, call, reader, &error.to_string());
            return None;
        }
    };
    lease.release();
    if status == StatusCode::MISDIRECTED_REQUEST {
        note_misdirected(relay, reader, answered.instance.as_deref(), Step::Prefill);
    }
    if has_no_room(status) {
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
    Some(Handed {
        relay: Rc::clone(relay),
        reader: Rc::clone(reader),
        handle: KvHandle {
            holder: reader.address,
            id,
        },
        taken: Cell::new(false),
    })
}
