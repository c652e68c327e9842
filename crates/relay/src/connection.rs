//! A connection of a caller or peer: how long it may be idle, and what its end cuts off.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io;
use std::mem::MaybeUninit;
use std::panic::AssertUnwindSafe;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_util::FutureExt;
use http::{HeaderValue, Request, Response, Version};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::answer::{AnswerBody, Reason, Refusal};
use crate::config::Limits;
use crate::framing::UnmarkedEnd;
use crate::relay::{Phase, Relay};

/// Time beyond a limit for which a connection is kept, in ms.
///
/// Callers go by the limit in force. A raised one may have reached them seconds before it arrives here, and a close at
/// the limit itself would cross a request that a slow process has not read yet.
const GRACE_MS: u64 = 3_000;

/// Largest head that a connection can receive at least, in bytes: the limit may be raised while it is open.
const MIN_HEAD_BUFFER_BYTES: usize = 65_536;

/// Shortest pause between two looks at whether a connection has expired, in ms.
const MIN_WAIT_MS: u64 = 20;

/// Time without any byte written, while some wait, after which a connection is reset, in ms: its other end reads nothing or
/// is gone, and no caller waits longer.
const UNREAD_TIMEOUT_MS: u64 = 30_000;

/// Time for which a connection may be idle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IdleLimit {
    /// The limit of the configuration in force.
    Configured,
    /// A fixed time, in ms.
    Fixed(u64),
}

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
    OtherEnd,
    /// The answer broke off.
    BrokenAnswer,
    /// A limit of the configuration had passed.
    Limit,
    /// The other end read nothing.
    Unread,
}

impl Cause {
    fn of(ended: &Result<(), hyper::Error>) -> Self {
        match ended {
            Ok(()) => Self::Orderly,
            Err(error) if error.is_user() => Self::BrokenAnswer,
            Err(_) => Self::OtherEnd,
        }
    }

    /// Label in metrics.
    fn label(self) -> &'static str {
        match self {
            Self::Orderly => "orderly",
            Self::OtherEnd => "other_end",
            Self::BrokenAnswer => "broken_answer",
            Self::Limit => "limit",
            Self::Unread => "unread",
        }
    }
}

/// State of one connection.
struct Connection {
    relay: Rc<Relay>,
    idle_limit: IdleLimit,
    occupancy: Cell<Occupancy>,
    /// When it was opened, or when its last answer was complete.
    idle_since_ms: Cell<u64>,
    /// When the first bytes of the next request arrived.
    head_since_ms: Cell<Option<u64>>,
    has_expired: Cell<bool>,
    /// Id of the last request, for the log.
    request: RefCell<Option<HeaderValue>>,
    knows_chunks: Cell<bool>,
    /// Whether the end of the last answer is marked by the close of the connection alone.
    ends_by_close: Cell<bool>,
    has_unwritten: Cell<bool>,
    /// When bytes were last written, or began to wait.
    written_ms: Cell<u64>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.set_unwritten(false);
    }
}

/// Marks a connection as occupied by a request, until its answer was handed to the connection or dropped.
pub struct OnConnection(Rc<Connection>);

impl Drop for OnConnection {
    fn drop(&mut self) {
        let connection = &self.0;
        connection.occupancy.set(Occupancy::Idle);
        connection.head_since_ms.set(None);
        connection.idle_since_ms.set(connection.relay.now_ms());
    }
}

impl Connection {
    fn new(relay: &Rc<Relay>, idle_limit: IdleLimit) -> Rc<Self> {
        Rc::new(Self {
            relay: Rc::clone(relay),
            idle_limit,
            occupancy: Cell::new(Occupancy::Idle),
            idle_since_ms: Cell::new(relay.now_ms()),
            head_since_ms: Cell::default(),
            has_expired: Cell::default(),
            request: RefCell::default(),
            knows_chunks: Cell::new(true),
            ends_by_close: Cell::default(),
            has_unwritten: Cell::default(),
            written_ms: Cell::default(),
        })
    }

    /// Records whether bytes of answers wait for the other end to read, and counts such connections.
    fn set_unwritten(&self, has_unwritten: bool) {
        if has_unwritten && !self.has_unwritten.get() {
            self.written_ms.set(self.relay.now_ms());
        }
        let count = &self.relay.unwritten_connections;
        match (self.has_unwritten.replace(has_unwritten), has_unwritten) {
            (false, true) => count.set(count.get() + 1),
            (true, false) => count.set(count.get() - 1),
            (true, true) | (false, false) => {}
        }
    }

