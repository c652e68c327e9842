//! Serves one request: places it, sends it, retries it if that is allowed, and forwards the answer.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, header};

use crate::answer::{AnswerBody, Reason, Refusal};
use crate::attribution::{ensure_not_poison, note_lost_answer};
use crate::bounded_body::{BodyError, ReadBody};
use crate::call::{Call, strip_hop_by_hop};
use crate::config::RouteKind;
use crate::framing::{UnmarkedEnd, has_unmarked_end};
use crate::generation::generate;
use crate::handover::{NotRunHere, ServedBy, hand_over, is_handed_over};
use crate::metrics::PastBound;
use crate::placement;
use crate::plain_attempts::{Attempts, BegunAnswer, Next, Outcome};
use crate::relay::Relay;
use crate::retry::{RetryContext, RetryDecision, SendFailure, decide, without_false_not_run};
use crate::send::CheckedAnswer;
use crate::stream::{StreamForwarder, StreamOrigin, stream_answer};
use crate::stream_origins::bind_to_origin;
use crate::upstream::{InFlight, Upstream};

/// Longest answer that is buffered before it is forwarded, in bytes, so that the request can be
/// retried if the answer ends early. Longer ones are streamed to save memory.
pub const MAX_BUFFERED_BYTES: u64 = 256 * 1024;

/// Serves one request and returns the head of its answer; the body may still be streamed.
pub async fn forward(relay: &Rc<Relay>, call: Call) -> Response<AnswerBody> {
    let call = Rc::new(call);
    let outcome = serve_in_time(relay, &call).await;
    outcome.unwrap_or_else(|refusal| {
        call.is_finished.set(true);
        let refusal = placement::refusal_with_rest(relay, &call, refusal);
        let refusal = without_false_not_run(refusal, call.possible_runs.get() > 0);
        refusal_response(relay, &call, refusal)
    })
}

/// Serves a request until its deadline, or until a planned stop answers what is left.
async fn serve_in_time(
    relay: &Rc<Relay>,
    call: &Rc<Call>,
) -> Result<Response<AnswerBody>, Refusal> {
    let left_ms = call.left_ms(relay.now_ms());
    if !relay
        .planned_stop
        .takes(relay.now_ms(), &call.route, left_ms)
    {
        return Err(Refusal::with_retry_after(Reason::Stopping, 0));
    }
    let serving = serve_call(relay, call);
    let in_time = actix_rt::time::timeout(Duration::from_millis(left_ms), serving);
    let ended = tokio::select! {
        biased;
        ended = in_time => Some(ended),
        () = relay.planned_stop.answers_end(relay.clock) => None,
    };
    // A request that was not sent has not run and never will, so the refusal may say so.
    let is_unsent = call.possible_runs.get() == 0;
    match ended {
        Some(Ok(outcome)) => outcome,
        Some(Err(_)) if is_unsent => Err(Refusal::new(Reason::TooLate)),
        Some(Err(_)) => Err(Refusal::new(Reason::TimedOut)),
        None if is_unsent => Err(Refusal::with_retry_after(Reason::Stopping, 0)),
        None => Err(Refusal::new(Reason::Lost)),
    }
}

/// Logs and counts a refusal, and builds its answer.
fn refusal_response(relay: &Relay, call: &Call, refusal: Refusal) -> Response<AnswerBody> {
    let took_ms = relay.now_ms() - call.arrived_ms;
    if relay.failure_log_limit.take(relay.now_ms()) {
        log::info!(
            request = call.id(), key:% = call.key, route = call.route.name, service = call.service, workspace = call.workspace_name(),
            reason = refusal.reason, took_ms,
            sends = call.possible_runs.get(), retry_after_ms = refusal.retry_after_ms.unwrap_or(0),
            version = relay.config().map_or(0, |config| config.version),
            list_age_ms = relay.list_age_ms().unwrap_or(u64::MAX);
            "request not served"
        );
    }
    let status = refusal.reason.status().as_u16().to_string();
    call.count_end(&status);
    let labels = [call.route.name.as_str(), refusal.reason.label()];
    relay.metrics.refusals.with_label_values(&labels).inc();
    let mut response = refusal.response(relay.dialect.encode_error(&refusal.reason.to_string()));
    if call.has_not_run_here() {
        response.extensions_mut().insert(NotRunHere);
    }
    response
}

