//! The walk of one request: placed, sent, sent again where it may be, answered.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use plan::AttemptBudget;

use crate::answer::{AnswerBody, Reason, Refused};
use crate::call::{Call, strip_hop_by_hop};
use crate::config::Kind;
use crate::dialect::{Answered, KvHandle, Prompt, Sending, Step};
use crate::gossip::Read;
use crate::place::{self, Maker, Placement, Reader};
use crate::pool::{Exchanged, Fault, Lease, exchange};
use crate::relay::Relay;
use crate::stream::Streaming;
use crate::upstream::{InFlight, Upstream};

/// Answers up to this length are read whole before they are passed on, so that one that breaks
/// off can be asked for again; longer ones would cost too much memory.
const WHOLE_BYTES: u64 = 256 * 1024;

/// Upstreams to which no connection could be opened before a request is refused: nothing was
/// sent, so trying is free but for its time.
const UNREACHED: usize = 3;

/// Time after which a caller whose request was rejected unrun is asked back, in ms.
const REJECTED_RETRY_MS: u64 = 120;

/// Parts shorter than this are read again sooner than told about, in tokens.
const TOLD_TOKENS: u32 = 500;

/// Share of an upstream's connections that one instance leaves to the others' jitter.
const CONNECTION_SHARE: f64 = 0.9;

/// An answer's head that has been checked to belong to the request.
pub struct Checked {
    /// The answer.
    pub response: Response<Incoming>,
    /// What its head says.
    pub answered: Answered,
    /// The connection.
    pub lease: Lease,
}

/// How one send ended.
pub enum Sent {
    /// The upstream answered, with success or failure.
    Answer(Box<Checked>),
    /// Nothing reached the upstream.
    Unsent(Fault),
    /// The upstream rejected it unrun.
    NotRun(StatusCode),
    /// It may have run, and there is no answer.
    Lost(String),
}

/// Serves one request up to the head of its answer.
pub async fn forward(relay: &Rc<Relay>, call: Call) -> Response<AnswerBody> {
    let call = Rc::new(call);
    let left_ms = call.left_ms(relay.now_ms());
    let walk = walk(relay, &call);
    let outcome = match actix_rt::time::timeout(Duration::from_millis(left_ms), walk).await {
        Ok(outcome) => outcome,
        // What was never sent to an upstream has not run and never will.
        Err(_) if call.sends.get() == 0 => Err(Refused::plain(Reason::TooLate)),
        Err(_) => Err(Refused::plain(Reason::TimedOut)),
    };
    outcome.unwrap_or_else(|refused| refusal(relay, &call, refused))
}

fn refusal(relay: &Relay, call: &Call, refused: Refused) -> Response<AnswerBody> {
    let took_ms = relay.now_ms() - call.arrived_ms;
    log::info!(
        request = call.id(), route = call.route.name, reason = refused.reason, took_ms,
        sends = call.sends.get(), retry_after_ms = refused.retry_after_ms.unwrap_or(0);
        "request not served"
    );
    let end = refused.reason.status().as_u16().to_string();
    let labels = [call.route.name.as_str(), &end];
    relay.metrics.requests.with_label_values(&labels).inc();
    refused.response(relay.dialect.error(&refused.reason.to_string()))
}

async fn walk(relay: &Rc<Relay>, call: &Rc<Call>) -> Result<Response<AnswerBody>, Refused> {
    relay.sent_first(&call.service);
    match &call.asked.prompt {
        Some(prompt) if call.route.kind == Kind::Stream => generate(relay, call, prompt).await,
        _ => plain(relay, call).await,
    }
}

