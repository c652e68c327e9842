//! One send of a request to an upstream, and what came of it.

use std::rc::Rc;

use bytes::Bytes;
use http::{Response, StatusCode, header};
use hyper::body::Incoming;

use crate::attribution::note_lost_answer;
use crate::call::Call;
use crate::config::RouteKind;
use crate::dialect::{ResponseHead, SendOptions, Step};
use crate::placement::DEFAULT_ANSWER_MS;
use crate::pool::{ExchangeError, Exchanged, PooledConnection, exchange};
use crate::relay::Relay;
use crate::retry::SendFailure;
use crate::upstream::{InFlight, Stage, Upstream};

/// Part of an instance's share of an upstream's connections that it uses; the rest is for instances
/// that do not know of each other yet.
const USED_CONNECTION_FRACTION: f64 = 0.9;

/// Connections that an instance may open however many share an upstream: one in use, one that is
/// being replaced.
const MIN_CONNECTIONS: usize = 2;

/// An answer's head that has been checked to belong to the request.
pub struct CheckedAnswer {
    /// The answer.
    pub response: Response<Incoming>,
    /// What its head says.
    pub head: ResponseHead,
    /// The connection.
    pub connection: PooledConnection,
}

/// How one send ended.
pub enum SendResult {
    /// The upstream answered, with success or failure.
    Answer(Box<CheckedAnswer>),
    /// Nothing reached the upstream.
    Unsent(ExchangeError),
    /// The upstream rejected it unrun.
    NotRun(StatusCode),
    /// It may have run, and there is no answer.
    Lost(String),
}

impl SendResult {
    /// How it ended, as far as the next step goes; an answer at this point is of no use.
    pub fn failure(&self) -> SendFailure {
        match self {
            Self::Unsent(_) => SendFailure::Unsent,
            Self::NotRun(_) => SendFailure::NotRun,
            Self::Answer(_) | Self::Lost(_) => SendFailure::Lost,
        }
    }
}

