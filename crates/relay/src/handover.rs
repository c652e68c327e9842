//! Hands requests over to peers while this instance is cut off from upstreams, and takes over those of peers.
//!
//! A request goes one hop at most, as its caller sent it, with the time that is left and what was spent on it. The peer
//! admits, places, retries and counts it like one of its own callers'. See docs/design/reachability.md.

mod peers;
mod wire;

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::FusedFuture;
use futures_util::stream::{FuturesUnordered, StreamExt};
use http::{HeaderValue, Response, header};
use hyper::body::Incoming;
use plan::AttemptTimeout;

use self::peers::Peer;
pub use self::peers::{AtPeer, Handovers, TakenOver};
use self::wire::UNMARKED;
use self::wire::{HANDOVER, NOT_RUN, REFUSED, is_not_run, is_refusal, take_version, write_version};
pub use self::wire::{Handover, MalformedHandover, Spent};
pub(crate) use self::wire::{NotRunHere, ServedBy, mark_answer};
use crate::announcement::{AnnouncingAnswer, AnswerTo, note_leaving};
use crate::answer::{AnswerBody, Reason, Refusal};
use crate::bounded_body::ReadBody;
use crate::call::{Call, strip_hop_by_hop};
use crate::config::RouteKind;
use crate::dialect::SendOptions;
use crate::engine_process::came_back;
use crate::forward::{MAX_BUFFERED_BYTES, may_retry, note_body_error};
use crate::framing::{UnmarkedEnd, has_unmarked_end};
use crate::pool::{ExchangeError, Exchanged, exchange};
use crate::reachability::{cut_off_from, settle};
use crate::relay::Relay;
use crate::send::{SendResult, send};
use crate::stream::{StreamForwarder, StreamOrigin, stream_answer};
use crate::upstream::Upstream;

/// Peers that a request is handed over to, one after the other, until one takes it.
const MAX_HELPERS: usize = 3;

/// Connections to one peer for requests that are handed over.
const MAX_CONNECTIONS: usize = 256;

/// Time for which an instance must stay cut off before it gives up what waits at an upstream, in ms, and the part of the
/// time to the deadline that this may take: longer than it takes to hear upstreams that were silent.
const MAX_CONFIRM_MS: u64 = 400;
const CONFIRM_FRACTION: u64 = 6;

/// Time after which an upstream that is out of reach is not waited for any longer, in ms: a sound one may be silent for a
/// second or two.
const MAX_SILENCE_MS: u64 = 2_500;

/// Retry delay sent to a caller whose request no peer took, in ms: a few gossip periods.
const CUT_OFF_RETRY_MS: u64 = 300;

/// Whether a request is to be handed over, once it is known whether this instance is cut off.
///
/// While that is in doubt, sending it would be in vain, and one that may not be repeated would be lost.
pub async fn is_handed_over(relay: &Relay, call: &Call) -> bool {
    if relay.is_path_in_doubt(&call.service) {
        settle(relay, &call.service).await;
    }
    relay.is_cut_off(&call.service)
}

/// Sends a request to an upstream. If this instance is cut off from it before anything came back, and a peer may serve
/// the request instead, a peer is asked beside it, and the first to answer counts.
pub async fn send_unless_cut_off(
    relay: &Rc<Relay>,
    call: &Rc<Call>,
    upstream: &Rc<Upstream>,
    options: &SendOptions<'_>,
) -> SendResult {
    if options.last_event.is_some() && came_back(relay, upstream).await {
        let peer = upstream.address;
        return SendResult::Unsent(ExchangeError::Replaced { peer });
    }
    let sending = send(relay, call, upstream, options);
    tokio::pin!(sending);
    let sent = tokio::select! {
        sent = &mut sending => Some(sent),
        () = movable_to_peer(relay, call, upstream), if call.route.is_retryable() => None,
    };
    let sent = match sent {
        Some(sent) => sent,
        // A peer would begin a stream from where its caller has it, not from where it broke off.
        None if options.last_event != call.head.last_event => {
            SendResult::Lost("the path to the upstream was cut".to_owned())
        }
        None => beside_peer(relay, call, upstream, sending).await,
    };
    if let SendResult::Unsent(ExchangeError::Connect { .. }) = &sent {
        settle(relay, &call.service).await;
    }
    sent
}