async fn plain(relay: &Rc<Relay>, call: &Rc<Call>) -> Result<Response<AnswerBody>, Refused> {
    let mut tried = Vec::new();
    let mut unreached = 0;
    loop {
        let upstream = place::plain(relay, call, &tried)?;
        tried.push(upstream.id.clone());
        let guard = InFlight::enter(&upstream, relay.now_ms(), 0.0, 0.0);
        let sending = Sending {
            instance: &upstream.id,
            deadline_ms: call.left_ms(relay.now_ms()),
            ..Sending::default()
        };
        let sent = send_within(relay, call, &upstream, &sending).await;
        note_sign(relay, &guard, &sent);
        let refused = match sent {
            Sent::Answer(checked) => {
                let status = checked.response.status();
                let failed = status.is_server_error();
                let again = failed && call.route.kind == Kind::Safe && may_repeat(relay, call);
                if !again {
                    match pass_on(relay, call, *checked, guard).await {
                        Ok(response) => return Ok(response),
                        Err(refused) if !may_repeat(relay, call) => return Err(refused),
                        Err(_) => continue,
                    }
                }
                continue;
            }
            Sent::Unsent(_) => {
                unreached += 1;
                if unreached < UNREACHED {
                    continue;
                }
                Refused::later(Reason::NoUpstream, REJECTED_RETRY_MS)
            }
            Sent::NotRun(_) if may_repeat(relay, call) => continue,
            Sent::NotRun(_) if call.sends.get() == 0 => {
                Refused::later(Reason::Rejected, REJECTED_RETRY_MS)
            }
            Sent::NotRun(_) => Refused::plain(Reason::Lost),
            Sent::Lost(_) if call.route.is_repeatable() && may_repeat(relay, call) => continue,
            Sent::Lost(_) => Refused::plain(Reason::Lost),
        };
        return Err(refused);
    }
}

/// Whether the request may be sent to one more upstream, within its route and the budget.
pub fn may_repeat(relay: &Relay, call: &Call) -> bool {
    call.attempts.get() < call.route.max_attempts && relay.may_repeat(&call.service)
}

async fn generate(
    relay: &Rc<Relay>,
    call: &Rc<Call>,
    prompt: &Prompt,
) -> Result<Response<AnswerBody>, Refused> {
    let mut tried = Vec::new();
    let mut unreached = 0;
    loop {
        let (maker, kv) = match place::generation(relay, call, prompt, &tried)? {
            Placement::Whole(maker) => (maker, None),
            Placement::Apart(reader) => {
                let kv = read_apart(relay, call, prompt, &reader).await;
                (place::maker(relay, call, prompt, &tried, kv.is_some())?, kv)
            }
        };
        let (sent, guard) = make(relay, call, prompt, &maker, kv.as_ref()).await;
        tried.push(maker.engine.id.clone());
        let refused = match sent {
            Sent::Answer(checked) if checked.response.status() == StatusCode::OK => {
                return Ok(Streaming::start(relay, call, *checked, guard, tried));
            }
            Sent::Answer(checked) => {
                let again = call.route.is_repeatable() && may_repeat(relay, call);
                if !again {
                    return pass_on(relay, call, *checked, guard).await;
                }
                continue;
            }
            Sent::Unsent(_) => {
                unreached += 1;
                if unreached < UNREACHED {
                    continue;
                }
                Refused::later(Reason::NoUpstream, REJECTED_RETRY_MS)
            }
            Sent::NotRun(_) if may_repeat(relay, call) => continue,
            Sent::NotRun(_) if call.sends.get() == 0 => {
                Refused::later(Reason::Rejected, REJECTED_RETRY_MS)
            }
            Sent::NotRun(_) => Refused::plain(Reason::Lost),
            Sent::Lost(_) if call.route.is_repeatable() && may_repeat(relay, call) => continue,
            Sent::Lost(_) => Refused::plain(Reason::Lost),
        };
        return Err(refused);
    }
}