    /// Notes that an attempt to write ended.
    fn note_written(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(1..)) = written {
            self.written_ms.set(self.relay.now_ms());
        }
    }

    /// Whether its other end has read nothing of what waits for too long.
    fn is_stalled(&self) -> bool {
        self.has_unwritten.get() && self.relay.now_ms() >= self.written_ms.get() + UNREAD_TIMEOUT_MS
    }

    /// Counts and logs that it is reset, since its other end reads nothing.
    fn note_stalled(&self) {
        let relay = &self.relay;
        let labels = [Occupancy::Answer.label(), Cause::Unread.label()];
        relay
            .metrics
            .connections_ended
            .with_label_values(&labels)
            .inc();
        if relay.failure_log_limit.take(relay.now_ms()) {
            let request = self.request.borrow();
            let request = request.as_ref().and_then(|id| id.to_str().ok());
            log::warn!(request = request.unwrap_or("-"); "answer not read by its caller, connection reset");
        }
    }

    /// Notes that a request has arrived.
    fn begin(self: &Rc<Self>, request: &Request<Incoming>) -> OnConnection {
        self.knows_chunks.set(request.version() >= Version::HTTP_11);
        self.occupancy.set(Occupancy::Request);
        let attempt = self.relay.dialect.parse_attempt(request.headers());
        *self.request.borrow_mut() = attempt;
        OnConnection(Rc::clone(self))
    }

    fn idle_ms(&self, limits: Limits) -> u64 {
        match self.idle_limit {
            IdleLimit::Configured => limits.idle_ms,
            IdleLimit::Fixed(idle_ms) => idle_ms,
        }
    }

    /// When it is to be closed by the limits in force, if nothing arrives until then; none while a request is on it.
    fn expires_ms(&self) -> Option<u64> {
        if self.occupancy.get() != Occupancy::Idle {
            return None;
        }
        let limits = limits_in_force(&self.relay);
        Some(
            GRACE_MS
                + self.head_since_ms.get().map_or_else(
                    || self.idle_since_ms.get() + self.idle_ms(limits),
                    |since_ms| since_ms + limits.head_ms,
                ),
        )
    }

    fn is_expired(&self) -> bool {
        let expires_ms = self.expires_ms();
        expires_ms.is_some_and(|expires_ms| self.relay.now_ms() >= expires_ms)
    }

    /// Completes when it may have expired. The limits may change meanwhile, and the limit on heads holds from the moment at
    /// which one begins, so the wait is at most the latter.
    async fn may_have_expired(&self) {
        let limits = limits_in_force(&self.relay);
        let longest_ms = limits.head_ms + GRACE_MS;
        let now_ms = self.relay.now_ms();
        let left_ms = self
            .expires_ms()
            .map_or(longest_ms, |expires_ms| expires_ms.saturating_sub(now_ms));
        let wait_ms = left_ms.clamp(MIN_WAIT_MS, longest_ms);
        actix_rt::time::sleep(Duration::from_millis(wait_ms)).await;
    }

    /// Logs and counts that handling a request panicked, and answers its caller, who would see a closed connection.
    fn note_panic(&self) -> Response<AnswerBody> {
        let relay = &self.relay;
        relay.metrics.panics.inc();
        let request = self.request.borrow();
        let request = request.as_ref().and_then(|id| id.to_str().ok());
        log::error!(request = request.unwrap_or("-"); "handling a request panicked");
        let refusal = Refusal::new(Reason::Panicked);
        refusal.response(relay.dialect.encode_error(&refusal.reason.to_string()))
    }

    /// Counts its end, and logs one that took a request along. What the other end closed is logged with its request.
    fn note_end(&self, ended: &Result<(), hyper::Error>) {
        let relay = &self.relay;
        let cause = if self.has_expired.get() {
            Cause::Limit
        } else {
            Cause::of(ended)
        };
        let occupancy = match cause {
            Cause::BrokenAnswer => Occupancy::Answer,
            Cause::Orderly | Cause::OtherEnd | Cause::Limit | Cause::Unread => self.occupancy.get(),
        };
        let labels = [occupancy.label(), cause.label()];
        let counter = &relay.metrics.connections_ended;
        counter.with_label_values(&labels).inc();
        let Err(error) = ended else {
            return;
        };
        let is_taken_along = occupancy != Occupancy::Idle && cause != Cause::OtherEnd;
        if is_taken_along && relay.failure_log_limit.take(relay.now_ms()) {
            let request = self.request.borrow();
            let request = request.as_ref().and_then(|id| id.to_str().ok());
            log::warn!(
                request = request.unwrap_or("-"), with = occupancy.label(), cause = cause.label(), error:%;
                "connection ended with a request on it"
            );
        }
    }
}