/// Waits for what `sending` brings from an upstream out of reach, and asks a peer beside it. The first to answer counts.
///
/// If the upstream rejects the request in the end, the peer may still serve it; it is waited for as long as for any
/// attempt.
async fn beside_peer(
    relay: &Rc<Relay>,
    call: &Rc<Call>,
    upstream: &Upstream,
    mut sending: Pin<&mut impl Future<Output = SendResult>>,
) -> SendResult {
    let at_peer = serve_at_peer(relay, call).fuse();
    let silent = silent_for_too_long(relay, upstream);
    tokio::pin!(at_peer, silent);
    let failed = loop {
        tokio::select! {
            sent = &mut sending => match sent {
                SendResult::Answer(_) => return sent,
                failed => break failed,
            },
            response = &mut at_peer, if !at_peer.is_terminated() => {
                if let Some(response) = response {
                    return SendResult::HandedOver(Box::new(response));
                }
            }
            () = &mut silent => {
                return SendResult::Lost("the path to the upstream was cut".to_owned());
            }
        }
    };
    if at_peer.is_terminated() {
        return failed;
    }
    tokio::select! {
        response = &mut at_peer => match response {
            Some(response) => SendResult::HandedOver(Box::new(response)),
            None => failed,
        },
        () = sleep_until(relay, share_ends_ms(relay, call)) => failed,
    }
}

/// Completes once an upstream has been out of reach for longer than a sound one is silent.
async fn silent_for_too_long(relay: &Relay, upstream: &Upstream) {
    loop {
        actix_rt::time::sleep(Duration::from_millis(MAX_SILENCE_MS)).await;
        if cut_off_from(relay, upstream).now_or_never().is_some() {
            return;
        }
    }
}

/// Has a peer serve a request; none if none does, since the upstream may answer yet.
async fn serve_at_peer(relay: &Rc<Relay>, call: &Rc<Call>) -> Option<Response<AnswerBody>> {
    if let Ok(((response, connection), at_peer)) =
        hand_over_from(relay, call, call.head.last_event).await
        && !is_refusal(&response)
        && !response.status().is_server_error()
        && let Ok(response) = use_peer_answer(relay, call, (response, connection), at_peer).await
    {
        return Some(response);
    }
    None
}

/// Completes once this instance is cut off from `upstream` and a peer may serve the request that waits there.
///
/// An upstream that is merely silent looks the same. Until somebody else can serve the request, its answer may come.
pub async fn movable_to_peer(relay: &Relay, call: &Call, upstream: &Upstream) {
    if call.is_taken_over.get() {
        return std::future::pending().await;
    }
    loop {
        stays_cut_off_from(relay, call, upstream).await;
        if next_helper_for_retry(relay, call, &[]).is_some() {
            return;
        }
        // Peers may come into reach, and the retry budget fills again.
        actix_rt::time::sleep(Duration::from_millis(view::gossip::PERIOD_MS)).await;
    }
}

/// Completes once this instance has been cut off from `upstream` for a while.
///
/// Upstreams that go on after a silence are often heard by peers first, and the instance takes itself for cut off until
/// it hears them too. What waits at another upstream must not be given up for that.
pub async fn stays_cut_off_from(relay: &Relay, call: &Call, upstream: &Upstream) {
    loop {
        cut_off_from(relay, upstream).await;
        let left_ms = call.left_ms(relay.now_ms());
        let confirm_ms = (left_ms / CONFIRM_FRACTION).min(MAX_CONFIRM_MS);
        actix_rt::time::sleep(Duration::from_millis(confirm_ms)).await;
        if cut_off_from(relay, upstream).now_or_never().is_some() {
            return;
        }
    }
}