/// Sends a generation to the engine that makes its output.
async fn make(
    relay: &Rc<Relay>,
    call: &Rc<Call>,
    prompt: &Prompt,
    maker: &Maker,
    kv: Option<&Handed>,
) -> (Sent, InFlight) {
    let predicted_ms = maker.first.total_ms();
    let guard = InFlight::enter(
        &maker.engine,
        relay.now_ms(),
        maker.tokens,
        f64::from(prompt.input_tokens),
    );
    let maker = &maker.engine;
    let mut sending = Sending {
        instance: &maker.id,
        deadline_ms: call.left_ms(relay.now_ms()),
        priority: Some(call.route.priority),
        kv: kv.map(|handed| &handed.handle),
        last_event: call.asked.last_event,
        ..Sending::default()
    };
    let began_ms = relay.now_ms();
    let mut sent = send(relay, call, maker, &sending).await;
    if let Some(handed) = kv {
        match sent {
            Sent::Answer(_) | Sent::Lost(_) => handed.taken(),
            Sent::NotRun(StatusCode::SERVICE_UNAVAILABLE) if relay.may_repeat(&call.service) => {
                // The handle lapsed or could not be fetched. The same engine can still read the
                // prompt itself.
                sending.kv = None;
                sending.deadline_ms = call.left_ms(relay.now_ms());
                sent = send(relay, call, maker, &sending).await;
            }
            Sent::NotRun(_) | Sent::Unsent(_) => {}
        }
    }
    note_sign(relay, &guard, &sent);
    if let Sent::Answer(_) = &sent {
        guard.has_read();
        keep_parts(relay, call, prompt, maker);
        let took_ms = (relay.now_ms() - began_ms) as f64;
        log::info!(
            request = call.id(), upstream = maker.id, predicted_ms, took_ms, apart = kv.is_some(),
            load = maker.load(relay.now_ms()); "output begun"
        );
        let predicted_ms = predicted_ms.max(call.route.goal_ms as f64 / 2.0);
        maker.answered(relay.now_ms(), predicted_ms, took_ms);
    }
    (sent, guard)
}

/// Notes that an engine is reading a prompt, here and for the other instances.
///
/// It is noted as soon as the prompt is on its way: who asks next for the same part finds it read
/// by then, or waits for it there instead of having it read twice.
fn keep_parts(relay: &Relay, call: &Call, prompt: &Prompt, engine: &Upstream) {
    let config = relay.config();
    let service = config
        .as_ref()
        .and_then(|config| config.service(&call.service));
    let room_tokens = service
        .and_then(|service| service.engine)
        .map_or(0, |engine| engine.kv_tokens);
    let Some((_own, shared)) = prompt.parts.split_last() else {
        return;
    };
    for part in shared {
        let is_new = engine.kept(part.id) == 0.0;
        engine.keeps(part.id, f64::from(part.tokens), room_tokens as f64);
        if is_new && part.tokens >= TOLD_TOKENS {
            relay.reads.borrow_mut().add(Read {
                upstream: engine.id.clone(),
                part: part.id,
                tokens: part.tokens,
                room_tokens,
            });
        }
    }
}

/// A prompt's KV cache that waits to be taken; freed if nobody takes it.
///
/// A cache that is never taken fills the reader's memory until it lapses.
struct Handed {
    relay: Rc<Relay>,
    reader: Rc<Upstream>,
    handle: KvHandle,
    taken: std::cell::Cell<bool>,
}

impl Handed {
    fn taken(&self) {
        self.taken.set(true);
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
    let (method, path) = relay.dialect.free(handle);
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
                lease.give_back();
            }
        }
        Err(fault) => log::debug!(fault:%; "a prompt's cache could not be freed"),
    }
}

/// Has the prompt read apart, where the placement says so; gives nothing if that failed, and the
/// engine that makes the output then reads it itself.
async fn read_apart(
    relay: &Rc<Relay>,
    call: &Rc<Call>,
    prompt: &Prompt,
    reader: &Reader,
) -> Option<Handed> {
    let guard = InFlight::enter(&reader.engine, relay.now_ms(), reader.tokens, 0.0);
    let read_ms = reader.read.total_ms();
    let reader = &reader.engine;
    let before = reader.view(relay.now_ms(), 0.0).queued_tokens;
    keep_parts(relay, call, prompt, reader);
    let sending = Sending {
        instance: &reader.id,
        deadline_ms: call.left_ms(relay.now_ms()),
        priority: Some(call.route.priority),
        step: Step::Prefill,
        ..Sending::default()
    };
    let began_ms = relay.now_ms();
    let request = call.request(&*relay.dialect, &sending);
    let outcome = raw_send(relay, call, reader, request).await;
    if outcome.is_ok() {
        guard.has_answered(relay.now_ms());
    }
    let handed = match outcome {
        Ok((response, lease)) => prefilled(relay, reader, response, lease).await,
        Err(fault) => {
            note_unsent(relay, reader, &fault);
            log::info!(request = call.id(), upstream = reader.id, fault:%; "prompt not read");
            None
        }
    };
    drop(guard);
    if handed.is_some() {
        let took_ms = (relay.now_ms() - began_ms) as f64;
        log::info!(request = call.id(), upstream = reader.id, tokens = before, read_ms, took_ms, load = reader.load(relay.now_ms()); "prompt read");
        relay.learn_pace(&call.service, before, took_ms);
        reader.answered(relay.now_ms(), read_ms, took_ms);
        let took_s = took_ms / 1_000.0;
        let labels = [call.service.as_str()];
        relay
            .metrics
            .prefill_s
            .with_label_values(&labels)
            .observe(took_s);
    } else {
        // A rejected call counts as a repeat, whether or not it was wanted.
        relay.forced_repeat(&call.service);
    }
    handed
}

