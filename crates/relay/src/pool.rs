//! Pool of HTTP/1 connections to one peer.

mod bounded_socket;
mod error;
mod socket;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use plan::Rest;
use tick::Clock;

use self::bounded_socket::{BoundedSocket, HeadAllowance, MAX_BUFFERED_BYTES};
pub use self::error::ExchangeError;
use self::socket::connect_to;
pub use self::socket::{configure_socket, set_source_address};
use crate::bounded_body::{BodyError, MAX_CALL_ANSWER_BYTES, read_own};

/// Timeout for opening a connection, in ms: several round trips between availability zones and the
/// first retransmission of a lost packet.
const CONNECT_TIMEOUT_MS: u64 = 350;

/// Time for which an idle connection is kept if the peer does not announce one, in ms; shorter than
/// the usual five seconds of servers, so that requests rarely race with the peer's close.
pub(crate) const DEFAULT_IDLE_MS: u64 = 4_000;

/// Time by which an announced idle timeout is shortened, in ms, since the peer may already be closing
/// the connection then.
const IDLE_MARGIN_MS: u64 = 1_000;

/// An open connection and the task that drives it, which ends with the connection.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    allowance: HeadAllowance,
    task: JoinHandle<()>,
    /// When it began to be opened.
    began_ms: u64,
    /// Since when the peer's process is known to run.
    process_since_ms: u64,
    idle_until_ms: u64,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Idle connections to one peer, and the number of open ones.
pub struct Pool {
    peer: SocketAddr,
    clock: Clock,
    idle: RefCell<Vec<Connection>>,
    open: Cell<usize>,
    is_closing: Cell<bool>,
    rest: Cell<Rest>,
    proven_ms: Cell<Option<u64>>,
    /// Since when connections to the peer are open without a gap, so that its process is the same; none while none is.
    process_since_ms: Cell<Option<u64>>,
}

impl Pool {
    /// Creates a pool without connections.
    pub fn new(peer: SocketAddr, clock: Clock) -> Rc<Self> {
        Rc::new(Self {
            peer,
            clock,
            idle: RefCell::default(),
            open: Cell::default(),
            is_closing: Cell::default(),
            rest: Cell::default(),
            proven_ms: Cell::default(),
            process_since_ms: Cell::default(),
        })
    }

    /// Sends no more requests, closes the idle connections now, and each other one as soon as its answer is
    /// complete.
    pub fn close(&self) {
        self.is_closing.set(true);
        let closed = std::mem::take(&mut *self.idle.borrow_mut());
        self.open.set(self.open.get() - closed.len());
    }

    /// Time for which the peer gets no requests.
    pub fn rest(&self) -> Rest {
        self.rest.get()
    }

    /// Sets the time for which the peer gets no requests; its connections stay open.
    pub fn set_rest(&self, rest: Rest) {
        self.rest.set(rest);
    }

    /// Returns an error if the peer gets no requests now.
    fn check_accepts(&self) -> Result<(), ExchangeError> {
        let peer = self.peer;
        if self.is_closing.get() {
            return Err(ExchangeError::Leaving { peer });
        }
        if self.rest.get().left_ms(self.clock.now_ms()) > 0 {
            return Err(ExchangeError::Resting { peer });
        }
        Ok(())
    }

    /// When the youngest connection that brought an answer began to be opened.
    ///
    /// Only an answer proves the path: the kernel or a proxy may establish a connection that is reset before its
    /// request is read.
    pub fn proven_ms(&self) -> Option<u64> {
        self.proven_ms.get()
    }

    /// Since when the peer's process is known to be the same; none if no connection to it is open.
    ///
    /// A process takes its connections along, so while one of them lives, those opened since are to the same process.
    pub fn process_since_ms(&self) -> Option<u64> {
        self.process_since_ms.get().filter(|_| self.has_living())
    }

    fn has_living(&self) -> bool {
        let idle = self.idle.borrow();
        let in_use = self.open.get().saturating_sub(idle.len());
        in_use > 0 || idle.iter().any(|connection| !connection.sender.is_closed())
    }

    /// Records that a connection failed: its process may have ended.
    fn forget_process(&self) {
        self.process_since_ms.set(None);
    }

    fn note_answer(&self, connection_began_ms: u64) {
        self.proven_ms
            .set(self.proven_ms.get().max(Some(connection_began_ms)));
    }