/// Result of handing a request over to one peer.
enum Handed {
    /// The peer answered, also with a refusal of its own that stands.
    Answered(Box<Exchanged>),
    /// The peer did not take the request.
    NotTaken(String),
    /// The request may have run, and there is no answer.
    Lost(String),
}

/// Has a peer serve a request, or refuses it if none takes it.
pub async fn hand_over(
    relay: &Rc<Relay>,
    call: &Rc<Call>,
) -> Result<Response<AnswerBody>, Refusal> {
    if call.is_taken_over.get() {
        return Err(Refusal::new(Reason::CutOff));
    }
    let (exchanged, at_peer) = hand_over_from(relay, call, call.head.last_event).await?;
    use_peer_answer(relay, call, exchanged, at_peer).await
}

/// Passes a peer's answer on, as a stream that goes on elsewhere if the peer fails, or whole.
async fn use_peer_answer(
    relay: &Rc<Relay>,
    call: &Rc<Call>,
    (response, connection): Exchanged,
    at_peer: AtPeer,
) -> Result<Response<AnswerBody>, Refusal> {
    let refused = is_refusal(&response);
    let is_stream = call.route.kind == RouteKind::Stream && response.status().is_success();
    if is_stream && !refused {
        let origin = StreamOrigin::Peer(at_peer);
        return Ok(StreamForwarder::start(
            relay,
            call,
            (response, connection),
            origin,
            Vec::new(),
        ));
    }
    pass_on(relay, call, (response, connection), at_peer).await
}

/// Hands a request over to one peer after the other until one answers; `last_event` is the last event that its caller
/// has of a stream.
///
/// A peer whose upstream is silent is not given up: once it has used up its share of the time another one is asked
/// beside it, if one can be, and the first that answers is taken.
pub async fn hand_over_from(
    relay: &Rc<Relay>,
    call: &Rc<Call>,
    last_event: Option<u64>,
) -> Result<(Exchanged, AtPeer), Refusal> {
    let mut tried = Vec::new();
    let mut asked = FuturesUnordered::new();
    let mut overdue_at_ms = None;
    let mut is_lost = false;
    let mut next = next_helper(relay, call, &tried);
    loop {
        if let Some(peer) = next.take() {
            tried.push(peer.name.clone());
            overdue_at_ms = share_ends_ms(relay, call);
            asked.push(ask_peer(relay, call, peer, last_event));
        }
        let answered = tokio::select! {
            answered = asked.next() => answered,
            () = sleep_until(relay, overdue_at_ms) => {
                overdue_at_ms = None;
                next = next_helper_for_retry(relay, call, &tried);
                continue;
            }
        };
        let Some((at_peer, handed)) = answered else {
            break;
        };
        let is_newest = tried.last() == Some(&at_peer.name);
        match handed {
            Handed::Answered(exchanged) if asked.is_empty() || !is_refusal(&exchanged.0) => {
                return Ok(take_answer(relay, call, *exchanged, at_peer));
            }
            // Those that were asked before may still serve it.
            Handed::Answered(exchanged) => {
                is_lost |= !is_not_run(&exchanged.0);
                note_failure(relay, call, &at_peer, "not_taken", "refused");
            }
            Handed::NotTaken(why) => {
                note_failure(relay, call, &at_peer, "not_taken", &why);
                call.attempts.set(call.attempts.get() - 1);
                call.possible_runs.set(call.possible_runs.get() - 1);
                if is_newest {
                    next = next_helper(relay, call, &tried);
                }
            }
            Handed::Lost(why) => {
                is_lost = true;
                note_failure(relay, call, &at_peer, "lost", &why);
                if is_newest {
                    next = next_helper_for_retry(relay, call, &tried);
                }
            }
        }
    }
    if is_lost {
        return Err(Refusal::new(Reason::Lost));
    }
    count(relay, call, "no_peer");
    Err(Refusal::with_retry_after(Reason::CutOff, CUT_OFF_RETRY_MS))
}

/// The next peer to ask, if there is one.
fn next_helper(relay: &Relay, call: &Call, tried: &[String]) -> Option<Peer> {
    if tried.len() >= MAX_HELPERS {
        return None;
    }
    relay.choose_helper(&call.service, tried)
}