async fn prefilled(
    relay: &Rc<Relay>,
    reader: &Rc<Upstream>,
    response: Response<Incoming>,
    lease: Lease,
) -> Option<Handed> {
    let status = response.status();
    let answered = relay.dialect.answered(response.headers());
    if let Some(load) = answered.load {
        reader.told(relay.now_ms(), load);
    }
    let body = response.into_body().collect().await.ok()?.to_bytes();
    lease.give_back();
    if status != StatusCode::OK {
        log::info!(upstream = reader.id, status = status.as_u16(); "prompt rejected");
        return None;
    }
    let id = relay.dialect.prefilled(&body)?;
    Some(Handed {
        relay: Rc::clone(relay),
        reader: Rc::clone(reader),
        handle: KvHandle {
            holder: reader.address,
            id,
        },
        taken: std::cell::Cell::new(false),
    })
}

/// Sends a request that another upstream could still answer, for a part of the time left.
async fn send_within(
    relay: &Rc<Relay>,
    call: &Rc<Call>,
    upstream: &Rc<Upstream>,
    sending: &Sending<'_>,
) -> Sent {
    let left_ms = call.left_ms(relay.now_ms());
    let has_other = call.route.is_repeatable() && call.attempts.get() + 1 < call.route.max_attempts;
    let budget = AttemptBudget::next(left_ms, 1).filter(|_| has_other);
    let Some(budget) = budget else {
        return send(relay, call, upstream, sending).await;
    };
    let wait = Duration::from_millis(budget.spend_ms);
    let sent = actix_rt::time::timeout(wait, send(relay, call, upstream, sending)).await;
    sent.unwrap_or_else(|_| {
        upstream.failed(relay.now_ms());
        Sent::Lost(format!("nothing within {} ms", budget.spend_ms))
    })
}

/// Sends a request once and checks that the answer is its own.
pub async fn send(
    relay: &Rc<Relay>,
    call: &Rc<Call>,
    upstream: &Rc<Upstream>,
    sending: &Sending<'_>,
) -> Sent {
    let request = call.request(&*relay.dialect, sending);
    call.attempts.set(call.attempts.get() + 1);
    call.sends.set(call.sends.get() + 1);
    let began_ms = relay.now_ms();
    let sent = match raw_send(relay, call, upstream, request).await {
        Ok((response, lease)) => check(relay, call, upstream, response, lease),
        Err(fault @ Fault::Lost { .. }) => Sent::Lost(fault.to_string()),
        Err(fault) => Sent::Unsent(fault),
    };
    match &sent {
        Sent::Answer(checked) => {
            let took_ms = (relay.now_ms() - began_ms) as f64;
            if call.route.kind != Kind::Stream && checked.response.status().is_success() {
                let usual_ms = upstream.answer_ms().max(15.0);
                upstream.answered(relay.now_ms(), usual_ms, took_ms);
            } else if checked.response.status().is_server_error() {
                upstream.failed(relay.now_ms());
            }
        }
        Sent::Unsent(fault) => {
            call.attempts.set(call.attempts.get() - 1);
            call.sends.set(call.sends.get() - 1);
            note_unsent(relay, upstream, fault);
            log::info!(request = call.id(), upstream = upstream.id, fault:%; "request not sent");
        }
        Sent::NotRun(status) => {
            // It is certain that this send did not run.
            call.sends.set(call.sends.get() - 1);
            log::info!(
                request = call.id(), upstream = upstream.id, status = status.as_u16();
                "request rejected unrun"
            );
        }
        Sent::Lost(why) => {
            upstream.failed(relay.now_ms());
            log::info!(request = call.id(), upstream = upstream.id, why; "answer lost");
        }
    }
    sent
}

