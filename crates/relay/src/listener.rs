//! HTTP listeners for callers, the directory, readiness, metrics and peers.

use std::io;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use http::request::Parts;
use http::{HeaderName, HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::watch;

use crate::access::admit;
use crate::answer::{ActiveRequest, AnswerBody, Reason, Refusal};
use crate::call::{Call, host};
use crate::config::Limits;
use crate::connection::{IdleLimit, serve_connection};
use crate::forward::forward;
use crate::handover::{Handover, mark_answer};
use crate::pool::DEFAULT_IDLE_MS;
use crate::relay::{Phase, Relay};

/// Length of the accept queue, so that a burst of new connections is not refused.
const BACKLOG: u32 = 1_024;

/// Delay after a failed accept, for example for lack of file descriptors, in ms.
const ACCEPT_RETRY_MS: u64 = 20;

/// Retry delay sent to callers while the instance has no configuration, in ms.
const NO_CONFIG_RETRY_MS: u64 = 250;

/// What a listener serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListenerKind {
    /// Callers' requests.
    Callers,
    /// The directory: addresses of instances that callers can connect to.
    Directory,
    /// Readiness of this instance.
    Readiness,
    /// Metrics in Prometheus' text format.
    Metrics,
    /// State of this instance, for peers that catch up.
    Peers,
}

impl ListenerKind {
    /// How long a connection may be idle. Peers keep theirs for a time of their own, whatever holds for callers.
    fn idle_limit(self) -> IdleLimit {
        match self {
            Self::Peers => IdleLimit::Fixed(DEFAULT_IDLE_MS),
            Self::Callers | Self::Directory | Self::Readiness | Self::Metrics => {
                IdleLimit::Configured
            }
        }
    }
}

/// Opens a listening socket with address reuse, so that a restarted program can bind at once.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts and serves connections. The listener for callers stops when the phase becomes
/// [`Phase::Closing`]; the others run on.
pub async fn serve(
    relay: Rc<Relay>,
    kind: ListenerKind,
    listener: TcpListener,
    mut phase: watch::Receiver<Phase>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| kind == ListenerKind::Callers && *phase == Phase::Closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let relay = Rc::clone(&relay);
                let phase = phase.clone();
                actix_rt::spawn(async move {
                    let respond = |request| respond(&relay, kind, request);
                    let idle_limit = kind.idle_limit();
                    let serving = serve_connection(&relay, stream, idle_limit, phase, respond);
                    if AssertUnwindSafe(serving).catch_unwind().await.is_err() {
                        relay.metrics.panics.inc();
                        log::error!(kind:?; "serving a connection panicked");
                    }
                });
            }
            Err(error) => {
                log::warn!(error:%; "could not accept connection");
                actix_rt::time::sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
            }
        }
    }
}