/// The next peer to ask although the request may run at one that was asked; takes a retry from the budget.
fn next_helper_for_retry(relay: &Relay, call: &Call, tried: &[String]) -> Option<Peer> {
    let peer = next_helper(relay, call, tried).filter(|_| call.route.is_retryable())?;
    may_retry(relay, call).then_some(peer)
}

/// When a peer that is asked now has used up its share of the time; none if too little is left for another one.
fn share_ends_ms(relay: &Relay, call: &Call) -> Option<u64> {
    let now_ms = relay.now_ms();
    let share = AttemptTimeout::next(call.left_ms(now_ms), 1)?;
    Some(now_ms + share.timeout_ms)
}

async fn sleep_until(relay: &Relay, at_ms: Option<u64>) {
    let Some(at_ms) = at_ms else {
        return std::future::pending().await;
    };
    let left_ms = at_ms.saturating_sub(relay.now_ms());
    actix_rt::time::sleep(Duration::from_millis(left_ms)).await;
}

fn take_answer(
    relay: &Relay,
    call: &Call,
    mut exchanged: Exchanged,
    mut at_peer: AtPeer,
) -> (Exchanged, AtPeer) {
    at_peer.version = take_version(exchanged.0.headers_mut());
    call.current_upstream.borrow_mut().clone_from(&at_peer.name);
    call.is_handed_over.set(true);
    count(relay, call, "answered");
    (exchanged, at_peer)
}

/// Sends a request to one peer, for which it counts as long as it is there.
async fn ask_peer(
    relay: &Rc<Relay>,
    call: &Rc<Call>,
    peer: Peer,
    last_event: Option<u64>,
) -> (AtPeer, Handed) {
    let at_peer = AtPeer::begin(relay, &peer);
    let was_counted = call.is_first_counted.get();
    let handed = exchange_with_peer(relay, call, &peer, last_event).await;
    if matches!(handed, Handed::NotTaken(_)) {
        call.is_first_counted.set(was_counted);
    }
    (at_peer, handed)
}

/// Sends a request to one peer. It counts as sent until the peer says that it did not take it.
async fn exchange_with_peer(
    relay: &Rc<Relay>,
    call: &Rc<Call>,
    peer: &Peer,
    last_event: Option<u64>,
) -> Handed {
    let handover = Handover {
        spent: call.spent(),
        began_version: call.began_version.get(),
        from: relay.settings.borrow().name.clone(),
    };
    let Some(value) = handover.header() else {
        return Handed::NotTaken("the instance's name is no valid header value".to_owned());
    };
    let mut request = call.handover_request(last_event);
    let headers = request.headers_mut();
    headers.insert(HANDOVER, value);
    write_version(headers, handover.began_version);
    // This peer counts the first send, so no other one may: its request would pay for retries at both.
    call.is_first_counted.set(true);
    call.attempts.set(call.attempts.get() + 1);
    call.possible_runs.set(call.possible_runs.get() + 1);
    call.current_upstream.borrow_mut().clone_from(&peer.name);
    let pool = relay.handover_pool(peer.address);
    let mut exchanged = match exchange(&pool, MAX_CONNECTIONS, request).await {
        Ok(exchanged) => exchanged,
        Err(error @ ExchangeError::Lost { .. }) => return Handed::Lost(error.to_string()),
        Err(error) => return Handed::NotTaken(error.to_string()),
    };
    let Some(upstream) = exchanged.0.headers_mut().remove(HANDOVER) else {
        return Handed::NotTaken("it takes no requests over".to_owned());
    };
    if has_unmarked_end(exchanged.0.status(), exchanged.0.headers()) {
        return Handed::Lost("the end of its answer is not marked".to_owned());
    }
    note_announced_leaving(relay, call, &upstream, &exchanged.0);
    let label = exchanged.0.headers().get(REFUSED);
    let label = label.and_then(|label| label.to_str().ok());
    if let Some(label) = label.filter(|label| is_refused_by_peer_alone(label)) {
        return Handed::NotTaken(label.to_owned());
    }
    if is_not_run(&exchanged.0) {
        call.possible_runs.set(call.possible_runs.get() - 1);
    }
    Handed::Answered(Box::new(exchanged))
}

