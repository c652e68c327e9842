//! Sends a request once to an upstream and classifies the result.

use std::rc::Rc;

use bytes::Bytes;
use http::{Response, StatusCode, header};
use http_body::Body;
use hyper::body::Incoming;

use crate::announcement::{AnnouncingAnswer, AnswerTo, note_announcements};
use crate::answer::AnswerBody;
use crate::attribution::note_lost_answer;
use crate::call::Call;
use crate::config::RouteKind;
use crate::dialect::{ResponseHead, SendOptions, Step};
use crate::metrics::PastBound;
use crate::part_evidence::{note_send_result, note_sent};
use crate::path_check::suspect_path;
use crate::placement::DEFAULT_ANSWER_MS;
use crate::pool::{ExchangeError, Exchanged, PooledConnection, exchange};
use crate::relay::Relay;
use crate::retry::SendFailure;
use crate::upstream::{InFlight, Stage, Upstream};
use crate::zone_cost::{relation_to, zone_label};

/// Fraction of its share of an upstream's connections that an instance uses. The rest is left for
/// instances that do not know of each other yet.
const USED_CONNECTION_FRACTION: f64 = 0.9;

/// Connections to an upstream that an instance may always open, however many instances share it: one
/// in use and one being replaced.
const MIN_CONNECTIONS: usize = 2;

/// An answer whose head has been checked to belong to the request.
pub struct CheckedAnswer {
    /// Head of the answer, with the body still to be read.
    pub response: Response<Incoming>,
    /// The fields that the dialect read from the head.
    pub head: ResponseHead,
    /// Connection on which the body arrives.
    pub connection: PooledConnection,
}

/// Result of one send.
pub enum SendResult {
    /// The upstream answered, with success or failure.
    Answer(Box<CheckedAnswer>),
    /// Nothing reached the upstream.
    Unsent(ExchangeError),
    /// The upstream rejected the request without running it.
    NotRun(StatusCode),
    /// The request may have run, and there is no answer; with the reason.
    Lost(String),
    /// The upstream was out of reach, and a peer serves the request.
    HandedOver(Box<Response<AnswerBody>>),
}

impl SendResult {
    /// The result as a failure for the retry decision. An answer counts as lost, since this is called only
    /// for an answer that cannot be used.
    pub fn failure(&self) -> SendFailure {
        match self {
            Self::Unsent(_) => SendFailure::Unsent,
            Self::NotRun(_) => SendFailure::NotRun,
            Self::Answer(_) | Self::Lost(_) | Self::HandedOver(_) => SendFailure::Lost,
        }
    }
}

/// Sends a request once and checks that the answer belongs to it.
///
/// The caller must have taken the send from the retry budget (`Relay::may_send`).
pub async fn send(
    relay: &Rc<Relay>,
    call: &Rc<Call>,
    upstream: &Rc<Upstream>,
    options: &SendOptions<'_>,
) -> SendResult {
    let request = call.request(&*relay.dialect, options);
    debug_assert!(
        call.arrivals() < call.allowed_arrivals.get(),
        "a send beyond the retry budget"
    );
    call.attempts.set(call.attempts.get() + 1);
    call.possible_runs.set(call.possible_runs.get() + 1);
    call.current_upstream.borrow_mut().clone_from(&upstream.id);
    note_sent(call);
    let began_ms = relay.now_ms();
    let sent = match exchange_with(relay, call, upstream, request).await {
        Ok((response, connection)) => {
            check_answer(relay, call, upstream, options, response, connection)
        }
        Err(error @ ExchangeError::Lost { .. }) => SendResult::Lost(error.to_string()),
        Err(error) => SendResult::Unsent(error),
    };
    note_send_result(call, &sent);
    match &sent {
        SendResult::Answer(checked) => {
            let settings = relay.settings.borrow().singleton_tasks;
            relay.singleton_tasks.count_started(settings, call);
            let took_ms = (relay.now_ms() - began_ms) as f64;
            if relay.was_cut_off_since(&call.service, began_ms) {
                // The answer waited for the path, not for the upstream.
            } else if call.route.kind != RouteKind::Stream && checked.response.status().is_success()
            {
                let usual_ms = upstream.answer_ms().max(DEFAULT_ANSWER_MS);
                upstream.note_answer(relay.now_ms(), usual_ms, took_ms);
            } else if checked.response.status().is_server_error() {
                upstream.note_failure(relay.now_ms());
            }
        }
        SendResult::Unsent(fault) => {
            call.attempts.set(call.attempts.get() - 1);
            call.possible_runs.set(call.possible_runs.get() - 1);
            note_exchange_error(relay, upstream, fault, began_ms);
            if relay.failure_log_limit.take(relay.now_ms()) {
                log::info!(request = call.id(), upstream = upstream.id, fault:%; "request not sent");
            }
        }
        SendResult::NotRun(status) => {
            // This send has certainly not run.
            call.possible_runs.set(call.possible_runs.get() - 1);
            // If a KV cache was to be fetched, the rejection may mean that the cache is missing.
            if options.kv.is_none() && is_no_capacity(*status) && upstream.stage() != Stage::Whole {
                upstream.note_no_capacity(relay.now_ms());
            }
            if relay.failure_log_limit.take(relay.now_ms()) {
                log::info!(
                    request = call.id(), upstream = upstream.id, status = status.as_u16();
                    "request rejected without being run"
                );
            }
        }
        SendResult::Lost(why) => {
            upstream.note_failure(relay.now_ms());
            if relay.failure_log_limit.take(relay.now_ms()) {
                log::info!(
                    request = call.id(), key:% = call.key, upstream = upstream.id, why;
                    "answer lost"
                );
            }
        }
        SendResult::HandedOver(_) => {}
    }
    sent
}