    /// Sends a request of this instance's own on a new connection, and reads the whole answer. The connection is
    /// kept for the next request.
    pub async fn call(
        self: &Rc<Self>,
        request: Request<Full<Bytes>>,
        connect_timeout_ms: u64,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let connection = open(self, usize::MAX, connect_timeout_ms).await?;
        let mut pooled = PooledConnection {
            connection: Some(connection),
            pool: Rc::clone(self),
            idle_ms: DEFAULT_IDLE_MS,
        };
        let peer = self.peer;
        let Some(connection) = pooled.connection.as_mut() else {
            return Err(ExchangeError::PoolExhausted { peer });
        };
        connection.allowance.begin_head();
        let response = connection.sender.send_request(request).await;
        let response = response.map_err(|error| lost(peer, &error, &connection.allowance))?;
        connection.allowance.end_head();
        self.note_answer(connection.began_ms);
        pooled.idle_ms = idle_ms(&response);
        let (head, body) = response.into_parts();
        let body = read_own(body, MAX_CALL_ANSWER_BYTES).await;
        let body = body.map_err(|error| lost_body(peer, &error))?;
        pooled.release();
        Ok(Response::from_parts(head, body))
    }

    /// Opens a connection and closes it again; an error tells that none was established.
    pub async fn connect(&self, timeout_ms: u64) -> Result<(), ExchangeError> {
        connect_to(self.peer, timeout_ms).await.map(|_| ())
    }

    /// Number of open connections, idle or in use.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Whether a request can be sent without opening a connection.
    pub fn has_idle(&self) -> bool {
        let now_ms = self.clock.now_ms();
        let is_usable = |connection: &Connection| {
            connection.idle_until_ms > now_ms && connection.sender.is_ready()
        };
        self.idle.borrow().iter().any(is_usable)
    }

    /// Takes the most recently used idle connection that is still usable; closes those that are not.
    fn take_idle(&self) -> Option<Connection> {
        let now_ms = self.clock.now_ms();
        loop {
            let connection = self.idle.borrow_mut().pop()?;
            let is_usable = connection.idle_until_ms > now_ms && connection.sender.is_ready();
            if is_usable {
                return Some(connection);
            }
            if connection.sender.is_closed() {
                self.forget_process();
            }
            self.open.set(self.open.get() - 1);
        }
    }
}

/// A connection in use. Dropping it closes the connection, which tells the peer to stop working; it
/// returns to the pool only through [`Self::release`] after a complete answer.
pub struct PooledConnection {
    connection: Option<Connection>,
    pool: Rc<Pool>,
    idle_ms: u64,
}

impl PooledConnection {
    /// When it began to be opened.
    pub fn began_ms(&self) -> u64 {
        self.connection
            .as_ref()
            .map_or(0, |connection| connection.began_ms)
    }

    /// Since when the process at its other end is known to run.
    pub fn process_since_ms(&self) -> u64 {
        self.connection
            .as_ref()
            .map_or(0, |connection| connection.process_since_ms)
    }

    /// Returns the connection to the pool after its answer was read completely.
    pub fn release(mut self) {
        let Some(mut connection) = self.connection.take() else {
            return;
        };
        let is_kept =
            self.idle_ms > 0 && !self.pool.is_closing.get() && !connection.sender.is_closed();
        if !is_kept {
            self.pool.open.set(self.pool.open.get() - 1);
            return;
        }
        connection.idle_until_ms = self.pool.clock.now_ms() + self.idle_ms;
        self.pool.idle.borrow_mut().push(connection);
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        if let Some(connection) = self.connection.take() {
            if connection.sender.is_closed() {
                self.pool.forget_process();
            }
            self.pool.open.set(self.pool.open.get() - 1);
        }
    }
}

/// Head of an answer, and the connection on which its body arrives.
pub type Exchanged = (Response<Incoming>, PooledConnection);

/// Sends a request and waits for the head of its answer.
///
/// Every request of a caller to an upstream passes here, so that none is sent to one that is leaving or
/// resting. An idle connection that closed before anything was written is replaced. Once a byte was
/// written, the request counts as sent. Dropping the future closes the connection.
pub async fn exchange(
    pool: &Rc<Pool>,
    max_open: usize,
    mut request: Request<Full<Bytes>>,
) -> Result<Exchanged, ExchangeError> {
    let peer = pool.peer;
    loop {
        pool.check_accepts()?;
        let (connection, is_new) = match pool.take_idle() {
            Some(connection) => (connection, false),
            None => (open(pool, max_open, CONNECT_TIMEOUT_MS).await?, true),
        };
        let mut pooled = PooledConnection {
            connection: Some(connection),
            pool: Rc::clone(pool),
            idle_ms: DEFAULT_IDLE_MS,
        };
        let Some(connection) = pooled.connection.as_mut() else {
            continue;
        };
        // The peer may have announced a leaving or a rest while the connection was opened.
        pool.check_accepts()?;
        connection.allowance.begin_head();
        match connection.sender.try_send_request(request).await {
            Ok(response) => {
                connection.allowance.end_head();
                if !is_final(response.status()) {
                    return Err(ExchangeError::Lost {
                        peer,
                        why: format!("its status is {}", response.status().as_u16()),
                        is_past_bound: false,
                    });
                }
                pool.note_answer(connection.began_ms);
                pooled.idle_ms = idle_ms(&response);
                return Ok((response, pooled));
            }
            Err(mut error) => {
                let allowance = connection.allowance.clone();
                let why = error.error().to_string();
                match error.take_message() {
                    Some(unsent) if !is_new => request = unsent,
                    Some(_) => {
                        return Err(ExchangeError::Connect {
                            peer,
                            why,
                            is_refused: false,
                        });
                    }
                    None => {
                        pool.forget_process();
                        return Err(lost(peer, error.error(), &allowance));
                    }
                }
            }
        }
    }
}