/// Serves a request by the kind of its route.
async fn serve_call(relay: &Rc<Relay>, call: &Rc<Call>) -> Result<Response<AnswerBody>, Refusal> {
    if is_handed_over(relay, call).await {
        return hand_over(relay, call).await;
    }
    bind_to_origin(relay, call).await?;
    if !call.is_first_counted.replace(true) {
        relay.count_first_send(&call.service);
    }
    match &call.head.prompt {
        Some(prompt) if call.route.kind == RouteKind::Stream => generate(relay, call, prompt).await,
        _ => forward_plain(relay, call).await,
    }
}

/// Serves a request that generates no text.
async fn forward_plain(
    relay: &Rc<Relay>,
    call: &Rc<Call>,
) -> Result<Response<AnswerBody>, Refusal> {
    let mut tried = Vec::new();
    let mut unreachable_upstreams = 0;
    let mut attempts = Attempts::new(relay, call);
    // An error of an upstream is more specific than a refusal, if no other one answers.
    let mut server_error = None;
    loop {
        if !attempts.is_under_way() && is_handed_over(relay, call).await {
            return hand_over(relay, call).await;
        }
        match place(relay, call, &tried).await {
            Ok(upstream) => {
                tried.push(upstream.id.clone());
                attempts.begin(upstream);
            }
            // What is under way may answer yet.
            Err(_) if attempts.is_under_way() => {}
            Err(refusal) => return answer_with(relay, call, server_error, refusal).await,
        }
        loop {
            let Next::Ended(outcome) = attempts.next(&tried).await else {
                break;
            };
            let failure = match outcome {
                Outcome::Answered(response) => return Ok(response),
                Outcome::Stream((checked, guard)) => {
                    let exchanged = (checked.response, checked.connection);
                    let origin = StreamOrigin::Engine(guard);
                    return Ok(StreamForwarder::start(
                        relay, call, exchanged, origin, tried,
                    ));
                }
                Outcome::ServerError(answer) => {
                    server_error = Some(answer);
                    SendFailure::Lost
                }
                Outcome::Failed(failure) => failure,
            };
            if attempts.is_under_way() {
                continue;
            }
            let decided = if server_error.is_some() && !attempts.may_ask_another(&tried) {
                Err(Refusal::new(Reason::Lost))
            } else {
                retry_or_refuse(relay, call, failure, &mut unreachable_upstreams)
            };
            match decided {
                Ok(()) => break,
                Err(refusal) => return answer_with(relay, call, server_error, refusal).await,
            }
        }
    }
}

/// Answers with the error of an upstream if there is one, and with the refusal otherwise.
async fn answer_with(
    relay: &Rc<Relay>,
    call: &Rc<Call>,
    server_error: Option<BegunAnswer>,
    refusal: Refusal,
) -> Result<Response<AnswerBody>, Refusal> {
    match server_error {
        Some((checked, guard)) => buffer_or_stream(relay, call, *checked, guard).await,
        None => Err(refusal),
    }
}

/// Chooses the upstream of the next send, unless the request is refused.
async fn place(
    relay: &Rc<Relay>,
    call: &Rc<Call>,
    tried: &[String],
) -> Result<Rc<Upstream>, Refusal> {
    ensure_not_poison(relay, call).await?;
    placement::choose_upstream(relay, call, tried)
}

/// Returns `Ok` if the request is to be retried after a failed send, and the refusal otherwise.
pub fn retry_or_refuse(
    relay: &Relay,
    call: &Call,
    failure: SendFailure,
    unreachable_upstreams: &mut u32,
) -> Result<(), Refusal> {
    *unreachable_upstreams += u32::from(failure == SendFailure::Unsent);
    let context = RetryContext {
        is_repeatable: call.route.is_retryable(),
        may_have_run: call.possible_runs.get() > 0,
        unreachable_upstreams: *unreachable_upstreams,
    };
    match decide(failure, &context, || may_retry(relay, call)) {
        RetryDecision::Retry => Ok(()),
        RetryDecision::Refuse(refusal) => Err(refusal),
    }
}