/// Records an answer of any kind as activity of the upstream.
pub fn note_response(relay: &Relay, guard: &InFlight, sent: &SendResult) {
    match sent {
        SendResult::Answer(_) | SendResult::NotRun(_) => guard.note_head(relay.now_ms()),
        SendResult::Unsent(_) | SendResult::Lost(_) | SendResult::HandedOver(_) => {}
    }
}

/// Records an error of an attempt that began at `began_ms` against the upstream's health, unless the cause is a limit
/// on this instance. If no connection could be opened, the path to its service is checked.
pub fn note_exchange_error(
    relay: &Rc<Relay>,
    upstream: &Upstream,
    error: &ExchangeError,
    began_ms: u64,
) {
    match error {
        ExchangeError::Connect { .. } => {
            upstream.note_unreachable(relay.now_ms());
            suspect_path(relay, &upstream.service, began_ms);
        }
        ExchangeError::Lost { .. } => upstream.note_failure(relay.now_ms()),
        ExchangeError::PoolExhausted { .. }
        | ExchangeError::RateLimited { .. }
        | ExchangeError::Leaving { .. }
        | ExchangeError::Resting { .. }
        | ExchangeError::Replaced { .. } => {}
    }
}

/// Sends a request within the upstream's rate limit and this instance's share of its connections.
pub async fn exchange_with(
    relay: &Rc<Relay>,
    call: &Call,
    upstream: &Rc<Upstream>,
    request: http::Request<http_body_util::Full<Bytes>>,
) -> Result<Exchanged, ExchangeError> {
    if !relay.take_rate_capacity(upstream) {
        return Err(ExchangeError::RateLimited {
            peer: upstream.address,
        });
    }
    let max_open = max_connections_to(relay, &call.service);
    let began_ms = relay.now_ms();
    let seconds = |from_ms: u64| (relay.now_ms() - from_ms) as f64 / 1_000.0;
    if !call.is_sent.replace(true) {
        let histogram = relay
            .metrics
            .time_to_send_s
            .with_label_values(&[&call.route.name]);
        histogram.observe(seconds(call.arrived_ms));
    }
    let exchanged = exchange(&upstream.pool, max_open, request).await;
    if matches!(&exchanged, Ok(_) | Err(ExchangeError::Lost { .. })) {
        note_body_sent(relay, call, upstream);
    }
    match &exchanged {
        Ok(_) => {
            let histogram = relay
                .metrics
                .upstream_head_s
                .with_label_values(&[&call.service]);
            histogram.observe(seconds(began_ms));
        }
        Err(ExchangeError::Lost { is_past_bound, .. }) => {
            if *is_past_bound {
                relay
                    .metrics
                    .past_bound
                    .count(&call.service, PastBound::Head);
            }
            note_lost_answer(relay, call, upstream);
        }
        Err(ExchangeError::Leaving { .. }) => note_withheld(relay, "leaving"),
        Err(ExchangeError::Resting { .. }) => note_withheld(relay, "resting"),
        Err(
            ExchangeError::Connect { .. }
            | ExchangeError::PoolExhausted { .. }
            | ExchangeError::RateLimited { .. }
            | ExchangeError::Replaced { .. },
        ) => {}
    }
    exchanged
}

