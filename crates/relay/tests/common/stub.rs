//! Upstreams that respond as a test prescribes.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use relay::listener::bind;
use relay::upstream::{Stage, UpstreamEntry, UpstreamState};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes after which a stub gives up an answer without end.
pub const MAX_ENDLESS_BYTES: usize = 1 << 30;

/// Bytes that a stub hands to its socket at once in an answer without end.
const ENDLESS_CHUNK_BYTES: usize = 64 << 10;

/// A step of a response; a stub carries out its steps in order.
pub enum Action {
    /// Writes bytes.
    Write(String),
    /// Waits for this many milliseconds, or until the other end closes the connection.
    Wait(u64),
    /// Writes the same bytes again and again, until the other end closes the connection or [`MAX_ENDLESS_BYTES`] are
    /// written.
    WriteWithoutEnd(String),
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
    /// Ends the process: all connections close and no new one is accepted.
    Crash,
}

/// How the process of a stub ends, after its connections are closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// Its listener closes with the connections.
    AtOnce,
    /// Connections are established for this many ms more, and nobody reads them: the kernel or a supervisor holds the
    /// socket.
    Held(u64),
    /// Connections are accepted and closed for this many ms more, as by a proxy before it.
    ClosingNew(u64),
    /// Another incarnation listens at the address after this many ms.
    Restart(u64),
}

/// A request as the upstream received it.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    /// Method, path and version.
    pub request_line: String,
    /// All headers in lower case, one a line.
    pub headers: String,
    /// Body, as UTF-8.
    pub body: String,
}

impl ReceivedRequest {
    /// The value of a header; its name is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.headers.lines();
        lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    }

    /// A complete, signed response to this request.
    pub fn response(&self, status: &str, headers: &str, body: &str) -> Vec<Action> {
        vec![Action::Write(self.response_text(status, headers, body))]
    }

    /// The bytes of a complete, signed response to this request.
    pub fn response_text(&self, status: &str, headers: &str, body: &str) -> String {
        let attempt = self.header("x-attempt").unwrap_or("none");
        let length = body.len();
        format!(
            "HTTP/1.1 {status}\r\nx-attempt: {attempt}\r\nx-signature: p\r\ncontent-length: {length}\r\n{headers}\r\n{body}"
        )
    }
}

/// An upstream on loopback that responds as a test prescribes.
#[derive(Clone)]
pub struct StubUpstream {
    /// Address at which it listens.
    pub address: SocketAddr,
    /// The requests that it received, in order, without queries for its report.
    pub received: Rc<RefCell<Vec<ReceivedRequest>>>,
    /// Connections that the other end closed while a response was under way.
    pub closed_by_relay: Rc<RefCell<usize>>,
    /// Bytes that it wrote in answers without end.
    pub endless_bytes: Rc<Cell<usize>>,
    ending: Ending,
    prescribes_reports: bool,
    crashes: Rc<Cell<usize>>,
    /// Start of the incarnation, in ms, as its report tells it.
    started_ms: u64,
    crashed: watch::Sender<bool>,
}

/// Any port at a loopback address of this process: no other test process can take that of a stub that has crashed.
fn own_loopback() -> SocketAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    SocketAddr::from(([127, 64 | (high & 63), middle, low], 0))
}

type Respond = Rc<dyn Fn(&ReceivedRequest) -> Vec<Action>>;

impl StubUpstream {
    /// Starts one that responds to each request with these steps.
    pub fn start(respond: impl Fn(&ReceivedRequest) -> Vec<Action> + 'static) -> Self {
        Self::start_ending(Ending::AtOnce, respond)
    }

    /// Starts one whose process ends in this way.
    pub fn start_ending(
        ending: Ending,
        respond: impl Fn(&ReceivedRequest) -> Vec<Action> + 'static,
    ) -> Self {
        let listener = bind(own_loopback()).expect("a port");
        Self::run_on(listener, ending, false, respond)
    }

    /// Starts one at this listener that responds to queries for its report as to requests.
    pub fn start_on(
        listener: TcpListener,
        respond: impl Fn(&ReceivedRequest) -> Vec<Action> + 'static,
    ) -> Self {
        Self::run_on(listener, Ending::AtOnce, true, respond)
    }

    fn run_on(
        listener: TcpListener,
        ending: Ending,
        prescribes_reports: bool,
        respond: impl Fn(&ReceivedRequest) -> Vec<Action> + 'static,
    ) -> Self {
        let stub = Self {
            address: listener.local_addr().expect("an address"),
            received: Rc::default(),
            closed_by_relay: Rc::default(),
            endless_bytes: Rc::default(),
            ending,
            prescribes_reports,
            crashes: Rc::default(),
            started_ms: 1,
            crashed: watch::Sender::new(false),
        };
        actix_rt::spawn(stub.clone().run(listener, Rc::new(respond)));
        stub
    }