/// Sends a request once and checks that the answer is its own.
pub async fn send(
    relay: &Rc<Relay>,
    call: &Rc<Call>,
    upstream: &Rc<Upstream>,
    sending: &SendOptions<'_>,
) -> SendResult {
    let request = call.request(&*relay.dialect, sending);
    debug_assert!(
        call.arrivals() < call.allowed_arrivals.get(),
        "a send beyond the bound"
    );
    call.attempts.set(call.attempts.get() + 1);
    call.possible_runs.set(call.possible_runs.get() + 1);
    call.current_upstream.borrow_mut().clone_from(&upstream.id);
    let began_ms = relay.now_ms();
    let sent = match exchange_with(relay, call, upstream, request).await {
        Ok((response, lease)) => check_answer(relay, call, upstream, sending.step, response, lease),
        Err(fault @ ExchangeError::Lost { .. }) => SendResult::Lost(fault.to_string()),
        Err(fault) => SendResult::Unsent(fault),
    };
    match &sent {
        SendResult::Answer(checked) => {
            let terms = relay.settings.borrow().singleton_tasks;
            relay.singleton_tasks.count_started(terms, call);
            let took_ms = (relay.now_ms() - began_ms) as f64;
            if call.route.kind != RouteKind::Stream && checked.response.status().is_success() {
                let usual_ms = upstream.answer_ms().max(DEFAULT_ANSWER_MS);
                upstream.note_answer(relay.now_ms(), usual_ms, took_ms);
            } else if checked.response.status().is_server_error() {
                upstream.note_failure(relay.now_ms());
            }
        }
        SendResult::Unsent(fault) => {
            call.attempts.set(call.attempts.get() - 1);
            call.possible_runs.set(call.possible_runs.get() - 1);
            note_exchange_error(relay, upstream, fault);
            if relay.failure_log_limit.take(relay.now_ms()) {
                log::info!(request = call.id(), upstream = upstream.id, fault:%; "request not sent");
            }
        }
        SendResult::NotRun(status) => {
            // It is certain that this send did not run.
            call.possible_runs.set(call.possible_runs.get() - 1);
            // With a cache to fetch it may be the cache that is missing, and not room.
            if sending.kv.is_none() && is_no_capacity(*status) && upstream.stage() != Stage::Whole {
                upstream.note_no_capacity(relay.now_ms());
            }
            if relay.failure_log_limit.take(relay.now_ms()) {
                log::info!(
                    request = call.id(), upstream = upstream.id, status = status.as_u16();
                    "request rejected unrun"
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
    }
    sent
}

/// Takes an answer of any kind as a sign of life.
pub fn note_response(relay: &Relay, guard: &InFlight, sent: &SendResult) {
    match sent {
        SendResult::Answer(_) | SendResult::NotRun(_) => guard.note_head(relay.now_ms()),
        SendResult::Unsent(_) | SendResult::Lost(_) => {}
    }
}

/// Counts a fault against its upstream, unless it is that this instance may send nothing there now.
pub fn note_exchange_error(relay: &Relay, upstream: &Upstream, fault: &ExchangeError) {
    match fault {
        ExchangeError::Connect { .. } => upstream.note_unreachable(relay.now_ms()),
        ExchangeError::Lost { .. } => upstream.note_failure(relay.now_ms()),
        ExchangeError::PoolExhausted { .. } | ExchangeError::RateLimited { .. } => {}
    }
}

/// Sends a request over one of the connections that this instance may open.
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
    let most = max_connections_to(relay, &call.service);
    let began_ms = relay.now_ms();
    let seconds = |from_ms: u64| (relay.now_ms() - from_ms) as f64 / 1_000.0;
    if !call.is_sent.replace(true) {
        let own = relay
            .metrics
            .time_to_send_s
            .with_label_values(&[&call.route.name]);
        own.observe(seconds(call.arrived_ms));
    }
    let exchanged = exchange(&upstream.pool, most, request).await;
    match &exchanged {
        Ok(_) => {
            let at_upstream = relay
                .metrics
                .upstream_head_s
                .with_label_values(&[&call.service]);
            at_upstream.observe(seconds(began_ms));
        }
        Err(ExchangeError::Lost { .. }) => note_lost_answer(relay, call, upstream),
        Err(
            ExchangeError::Connect { .. }
            | ExchangeError::PoolExhausted { .. }
            | ExchangeError::RateLimited { .. },
        ) => {}
    }
    exchanged
}

/// Connections that this instance may open to an upstream of a service.
pub fn max_connections_to(relay: &Relay, service: &str) -> usize {
    let config = relay.config();
    let service = config.as_ref().and_then(|config| config.service(service));
    let most = service.map_or(usize::MAX, |service| service.max_connections);
    let most = (most as f64 * USED_CONNECTION_FRACTION / relay.instance_count() as f64) as usize;
    most.max(MIN_CONNECTIONS)
}

/// Whether a rejection says that there is no room, and not that the request is another's.
pub fn is_no_capacity(status: StatusCode) -> bool {
    let full = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    full.contains(&status)
}

/// A request was rejected as another's: the incarnation is gone, or does another step by now.
pub fn note_misdirected(relay: &Relay, upstream: &Upstream, instance: Option<&str>, step: Step) {
    let is_stale = match step {
        Step::Prefill => upstream.stage() == Stage::Prefill,
        Step::Whole => upstream.stage() == Stage::Decode,
    };
    match instance {
        Some(id) if id != upstream.id => relay.remove_replaced(upstream),
        Some(_) if is_stale => {
            upstream.assume_other_stage();
            log::info!(upstream = upstream.id, stage:? = upstream.stage(); "upstream does another step");
        }
        Some(_) | None => {}
    }
}

/// Takes in what an upstream says of itself in an answer's head, whichever request it answers.
pub fn note_response_head(relay: &Relay, upstream: &Upstream, answered: &ResponseHead) {
    let is_another = |id: &String| *id != upstream.id;
    if answered.instance.as_ref().is_some_and(is_another) {
        return;
    }
    if let Some(load) = answered.load {
        upstream.note_reported_load(relay.now_ms(), load);
    }
    relay.record_rate_limit(upstream, answered.limit_per_s);
}

fn check_answer(
    relay: &Rc<Relay>,
    call: &Call,
    upstream: &Rc<Upstream>,
    step: Step,
    response: Response<Incoming>,
    lease: PooledConnection,
) -> SendResult {
    let answered = relay.dialect.parse_response_head(response.headers());
    note_response_head(relay, upstream, &answered);
    let status = response.status();
    // An answer that came late to an earlier request on the connection names another attempt. It
    // says nothing of this one, not even that it has not run.
    if answered.attempt != call.head.attempt {
        return SendResult::Lost("the answer is another request's".to_owned());
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        note_misdirected(relay, upstream, answered.instance.as_deref(), step);
        return SendResult::NotRun(status);
    }
    if answered.not_run {
        return SendResult::NotRun(status);
    }
    let encoded = response.headers().contains_key(header::CONTENT_ENCODING);
    if status.is_success() && (!answered.is_signed || encoded) {
        return SendResult::Lost("the answer has no signature".to_owned());
    }
    SendResult::Answer(Box::new(CheckedAnswer {
        response,
        head: answered,
        connection: lease,
    }))
}