/// Whether a status ends an exchange: interim ones do not, nor 101, which nothing here asks for, and those from 600 on are
/// none of the protocol's.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Opens a connection, unless `max_open` are open already.
async fn open(
    pool: &Rc<Pool>,
    max_open: usize,
    timeout_ms: u64,
) -> Result<Connection, ExchangeError> {
    let peer = pool.peer;
    if pool.open.get() >= max_open {
        return Err(ExchangeError::PoolExhausted { peer });
    }
    let began_ms = pool.clock.now_ms();
    let connected = connect_to(peer, timeout_ms).await;
    let stream = connected.inspect_err(|_| pool.forget_process())?;
    let allowance = HeadAllowance::new();
    let socket = BoundedSocket::new(stream, allowance.clone());
    let (mut sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_BUFFERED_BYTES)
        .handshake(TokioIo::new(socket))
        .await
        .map_err(|error| ExchangeError::Connect {
            peer,
            why: error.to_string(),
            is_refused: false,
        })?;
    let task = actix_rt::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(peer:%, error:%; "connection ended");
        }
    });
    // The task has to run once before the connection accepts a request. An error is ignored: the send will fail too, with
    // the request unsent. It counts as open only after the wait, since a caller that leaves meanwhile drops it.
    let _ = sender.ready().await;
    let process_since_ms = pool.process_since_ms().unwrap_or(began_ms);
    pool.process_since_ms.set(Some(process_since_ms));
    pool.open.set(pool.open.get() + 1);
    Ok(Connection {
        sender,
        allowance,
        task,
        began_ms,
        process_since_ms,
        idle_until_ms: 0,
    })
}

/// The error of an answer whose head did not arrive.
fn lost(peer: SocketAddr, error: &hyper::Error, allowance: &HeadAllowance) -> ExchangeError {
    ExchangeError::Lost {
        peer,
        why: std::error::Error::source(error)
            .map_or_else(|| error.to_string(), ToString::to_string),
        is_past_bound: allowance.is_used_up() || error.is_parse_too_large(),
    }
}

/// The error of an answer whose body could not be read whole.
fn lost_body(peer: SocketAddr, error: &BodyError) -> ExchangeError {
    ExchangeError::Lost {
        peer,
        why: error.to_string(),
        is_past_bound: error.is_past_bound(),
    }
}

/// Time for which the connection may idle after this answer, in ms; 0 if the peer closes it.
fn idle_ms(response: &Response<Incoming>) -> u64 {
    let headers = response.headers();
    let is_closed = headers
        .get(http::header::CONNECTION)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
    if is_closed {
        return 0;
    }
    let announced = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(|value| {
            value
                .split(',')
                .find_map(|part| part.trim().strip_prefix("timeout="))
        })
        .and_then(|seconds| seconds.trim().parse::<u64>().ok());
    match announced {
        Some(seconds) => (seconds * 1_000).saturating_sub(IDLE_MARGIN_MS),
        None => DEFAULT_IDLE_MS,
    }
}

/// Sends a request on a new connection, which is closed afterwards, and reads the whole answer of up to `most_bytes`.
///
/// If the call times out, its undelivered data is discarded with the connection.
pub async fn call_on_new_connection(
    peer: SocketAddr,
    clock: Clock,
    request: Request<Full<Bytes>>,
    wait: Duration,
    most_bytes: usize,
) -> Result<Response<Bytes>, String> {
    let answer = async {
        let pool = Pool::new(peer, clock);
        let (response, _pooled) = exchange(&pool, 1, request)
            .await
            .map_err(|error| error.to_string())?;
        let (head, body) = response.into_parts();
        let body = read_own(body, most_bytes).await;
        let body = body.map_err(|error| error.to_string())?;
        Ok(Response::from_parts(head, body))
    };
    let answered = actix_rt::time::timeout(wait, answer).await;
    answered.unwrap_or_else(|_| Err(format!("nothing within {} ms", wait.as_millis())))
}