/// Limits of the configuration in force.
fn limits_in_force(relay: &Relay) -> Limits {
    relay
        .config()
        .map_or_else(Limits::default, |config| config.limits)
}

/// The socket of a connection, at whose end it appears once the connection has expired.
///
/// Whether it has is asked only after nothing was left to read, so that it is not closed with a request in its socket.
struct ExpiringSocket {
    stream: TcpStream,
    connection: Rc<Connection>,
}

impl ExpiringSocket {
    fn has_unread(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&self.stream).peek(&mut byte);
        !matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }
}

impl AsyncRead for ExpiringSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        let connection = &self.connection;
        if polled.is_pending() && connection.is_expired() && !self.has_unread() {
            connection.has_expired.set(true);
            return Poll::Ready(Ok(()));
        }
        let is_head = connection.occupancy.get() == Occupancy::Idle;
        if buffer.filled().len() > before && is_head && connection.head_since_ms.get().is_none() {
            connection
                .head_since_ms
                .set(Some(connection.relay.now_ms()));
        }
        polled
    }
}

impl AsyncWrite for ExpiringSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.connection.set_unwritten(true);
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.connection.note_written(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.connection.set_unwritten(true);
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.connection.note_written(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// Called once all that waited was written.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connection.set_unwritten(false);
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Serves the requests of one connection by `respond` until it ends or the phase becomes [`Phase::Closing`].
pub async fn serve_connection<F>(
    relay: &Rc<Relay>,
    stream: TcpStream,
    idle_limit: IdleLimit,
    mut phase: watch::Receiver<Phase>,
    respond: impl Fn(Request<Incoming>) -> F,
) where
    F: Future<Output = Response<AnswerBody>>,
{
    if let Err(error) = crate::pool::configure_socket(&stream) {
        log::debug!(error:%; "could not set socket options, using defaults");
    }
    let connection = Connection::new(relay, idle_limit);
    let service = service_fn(|request: Request<Incoming>| {
        let on_connection = connection.begin(&request);
        let responding = AssertUnwindSafe(respond(request)).catch_unwind();
        let connection = &connection;
        async move {
            let responded = responding.await;
            let mut response = responded.unwrap_or_else(|_| connection.note_panic());
            // Under that of an upstream with HTTP/1.0, a stream that broke off would end by an orderly close.
            *response.version_mut() = Version::HTTP_11;
            if response.extensions_mut().remove::<UnmarkedEnd>().is_some() {
                // This version has no chunks, which would vouch for the end.
                *response.version_mut() = Version::HTTP_10;
                connection.ends_by_close.set(true);
            }
            on_connection.0.occupancy.set(Occupancy::Answer);
            response.body_mut().occupy(on_connection);
            Ok::<_, Infallible>(response)
        }
    });
    let socket = ExpiringSocket {
        stream,
        connection: Rc::clone(&connection),
    };
    let mut serving = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(limits_in_force(relay).head_bytes.max(MIN_HEAD_BUFFER_BYTES))
        .serve_connection(TokioIo::new(socket), service);
    let mut is_closing = false;
    let ended = loop {
        tokio::select! {
            ended = &mut serving => break Some(ended),
            _ = phase.wait_for(|phase| *phase == Phase::Closing), if !is_closing => {
                is_closing = true;
                Pin::new(&mut serving).graceful_shutdown();
            }
            // Polls the connection once more, which then finds its socket at the end.
            () = connection.may_have_expired() => {
                if connection.is_stalled() {
                    break None;
                }
            }
        }
    };
    let Some(ended) = ended else {
        connection.note_stalled();
        return reset(&serving.into_parts().io.inner().stream);
    };
    connection.note_end(&ended);
    if ended.is_err() && (!connection.knows_chunks.get() || connection.ends_by_close.get()) {
        reset(&serving.into_parts().io.inner().stream);
    }
}

/// Resets a connection. To a caller without chunks, and after an answer without them, an orderly close would be the end of a whole answer.
fn reset(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::warn!(error:%; "connection of a broken answer could not be reset");
    }
}