/// Counts the bytes of a body that was sent, by whether they left the zone.
fn note_body_sent(relay: &Relay, call: &Call, upstream: &Upstream) {
    let zone = zone_label(relation_to(relay, &upstream.zone));
    let bytes = &relay.metrics.zones.body_bytes;
    bytes
        .with_label_values(&[call.service.as_str(), zone])
        .inc_by(call.body_bytes() as u64);
}

fn note_withheld(relay: &Relay, reason: &str) {
    let withheld = &relay.metrics.sends_withheld;
    withheld.with_label_values(&[reason]).inc();
}

/// Maximum number of connections that this instance may open to an upstream of a service.
pub fn max_connections_to(relay: &Relay, service: &str) -> usize {
    let config = relay.config();
    let service = config.as_ref().and_then(|config| config.service(service));
    let max = service.map_or(usize::MAX, |service| service.max_connections);
    let max = (max as f64 * USED_CONNECTION_FRACTION / relay.instance_count() as f64) as usize;
    max.max(MIN_CONNECTIONS)
}

/// Whether the status of a rejection means that the upstream has no capacity, rather than that the
/// request was misdirected.
pub fn is_no_capacity(status: StatusCode) -> bool {
    let statuses = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    statuses.contains(&status)
}

/// Handles the rejection of a misdirected request: the incarnation was replaced, or its role changed.
pub fn note_misdirected(relay: &Relay, upstream: &Upstream, instance: Option<&str>, step: Step) {
    let is_stale = match step {
        Step::Prefill => upstream.stage() == Stage::Prefill,
        Step::Whole => upstream.stage() == Stage::Decode,
    };
    match instance {
        Some(id) if id != upstream.id => relay.remove_replaced(upstream),
        Some(_) if is_stale => {
            upstream.assume_other_stage();
            log::info!(upstream = upstream.id, stage:? = upstream.stage(); "upstream has changed its role: it rejected a request for the former one");
        }
        Some(_) | None => {}
    }
}

/// Records the load, the rate limit and the announcements of an upstream in an answer, even if the answer
/// belongs to another request.
pub fn note_response_head(relay: &Relay, upstream: &Upstream, answer: &AnnouncingAnswer) {
    let head = answer.head;
    note_announcements(relay, upstream, answer);
    let is_another = |id: &String| *id != upstream.id;
    if head.instance.as_ref().is_some_and(is_another) {
        return;
    }
    if let Some(load) = head.load {
        upstream.note_reported_load(relay.now_ms(), load);
        if let Some(percent) = load.pace_percent {
            relay.record_pace(upstream, percent);
        }
    }
    relay.record_rate_limit(upstream, head.limit_per_s);
}

/// Classifies an answer by its head.
fn check_answer(
    relay: &Rc<Relay>,
    call: &Call,
    upstream: &Rc<Upstream>,
    options: &SendOptions<'_>,
    response: Response<Incoming>,
    connection: PooledConnection,
) -> SendResult {
    let head = relay.dialect.parse_response_head(response.headers());
    let status = response.status();
    let answer = AnnouncingAnswer::to_attempt(AnswerTo::Request, call, status, &head);
    note_response_head(relay, upstream, &answer);
    // A late answer to an earlier request on this connection names another attempt. It says nothing
    // about this request, not even that it has not run.
    if !answer.is_expected {
        return SendResult::Lost("the answer belongs to another request".to_owned());
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        note_misdirected(relay, upstream, head.instance.as_deref(), options.step);
        return SendResult::NotRun(status);
    }
    if head.not_run {
        return SendResult::NotRun(status);
    }
    let is_encoded = response.headers().contains_key(header::CONTENT_ENCODING);
    if status.is_success() && (!head.is_signed || is_encoded) {
        return SendResult::Lost("the answer has no signature".to_owned());
    }
    // A generation has an event at least.
    let begins_stream = call.route.kind == RouteKind::Stream
        && options.step == Step::Whole
        && options.last_event.is_none();
    if begins_stream && status.is_success() && response.body().size_hint().exact() == Some(0) {
        return SendResult::Lost("a stream without an event".to_owned());
    }
    SendResult::Answer(Box::new(CheckedAnswer {
        response,
        head,
        connection,
    }))
}
