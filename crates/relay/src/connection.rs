//! A connection of a caller or peer, and what its end cuts off.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use http::{Request, Response, Version};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::answer::AnswerBody;
use crate::config::Limits;
use crate::relay::{Phase, Relay};

/// What was on a connection when it ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Occupancy {
    /// No request.
    Idle,
    /// A request whose answer has not begun.
    Request,
    /// An answer that is not complete.
    Answer,
}

impl Occupancy {
    /// Label in metrics.
    fn label(self) -> &'static str {
        match self {
            Self::Idle => "nothing",
            Self::Request => "request",
            Self::Answer => "answer",
        }
    }
}

/// Why a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cause {
    /// Both sides agreed on it.
    Orderly,
    /// The other end closed or reset it.
    Peer,
    /// The answer broke off.
    BrokenAnswer,
    /// A limit of the configuration had passed.
    Limit,
}

impl Cause {
    fn of(ended: &Result<(), hyper::Error>) -> Self {
        match ended {
            Ok(()) => Self::Orderly,
            Err(error) if error.is_user() => Self::BrokenAnswer,
            Err(error) if error.is_timeout() => Self::Limit,
            Err(_) => Self::Peer,
        }
    }

    /// Label in metrics.
    fn label(self) -> &'static str {
        match self {
            Self::Orderly => "orderly",
            Self::Peer => "peer",
            Self::BrokenAnswer => "broken_answer",
            Self::Limit => "limit",
        }
    }
}

/// State of one connection.
#[derive(Debug)]
struct Connection {
    occupancy: Cell<Occupancy>,
    /// Id of the last request, for the log.
    request: RefCell<String>,
    knows_chunks: Cell<bool>,
}

/// Marks a connection as occupied by a request, until its answer was handed to the connection or dropped.
#[derive(Debug)]
pub struct OnConnection(Rc<Connection>);

impl Drop for OnConnection {
    fn drop(&mut self) {
        self.0.occupancy.set(Occupancy::Idle);
    }
}

impl Connection {
    fn new() -> Rc<Self> {
        Rc::new(Self {
            occupancy: Cell::new(Occupancy::Idle),
            request: RefCell::default(),
            knows_chunks: Cell::new(true),
        })
    }

    /// Notes that a request has arrived.
    fn begin(self: &Rc<Self>, relay: &Relay, request: &Request<Incoming>) -> OnConnection {
        self.knows_chunks.set(request.version() >= Version::HTTP_11);
        self.occupancy.set(Occupancy::Request);
        let head = relay.dialect.parse_request_head(request.headers());
        let id = head.attempt.as_ref().and_then(|id| id.to_str().ok());
        id.unwrap_or("-").clone_into(&mut self.request.borrow_mut());
        OnConnection(Rc::clone(self))
    }

    /// Counts its end, and logs one that took a request along. What the other end closed is logged with its request.
    fn note_end(&self, relay: &Relay, ended: &Result<(), hyper::Error>) {
        let cause = Cause::of(ended);
        let occupancy = match cause {
            Cause::BrokenAnswer => Occupancy::Answer,
            Cause::Orderly | Cause::Peer | Cause::Limit => self.occupancy.get(),
        };
        let labels = [occupancy.label(), cause.label()];
        let counter = &relay.metrics.connections_ended;
        counter.with_label_values(&labels).inc();
        let Err(error) = ended else {
            return;
        };
        let is_taken_along = occupancy != Occupancy::Idle && cause != Cause::Peer;
        if is_taken_along && relay.failure_log_limit.take(relay.now_ms()) {
            log::warn!(
                request = self.request.borrow().as_str(), with = occupancy.label(), cause = cause.label(), error:%;
                "connection ended with a request on it"
            );
        }
    }
}

/// Serves the requests of one connection by `respond` until it ends or the phase becomes [`Phase::Closing`].
pub async fn serve_connection<F>(
    relay: Rc<Relay>,
    stream: TcpStream,
    mut phase: watch::Receiver<Phase>,
    respond: impl Fn(Request<Incoming>) -> F,
) where
    F: Future<Output = Response<AnswerBody>>,
{
    if let Err(error) = crate::pool::configure_socket(&stream) {
        log::debug!(error:%; "could not set socket options, using defaults");
    }
    let limits = relay
        .config()
        .map_or_else(Limits::default, |config| config.limits);
    let connection = Connection::new();
    let service = service_fn(|request: Request<Incoming>| {
        let on_connection = connection.begin(&relay, &request);
        let responding = respond(request);
        async move {
            let mut response = responding.await;
            on_connection.0.occupancy.set(Occupancy::Answer);
            response.body_mut().occupy(on_connection);
            Ok::<_, Infallible>(response)
        }
    });
    let mut serving = http1::Builder::new()
        .timer(TokioTimer::new())
        // Bounds the idle time of a connection, which is announced to callers, and the time to
        // receive a request's head.
        .header_read_timeout(Duration::from_millis(limits.idle_ms))
        .max_buf_size(limits.head_bytes.max(16_384))
        .serve_connection(TokioIo::new(stream), service);
    let ended = tokio::select! {
        ended = &mut serving => ended,
        _ = phase.wait_for(|phase| *phase == Phase::Closing) => {
            Pin::new(&mut serving).graceful_shutdown();
            (&mut serving).await
        }
    };
    connection.note_end(&relay, &ended);
    if ended.is_err() && !connection.knows_chunks.get() {
        reset(serving.into_parts().io.inner());
    }
}

/// Resets a connection. To a caller without chunks an orderly close would be the end of a whole answer.
fn reset(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::warn!(error:%; "connection of a broken answer could not be reset");
    }
}
