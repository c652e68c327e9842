//! The walk of a request that generates text.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use http::{Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::again::{Facts, Next, Outcome, next};
use crate::answer::{AnswerBody, Refused};
use crate::call::Call;
use crate::dialect::{KvHandle, Prompt, Sending, Step};
use crate::forward::{may_repeat, pass_on};
use crate::gossip::Read;
use crate::place::{self, Maker, Placement, Reader};
use crate::pool::{Lease, exchange};
use crate::relay::Relay;
use crate::send::{Sent, note_sign, note_unsent, raw_send, send};
use crate::stream::Streaming;
use crate::upstream::{InFlight, Upstream, Urgency, Work};

/// Ranks by which a request that will be late comes after its like; more than routes differ by.
const LATE_RANKS: u8 = 4;

/// Times the predicted time after which a prompt's answer may have been lost.
const PATIENCE: f64 = 3.0;

/// Least time for that, in ms: an answer's fixed time and some queue that was not seen.
const LEAST_PATIENCE_MS: u64 = 500;

/// Work of others, in tokens, up to which an engine counts as having nothing else to read.
const IDLE_TOKENS: f64 = 500.0;

/// Time after which a prompt that is late behind others is looked at again, in ms.
const LOOK_AGAIN_MS: u64 = 200;

/// The last rank that engines know.
const LAST_RANK: u8 = 9;

/// Parts shorter than this are read again sooner than told about, in tokens.
const TOLD_TOKENS: u32 = 500;

/// Places, sends and answers it.
pub async fn generate(
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
                (
                    place::maker(relay, call, prompt, &tried, kv.is_some(), reader.urgency)?,
                    kv,
                )
            }
        };
        let (sent, guard) = make(relay, call, prompt, &maker, kv.as_ref()).await;
        tried.push(maker.engine.id.clone());
        let outcome = match sent {
            Sent::Answer(checked) if checked.response.status() == StatusCode::OK => {
                return Ok(Streaming::start(relay, call, *checked, guard, tried));
            }
            Sent::Answer(checked) => {
                if call.route.is_repeatable() && may_repeat(relay, call) {
                    continue;
                }
                return pass_on(relay, call, *checked, guard).await;
            }
            Sent::Unsent(_) => {
                unreached += 1;
                Outcome::Unsent
            }
            Sent::NotRun(_) => Outcome::NotRun,
            Sent::Lost(_) => Outcome::Lost,
        };
        let facts = Facts {
            is_repeatable: call.route.is_repeatable(),
            may_have_run: call.sends.get() > 0,
            unreached,
        };
        if let Next::Refuse(refused) = next(outcome, &facts, || may_repeat(relay, call)) {
            return Err(refused);
        }
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
    let urgency = maker.urgency;
    let guard = InFlight::enter(
        &maker.engine,
        relay.now_ms(),
        Work {
            tokens: maker.tokens,
            context: f64::from(prompt.input_tokens),
            urgency: maker.urgency,
        },
    );
    let maker = &maker.engine;
    let mut sending = Sending {
        instance: &maker.id,
        deadline_ms: call.left_ms(relay.now_ms()),
        priority: Some(rank(call, urgency)),
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
        if relay.served_lines.take(relay.now_ms()) {
            log::info!(
                request = call.id(), upstream = maker.id, predicted_ms, took_ms, apart = kv.is_some(),
                load = maker.load(relay.now_ms()); "output begun"
            );
        }
        let predicted_ms = predicted_ms.max(call.route.goal_ms as f64 / 2.0);
        maker.answered(relay.now_ms(), predicted_ms, took_ms);
    }
    (sent, guard)
}

/// Urgency as the engine is told it.
pub fn rank(call: &Call, urgency: Urgency) -> u8 {
    match urgency {
        Urgency::OnTime => call.route.priority,
        Urgency::Late => call
            .route
            .priority
            .saturating_add(LATE_RANKS)
            .min(LAST_RANK),
    }
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
    taken: Cell<bool>,
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
    let guard = InFlight::enter(
        &reader.engine,
        relay.now_ms(),
        Work {
            tokens: reader.tokens,
            context: 0.0,
            urgency: reader.urgency,
        },
    );
    let read_ms = reader.read.total_ms();
    let urgency = reader.urgency;
    let reader = &reader.engine;
    let before = reader.view(relay.now_ms(), 0.0, urgency).queued_tokens;
    keep_parts(relay, call, prompt, reader);
    call.at.borrow_mut().clone_from(&reader.id);
    let sending = Sending {
        instance: &reader.id,
        deadline_ms: call.left_ms(relay.now_ms()),
        priority: Some(rank(call, urgency)),
        step: Step::Prefill,
        ..Sending::default()
    };
    let began_ms = relay.now_ms();
    let request = call.request(&*relay.dialect, &sending);
    let reading = async {
        match raw_send(relay, call, reader, request).await {
            Ok((response, lease)) => {
                guard.has_answered(relay.now_ms());
                prefilled(relay, reader, response, lease).await
            }
            Err(fault) => {
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
        let took_ms = (relay.now_ms() - began_ms) as f64;
        if relay.served_lines.take(relay.now_ms()) {
            log::info!(request = call.id(), upstream = reader.id, tokens = before, read_ms, took_ms, load = reader.load(relay.now_ms()); "prompt read");
        }
        relay.learn_pace(&call.service, before, took_ms);
        reader.answered(relay.now_ms(), read_ms, took_ms);
        let labels = [call.service.as_str()];
        let histogram = relay.metrics.prefill_s.with_label_values(&labels);
        histogram.observe(took_ms / 1_000.0);
    } else {
        // A rejected call counts as a repeat, whether or not it was wanted.
        relay.forced_repeat(&call.service);
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
    if relay.failed_lines.take(relay.now_ms()) {
        log::info!(request = call.id(), upstream = reader.id, why; "prompt not read");
    }
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
        if relay.failed_lines.take(relay.now_ms()) {
            log::info!(upstream = reader.id, status = status.as_u16(); "prompt rejected");
        }
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
        taken: Cell::new(false),
    })
}