/// Takes an upstream out of use that announced its leaving in an answer to a peer: the answer is passed on here.
fn note_announced_leaving(
    relay: &Relay,
    call: &Call,
    upstream: &HeaderValue,
    response: &Response<Incoming>,
) {
    let head = relay.dialect.parse_response_head(response.headers());
    let id = upstream.to_str().unwrap_or_default();
    let upstream = relay.upstreams.borrow().get(id).cloned();
    if let Some(upstream) = upstream.filter(|_| head.is_leaving) {
        let status = response.status();
        let answer = AnnouncingAnswer::to_attempt(AnswerTo::HandedOver, call, status, &head);
        note_leaving(relay, &upstream, &answer);
    }
}

/// Whether another peer may serve a request that a peer refused for this reason.
fn is_refused_by_peer_alone(label: &str) -> bool {
    let alone = [
        Reason::CutOff,
        Reason::HelperBusy,
        Reason::NoConfig,
        Reason::NoRoute,
        Reason::NoKey,
    ];
    alone.iter().any(|reason| reason.label() == label)
}

/// Passes on a peer's answer, whole if it is short.
async fn pass_on(
    relay: &Rc<Relay>,
    call: &Rc<Call>,
    (response, connection): Exchanged,
    at_peer: AtPeer,
) -> Result<Response<AnswerBody>, Refusal> {
    let (mut head, body) = response.into_parts();
    strip_hop_by_hop(&mut head.headers, |_| false);
    let is_refusal = head.headers.remove(REFUSED).is_some();
    head.headers.remove(NOT_RUN);
    let is_unmarked = head.headers.remove(UNMARKED).is_some();
    if is_unmarked {
        head.extensions.insert(UnmarkedEnd);
    }
    let is_long = http_body::Body::size_hint(&body).lower() > MAX_BUFFERED_BYTES;
    let read = if is_long {
        Ok(ReadBody::Begun(Bytes::new(), body))
    } else {
        relay.answer_memory.read_whole(body).await
    };
    let body = match read {
        Ok(ReadBody::Begun(begun, rest)) => {
            let origin = StreamOrigin::Peer(at_peer);
            stream_answer(relay, call, (begun, rest), connection, origin)
        }
        Ok(ReadBody::Whole(bytes)) => {
            head.headers.remove(header::CONTENT_LENGTH);
            connection.release();
            if is_unmarked {
                AnswerBody::until_close(bytes)
            } else {
                AnswerBody::whole(bytes)
            }
        }
        Err(error) => {
            note_body_error(relay, call, &at_peer.name, &error);
            return Err(Refusal::new(Reason::Lost));
        }
    };
    call.is_finished.set(true);
    call.count_end("handed_over");
    if relay.success_log_limit.take(relay.now_ms()) {
        log::info!(
            request = call.id(), route = call.route.name, service = call.service,
            to = call.current_upstream.borrow().as_str(), status = head.status.as_u16(), is_refusal,
            took_ms = relay.now_ms() - call.arrived_ms;
            "request served by another instance: this one is cut off from upstreams"
        );
    }
    Ok(Response::from_parts(head, body))
}

fn count(relay: &Relay, call: &Call, outcome: &str) {
    let labels = [call.service.as_str(), outcome];
    relay.metrics.handed_over.with_label_values(&labels).inc();
}

/// Counts and logs that a peer did not serve a request.
fn note_failure(relay: &Relay, call: &Call, at_peer: &AtPeer, outcome: &str, why: &str) {
    count(relay, call, outcome);
    if relay.failure_log_limit.take(relay.now_ms()) {
        log::info!(
            request = call.id(), key:% = call.key, service = call.service, to = at_peer.name, why;
            "request not taken over by another instance"
        );
    }
}