/// Answers one request. Once the instance is leaving, the answer asks the peer to close the
/// connection.
async fn respond(
    relay: &Rc<Relay>,
    kind: ListenerKind,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let mut response = match kind {
        ListenerKind::Callers => {
            let active = ActiveRequest::enter(&relay.in_flight);
            let mut response = serve_request(relay, request, None).await;
            response.body_mut().track(active, None);
            response
        }
        ListenerKind::Directory => directory_response(relay, &request),
        ListenerKind::Readiness => empty_response(ready_status(relay, request.uri().path())),
        ListenerKind::Peers => respond_to_peer(relay, request).await,
        ListenerKind::Metrics => full_response(relay.metrics_text(), "text/plain; version=0.0.4"),
    };
    if relay.phase() >= Phase::Leaving {
        let headers = response.headers_mut();
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Answers a peer: with the state of this instance, or to a request that the peer hands over.
async fn respond_to_peer(
    relay: &Rc<Relay>,
    mut request: Request<Incoming>,
) -> Response<AnswerBody> {
    let handover = match Handover::take(request.headers_mut()) {
        None => return state_response(relay, request.uri().path()),
        Some(Ok(handover)) => handover,
        Some(Err(error)) => {
            log::warn!(error:%; "request of a peer could not be decoded");
            return empty_response(StatusCode::BAD_REQUEST);
        }
    };
    let active = ActiveRequest::enter(&relay.in_flight);
    let mut response = match relay.begin_taken_over() {
        Ok(taken_over) => {
            let mut response = serve_request(relay, request, Some(handover)).await;
            response.body_mut().track(active, Some(taken_over));
            response
        }
        Err(refusal) => refuse(relay, refusal),
    };
    mark_answer(&mut response);
    response
}

fn state_response(relay: &Relay, path: &str) -> Response<AnswerBody> {
    if path != crate::snapshot::PATH {
        return empty_response(StatusCode::NOT_FOUND);
    }
    match serde_json::to_vec(&relay.snapshot()) {
        Ok(body) => full_response(body, "application/json"),
        Err(error) => {
            log::error!(error:%; "could not serialize the state");
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn ready_status(relay: &Relay, path: &str) -> StatusCode {
    if path != relay.dialect.ready_path() {
        return StatusCode::NOT_FOUND;
    }
    if relay.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

fn directory_response(relay: &Relay, request: &Request<Incoming>) -> Response<AnswerBody> {
    if request.uri().path() != relay.dialect.resolve_path() || request.method() != Method::GET {
        return empty_response(StatusCode::NOT_FOUND);
    }
    let zone = relay
        .dialect
        .parse_caller_zone(request.uri().query().unwrap_or(""));
    let own = relay.own_member();
    let unreached = relay.fully_unreached();
    let members = relay.members.borrow();
    let reachable = members.reachable();
    let addresses = crate::directory::addresses(reachable, &own, zone.as_deref(), &unreached);
    if addresses.is_empty() {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    let ttl_ms = relay.settings.borrow().addresses_ttl_ms;
    full_response(
        relay.dialect.encode_addresses(&addresses, ttl_ms),
        "application/json",
    )
}

/// Reads and admits a request of a caller, which a peer may have handed over, and forwards it.
async fn serve_request(
    relay: &Rc<Relay>,
    request: Request<Incoming>,
    handover: Option<Handover>,
) -> Response<AnswerBody> {
    let arrived_ms = relay.now_ms();
    let (parts, body) = request.into_parts();
    let head = relay.dialect.parse_request_head(&parts.headers);
    let config = relay.config();
    let limits = config
        .as_ref()
        .map_or_else(Limits::default, |config| config.limits);
    // A peer adds headers of its own.
    if handover.is_none() && head_bytes(&parts) > limits.head_bytes {
        return refuse(relay, Refusal::new(Reason::HeadTooLong));
    }
    // A caller that stops within its body must not delay a shutdown, and one whose body is slow is not idle.
    let longest_ms = limits.idle_ms.max(limits.head_ms);
    let wait = Duration::from_millis(longest_ms.min(head.deadline_ms.unwrap_or(u64::MAX)));
    let body = relay.body_memory.read(body, limits.body_bytes);
    let read = tokio::select! {
        biased;
        read = actix_rt::time::timeout(wait, body) => read.ok(),
        () = relay.planned_stop.answers_end(relay.clock) => None,
    };
    let Some(body) = read else {
        return refuse(relay, Refusal::new(Reason::BodyTimeout));
    };
    let body = match body {
        Ok(body) => body,
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            return refuse(relay, Refusal::new(Reason::TooLong));
        }
        Err(error) => {
            log::debug!(error:%; "could not read the request's body");
            return refuse(relay, Refusal::new(Reason::Malformed));
        }
    };
    let Some(config) = config else {
        return refuse(
            relay,
            Refusal::with_retry_after(Reason::NoConfig, NO_CONFIG_RETRY_MS),
        );
    };
    let Some(host) = host(&parts.uri, &parts.headers) else {
        return refuse(relay, Refusal::new(Reason::Malformed));
    };
    let admitted = match admit(&config, &host, parts.uri.path(), head.key) {
        Ok(admitted) => admitted,
        Err(denied) => {
            if relay.failure_log_limit.take(relay.now_ms()) {
                log::info!(
                    request = head.attempt.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("-"),
                    route = denied.route, version = config.version, reason = denied.reason;
                    "request not admitted"
                );
            }
            return refuse(relay, Refusal::new(denied.reason));
        }
    };
    let call = Call::new(relay, admitted, head, arrived_ms, parts, body);
    let Some(call) = call else {
        return refuse(relay, Refusal::new(Reason::NoUpstream));
    };
    if let Some(handover) = handover {
        call.take_over(&handover);
        let labels = [call.service.as_str()];
        relay.metrics.taken_over.with_label_values(&labels).inc();
        if relay.success_log_limit.take(relay.now_ms()) {
            log::info!(
                request = call.id(), route = call.route.name, service = call.service, from = handover.from,
                attempts = handover.spent.attempts;
                "request taken over from another instance: that one is cut off from upstreams"
            );
        }
    }
    forward(relay, call).await
}

/// Length of a request's head as HTTP/1.1 writes it, in bytes.
fn head_bytes(parts: &Parts) -> usize {
    let line = parts.method.as_str().len()
        + parts
            .uri
            .path_and_query()
            .map_or(0, |target| target.as_str().len())
        + " HTTP/1.1\r\n".len();
    let header = |(name, value): (&HeaderName, &HeaderValue)| {
        name.as_str().len() + value.len() + ": \r\n".len()
    };
    line + parts.headers.iter().map(header).sum::<usize>()
}

/// Counts and builds the answer to a request that was refused before it had a route.
fn refuse(relay: &Relay, refusal: Refusal) -> Response<AnswerBody> {
    let labels = ["-", refusal.reason.label()];
    relay.metrics.refusals.with_label_values(&labels).inc();
    refusal.response(relay.dialect.encode_error(&refusal.reason.to_string()))
}

fn empty_response(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(Bytes::new()));
    *response.status_mut() = status;
    response
}

fn full_response(body: Vec<u8>, content_type: &'static str) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(body));
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
