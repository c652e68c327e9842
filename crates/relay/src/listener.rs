//! Listeners: callers, the directory, readiness and metrics.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

use crate::access::admit;
use crate::answer::{ActiveRequest, AnswerBody, Reason, Refusal};
use crate::call::{Call, host};
use crate::config::Limits;
use crate::forward::forward;
use crate::relay::{Phase, Relay};

/// Connections that may wait to be accepted, so that a wave of new ones is not turned away.
const BACKLOG: u32 = 1_024;

/// Wait after a failed accept, such as one for want of descriptors, in ms.
const ACCEPT_RETRY_MS: u64 = 20;

/// Time after which a caller comes back to an instance that has no configuration yet, in ms.
const NO_CONFIG_RETRY_MS: u64 = 250;

/// What a listener serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListenerKind {
    /// Requests of callers.
    Callers,
    /// Addresses to connect to.
    Directory,
    /// Whether the instance takes callers.
    Readiness,
    /// Metrics.
    Metrics,
    /// State for other instances.
    Peers,
}

/// Opens a listener that another start of the same program can follow at once.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts and serves connections until the phase says otherwise.
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
                actix_rt::spawn(connection(relay, kind, stream, phase));
            }
            Err(error) => {
                log::warn!(error:%; "connection not accepted");
                actix_rt::time::sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
            }
        }
    }
}

async fn connection(
    relay: Rc<Relay>,
    kind: ListenerKind,
    stream: TcpStream,
    mut phase: watch::Receiver<Phase>,
) {
    if let Err(error) = crate::pool::configure_socket(&stream) {
        log::debug!(error:%; "connection with default options");
    }
    let limits = relay
        .config()
        .map_or_else(Limits::default, |config| config.limits);
    let service = service_fn(|request| {
        let relay = Rc::clone(&relay);
        async move { Ok::<_, Infallible>(respond(&relay, kind, request).await) }
    });
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        // A connection may idle for as long as callers are told; this bounds both that and a
        // head that never ends.
        .header_read_timeout(Duration::from_millis(limits.idle_ms))
        .max_buf_size(limits.head_bytes.max(16_384))
        .serve_connection(TokioIo::new(stream), service);
    let mut serving = std::pin::pin!(serving);
    let ended = tokio::select! {
        ended = serving.as_mut() => ended,
        _ = phase.wait_for(|phase| *phase == Phase::Closing) => {
            serving.as_mut().graceful_shutdown();
            serving.await
        }
    };
    if let Err(error) = ended {
        log::debug!(error:%; "caller's connection ended");
    }
}

async fn respond(
    relay: &Rc<Relay>,
    kind: ListenerKind,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let mut response = match kind {
        ListenerKind::Callers => {
            let busy = ActiveRequest::enter(&relay.in_flight);
            let mut response = serve_caller(relay, request).await;
            response.body_mut().track(busy);
            response
        }
        ListenerKind::Directory => directory_response(relay, &request),
        ListenerKind::Readiness => empty_response(ready_status(relay, request.uri().path())),
        ListenerKind::Peers => state_response(relay, request.uri().path()),
        ListenerKind::Metrics => full_response(relay.metrics_text(), "text/plain; version=0.0.4"),
    };
    if relay.phase() >= Phase::Leaving {
        let headers = response.headers_mut();
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn state_response(relay: &Relay, path: &str) -> Response<AnswerBody> {
    if path != crate::snapshot::PATH {
        return empty_response(StatusCode::NOT_FOUND);
    }
    match serde_json::to_vec(&relay.snapshot()) {
        Ok(body) => full_response(body, "application/json"),
        Err(error) => {
            log::error!(error:%; "state not written");
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
    let members = relay.members.borrow();
    let reachable = members.reachable();
    let addresses = crate::directory::addresses(reachable, &own, zone.as_deref());
    if addresses.is_empty() {
        return empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    let ttl_ms = relay.settings.borrow().addresses_ttl_ms;
    full_response(
        relay.dialect.encode_addresses(&addresses, ttl_ms),
        "application/json",
    )
}

async fn serve_caller(relay: &Rc<Relay>, request: Request<Incoming>) -> Response<AnswerBody> {
    let arrived_ms = relay.now_ms();
    let (parts, body) = request.into_parts();
    let head = relay.dialect.parse_request_head(&parts.headers);
    let config = relay.config();
    let limits = config
        .as_ref()
        .map_or_else(Limits::default, |config| config.limits);
    // A caller that falls silent within its body must not hold up a process that leaves.
    let wait = Duration::from_millis(limits.idle_ms.min(head.deadline_ms.unwrap_or(u64::MAX)));
    let body = Limited::new(body, limits.body_bytes).collect();
    let Ok(body) = actix_rt::time::timeout(wait, body).await else {
        return refuse(relay, Refusal::new(Reason::BodyTimeout));
    };
    let body = match body {
        Ok(collected) => collected.to_bytes(),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            return refuse(relay, Refusal::new(Reason::TooLong));
        }
        Err(error) => {
            log::debug!(error:%; "request's body not read");
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
    forward(relay, call).await
}

fn refuse(relay: &Relay, refused: Refusal) -> Response<AnswerBody> {
    let labels = ["-", refused.reason.label()];
    relay.metrics.refusals.with_label_values(&labels).inc();
    refused.response(relay.dialect.encode_error(&refused.reason.to_string()))
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