/// Whether the request may be sent to another upstream; takes a retry from the budget if
/// the send needs one.
pub fn may_retry(relay: &Relay, call: &Call) -> bool {
    call.counted_attempts() < call.route.max_attempts && relay.may_send(call)
}

/// Counts a complete answer by whether it met the route's objective, which its status does not show.
pub fn count_answer(relay: &Relay, call: &Call, in_time: bool) {
    let in_time = if in_time { "yes" } else { "no" };
    let labels = [call.route.name.as_str(), in_time];
    relay.metrics.answers.with_label_values(&labels).inc();
}

/// Counts and logs that the body of an answer could not be read whole.
pub fn note_body_error(relay: &Relay, call: &Call, from: &str, error: &BodyError) {
    if error.is_past_bound() {
        relay
            .metrics
            .past_bound
            .count(&call.service, PastBound::Body);
    }
    if relay.failure_log_limit.take(relay.now_ms()) {
        log::info!(
            request = call.id(), key:% = call.key, upstream = from, why:% = error, is_past_bound = error.is_past_bound();
            "answer could not be read whole"
        );
    }
}

/// Forwards an answer to the caller: buffered if it is short, streamed otherwise.
///
/// Fails if a buffered answer ends early; the caller has then received no part of it.
pub async fn buffer_or_stream(
    relay: &Rc<Relay>,
    call: &Rc<Call>,
    checked: CheckedAnswer,
    guard: InFlight,
) -> Result<Response<AnswerBody>, Refusal> {
    let (mut head, body) = checked.response.into_parts();
    let is_unmarked = has_unmarked_end(head.status, &head.headers);
    strip_hop_by_hop(&mut head.headers, |_| false);
    let upstream = Rc::clone(guard.upstream());
    head.extensions.insert(ServedBy {
        id: upstream.id.clone(),
        version: None,
    });
    let is_long = http_body::Body::size_hint(&body).lower() > MAX_BUFFERED_BYTES;
    let read = if is_long {
        Ok(ReadBody::Begun(Bytes::new(), body))
    } else {
        relay.answer_memory.read_whole(body).await
    };
    let body = match read {
        Ok(ReadBody::Begun(begun, rest)) => {
            let origin = StreamOrigin::Engine(guard);
            stream_answer(relay, call, (begun, rest), checked.connection, origin)
        }
        // Nothing tells this from an upstream that stopped in its head.
        Ok(ReadBody::Whole(bytes))
            if bytes.is_empty() && is_unmarked && head.status.is_success() =>
        {
            drop(checked.connection);
            upstream.note_failure(relay.now_ms());
            note_lost_answer(relay, call, &upstream);
            return Err(Refusal::new(Reason::Lost));
        }
        Ok(ReadBody::Whole(bytes)) => {
            head.headers.remove(header::CONTENT_LENGTH);
            checked.connection.release();
            drop(guard);
            relay.record_answered(call);
            if is_unmarked && !bytes.is_empty() {
                AnswerBody::until_close(bytes)
            } else {
                AnswerBody::whole(bytes)
            }
        }
        Err(error) => {
            // The connection is reset before anything is asked about the upstream.
            drop(checked.connection);
            upstream.note_failure(relay.now_ms());
            note_lost_answer(relay, call, &upstream);
            note_body_error(relay, call, &upstream.id, &error);
            return Err(Refusal::new(Reason::Lost));
        }
    };
    if is_unmarked {
        head.extensions.insert(UnmarkedEnd);
    }
    let status = head.status.as_u16().to_string();
    call.count_end(&status);
    let now_ms = relay.now_ms();
    call.is_finished.set(true);
    if head.status.is_success() {
        let took_ms = call.prior_wait_ms + now_ms - call.arrived_ms;
        count_answer(relay, call, took_ms <= call.route.goal_ms);
    }
    if relay.success_log_limit.take(now_ms) {
        log::info!(
            request = call.id(), route = call.route.name, workspace = call.workspace_name(),
            upstream = upstream.id, status = head.status.as_u16(), took_ms = now_ms - call.arrived_ms,
            load = upstream.load(now_ms), sends = call.possible_runs.get();
            "answer forwarded"
        );
    }
    Ok(Response::from_parts(head, body))
}