fn note_sign(relay: &Relay, guard: &InFlight, sent: &Sent) {
    match sent {
        Sent::Answer(_) | Sent::NotRun(_) => guard.has_answered(relay.now_ms()),
        Sent::Unsent(_) | Sent::Lost(_) => {}
    }
}

/// Counts a fault against its upstream, unless the fault is our own want of connections.
fn note_unsent(relay: &Relay, upstream: &Upstream, fault: &Fault) {
    match fault {
        Fault::Connect { .. } => upstream.unreachable(relay.now_ms()),
        Fault::Lost { .. } => upstream.failed(relay.now_ms()),
        Fault::Crowded { .. } => {}
    }
}

async fn raw_send(
    relay: &Rc<Relay>,
    call: &Call,
    upstream: &Rc<Upstream>,
    request: http::Request<http_body_util::Full<Bytes>>,
) -> Result<Exchanged, Fault> {
    let config = relay.config();
    let service = config
        .as_ref()
        .and_then(|config| config.service(&call.service));
    let most = service.map_or(usize::MAX, |service| service.max_connections);
    let most = (most as f64 * CONNECTION_SHARE / relay.instances() as f64) as usize;
    exchange(&upstream.pool, most.max(2), request).await
}

fn check(
    relay: &Rc<Relay>,
    call: &Call,
    upstream: &Rc<Upstream>,
    response: Response<Incoming>,
    lease: Lease,
) -> Sent {
    let answered = relay.dialect.answered(response.headers());
    if let Some(load) = answered.load {
        upstream.told(relay.now_ms(), load);
    }
    let status = response.status();
    let is_own = answered.attempt == call.asked.attempt;
    if status == StatusCode::MISDIRECTED_REQUEST && (is_own || answered.attempt.is_none()) {
        // The same incarnation also answers so when it does not do this step of a generation.
        if answered
            .instance
            .as_deref()
            .is_some_and(|id| id != upstream.id)
        {
            relay.found_gone(upstream);
        }
        return Sent::NotRun(status);
    }
    if answered.not_run && (is_own || answered.attempt.is_none()) {
        return Sent::NotRun(status);
    }
    // An answer that came late to an earlier request on the connection names another attempt.
    if !is_own {
        return Sent::Lost("the answer is another request's".to_owned());
    }
    let encoded = response.headers().contains_key(header::CONTENT_ENCODING);
    if status.is_success() && (!answered.has_proof || encoded) {
        return Sent::Lost("the answer has no proof".to_owned());
    }
    Sent::Answer(Box::new(Checked {
        response,
        answered,
        lease,
    }))
}

/// Reads an answer whole and passes it on.
async fn pass_on(
    relay: &Rc<Relay>,
    call: &Rc<Call>,
    checked: Checked,
    guard: InFlight,
) -> Result<Response<AnswerBody>, Refused> {
    let (mut head, body) = checked.response.into_parts();
    strip_hop_by_hop(&mut head.headers, |_| false);
    let upstream = Rc::clone(guard.upstream());
    let long = http_body::Body::size_hint(&body).lower() > WHOLE_BYTES;
    let body = if long {
        crate::stream::relayed(body, checked.lease, guard)
    } else {
        let collected = body.collect().await;
        let Ok(collected) = collected else {
            upstream.failed(relay.now_ms());
            log::info!(request = call.id(), upstream = upstream.id; "answer broke off");
            return Err(Refused::plain(Reason::Lost));
        };
        head.headers.remove(header::CONTENT_LENGTH);
        checked.lease.give_back();
        drop(guard);
        AnswerBody::whole(collected.to_bytes())
    };
    let end = head.status.as_u16().to_string();
    let labels = [call.route.name.as_str(), &end];
    relay.metrics.requests.with_label_values(&labels).inc();
    Ok(Response::from_parts(head, body))
}