    async fn run(mut self, mut listener: TcpListener, respond: Respond) {
        loop {
            self.accept(&listener, &respond).await;
            match self.ending {
                Ending::AtOnce => return,
                Ending::Held(ms) => {
                    actix_rt::time::sleep(Duration::from_millis(ms)).await;
                    return;
                }
                Ending::ClosingNew(ms) => {
                    let closing = async {
                        while let Ok((stream, _)) = listener.accept().await {
                            drop(stream);
                        }
                    };
                    let ended = Duration::from_millis(ms);
                    let _ = actix_rt::time::timeout(ended, closing).await;
                    return;
                }
                Ending::Restart(ms) => {
                    drop(listener);
                    actix_rt::time::sleep(Duration::from_millis(ms)).await;
                    listener = bind(self.address).expect("the port of before");
                    self.started_ms += 1;
                    self.crashed = watch::Sender::new(false);
                }
            }
        }
    }

    /// Accepts connections until the process ends.
    async fn accept(&self, listener: &TcpListener, respond: &Respond) {
        let mut crashed = self.crashed.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = crashed.wait_for(|crashed| *crashed) => return,
            };
            let Ok((stream, _)) = accepted else {
                return;
            };
            let stub = self.clone();
            let respond = Rc::clone(respond);
            actix_rt::spawn(async move {
                let mut crashed = stub.crashed.subscribe();
                tokio::select! {
                    () = stub.serve_connection(stream, &*respond) => {}
                    _ = crashed.wait_for(|crashed| *crashed) => {}
                }
            });
        }
    }

    /// Whether a step has ended the process.
    pub fn has_crashed(&self) -> bool {
        self.crash_count() > 0
    }

    /// How often a step has ended the process.
    pub fn crash_count(&self) -> usize {
        self.crashes.get()
    }

    async fn serve_connection(
        &self,
        mut stream: TcpStream,
        respond: &dyn Fn(&ReceivedRequest) -> Vec<Action>,
    ) {
        while let Some(received) = read_request(&mut stream).await {
            // An upstream answers this by itself, whatever becomes of callers' requests.
            let is_query = received.request_line.starts_with("GET /report ");
            if is_query && !self.prescribes_reports {
                if *self.crashed.borrow() {
                    return;
                }
                let report = received.response_text("200 OK", "", &self.started_ms.to_string());
                if stream.write_all(report.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            self.received.borrow_mut().push(received.clone());
            for action in respond(&received) {
                match action {
                    Action::Write(bytes) => {
                        if stream.write_all(bytes.as_bytes()).await.is_err() {
                            *self.closed_by_relay.borrow_mut() += 1;
                            return;
                        }
                    }
                    Action::Wait(ms) => {
                        let mut byte = [0];
                        let wait = Duration::from_millis(ms);
                        if actix_rt::time::timeout(wait, stream.peek(&mut byte))
                            .await
                            .is_ok()
                        {
                            *self.closed_by_relay.borrow_mut() += 1;
                            return;
                        }
                    }
                    Action::WriteWithoutEnd(bytes) => {
                        self.write_without_end(&mut stream, &bytes).await;
                        return;
                    }
                    Action::Close => return,
                    Action::Reset => {
                        let linger = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                        linger.expect("an option");
                        return;
                    }
                    Action::Crash => {
                        self.crashes.set(self.crashes.get() + 1);
                        self.crashed.send_replace(true);
                        return;
                    }
                }
            }
        }
    }

    async fn write_without_end(&self, stream: &mut TcpStream, bytes: &str) {
        let chunk = bytes.repeat((ENDLESS_CHUNK_BYTES / bytes.len()).max(1));
        let mut written = 0;
        while written < MAX_ENDLESS_BYTES {
            let Ok(count) = stream.write(chunk.as_bytes()).await else {
                *self.closed_by_relay.borrow_mut() += 1;
                return;
            };
            written += count;
            self.endless_bytes.set(self.endless_bytes.get() + count);
        }
    }

    /// The number of requests that it received.
    pub fn count(&self) -> usize {
        self.received.borrow().len()
    }

    /// Its entry in the list of upstreams.
    pub fn entry(&self, id: &str, service: &str, stage: Stage) -> UpstreamEntry {
        UpstreamEntry {
            id: id.to_owned(),
            service: service.to_owned(),
            address: self.address,
            zone: "here".to_owned(),
            slots: 4,
            state: UpstreamState::Ready,
            stage,
            seq: 1,
            version: String::new(),
            is_spot: false,
            started_ms: 0,
        }
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<ReceivedRequest> {
    let mut bytes = Vec::new();
    let mut whole_bytes = None;
    loop {
        let mut chunk = vec![0; 65_536];
        let count = stream
            .read(&mut chunk)
            .await
            .ok()
            .filter(|&count| count > 0)?;
        bytes.extend_from_slice(&chunk[..count]);
        // The text is looked at again only once it may be whole.
        if whole_bytes.is_some_and(|whole_bytes| bytes.len() < whole_bytes) {
            continue;
        }
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let (line, headers) = head.split_once("\r\n").unwrap_or((head, ""));
        let received = ReceivedRequest {
            request_line: line.to_owned(),
            headers: headers.to_ascii_lowercase(),
            body: body.to_owned(),
        };
        let length = received
            .header("content-length")
            .map_or(0, |value| value.parse().unwrap_or(0));
        if body.len() >= length {
            return Some(received);
        }
        whole_bytes = Some(bytes.len() + length - body.len());
    }
}
