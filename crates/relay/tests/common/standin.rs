//! Upstreams that answer as a test says.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use relay::listener::bind;
use relay::upstream::{Stage, UpstreamEntry, UpstreamState};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// What a stand-in does on a connection, one after the other.
pub enum Act {
    /// Writes bytes.
    Say(String),
    /// Waits.
    Wait(u64),
    /// Closes the connection.
    Close,
    /// Ends the process: all connections close, and no new one is accepted.
    Crash,
}

/// A request as a stand-in saw it.
#[derive(Debug, Clone)]
pub struct Seen {
    /// Method, path and version.
    pub line: String,
    /// All headers, in lower case, one a line.
    pub headers: String,
    /// Body.
    pub body: String,
}

impl Seen {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.headers.lines();
        lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    }

    /// A whole answer of this upstream to the request.
    pub fn answer(&self, status: &str, headers: &str, body: &str) -> Vec<Act> {
        vec![Act::Say(self.text(status, headers, body))]
    }

    /// The bytes of such an answer.
    pub fn text(&self, status: &str, headers: &str, body: &str) -> String {
        let attempt = self.header("x-attempt").unwrap_or("none");
        let length = body.len();
        format!(
            "HTTP/1.1 {status}\r\nx-attempt: {attempt}\r\nx-signature: p\r\ncontent-length: {length}\r\n{headers}\r\n{body}"
        )
    }
}

/// An upstream that answers as it is told.
#[derive(Clone)]
pub struct StandIn {
    /// Where it listens.
    pub address: SocketAddr,
    /// What it has seen.
    pub seen: Rc<RefCell<Vec<Seen>>>,
    /// Connections that their other end closed while an answer was being made.
    pub left: Rc<RefCell<usize>>,
    crashed: watch::Sender<bool>,
}

impl StandIn {
    /// Starts one.
    pub fn start(answer: impl Fn(&Seen) -> Vec<Act> + 'static) -> Self {
        let listener = bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let standin = Self {
            address: listener.local_addr().expect("an address"),
            seen: Rc::default(),
            left: Rc::default(),
            crashed: watch::Sender::new(false),
        };
        let answer = Rc::new(answer);
        let shared = standin.clone();
        let mut crashed = standin.crashed.subscribe();
        actix_rt::spawn(async move {
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    _ = crashed.wait_for(|crashed| *crashed) => return,
                };
                let Ok((stream, _)) = accepted else {
                    return;
                };
                let standin = shared.clone();
                let answer = Rc::clone(&answer);
                actix_rt::spawn(async move {
                    let mut crashed = standin.crashed.subscribe();
                    tokio::select! {
                        () = standin.converse(stream, &*answer) => {}
                        _ = crashed.wait_for(|crashed| *crashed) => {}
                    }
                });
            }
        });
        standin
    }

    /// Whether it has ended.
    pub fn has_crashed(&self) -> bool {
        *self.crashed.borrow()
    }

    async fn converse(&self, mut stream: TcpStream, answer: &dyn Fn(&Seen) -> Vec<Act>) {
        while let Some(seen) = read(&mut stream).await {
            self.seen.borrow_mut().push(seen.clone());
            for act in answer(&seen) {
                match act {
                    Act::Say(bytes) => {
                        if stream.write_all(bytes.as_bytes()).await.is_err() {
                            *self.left.borrow_mut() += 1;
                            return;
                        }
                    }
                    Act::Wait(ms) => {
                        let mut byte = [0];
                        let wait = Duration::from_millis(ms);
                        if actix_rt::time::timeout(wait, stream.peek(&mut byte))
                            .await
                            .is_ok()
                        {
                            *self.left.borrow_mut() += 1;
                            return;
                        }
                    }
                    Act::Close => return,
                    Act::Crash => {
                        self.crashed.send_replace(true);
                        return;
                    }
                }
            }
        }
    }

    /// How many requests it has seen.
    pub fn count(&self) -> usize {
        self.seen.borrow().len()
    }

    /// Its entry in the list.
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
            is_spot: false,
            started_ms: 0,
        }
    }
}

async fn read(stream: &mut TcpStream) -> Option<Seen> {
    let mut bytes = Vec::new();
    loop {
        let mut chunk = [0; 4_096];
        let count = stream
            .read(&mut chunk)
            .await
            .ok()
            .filter(|&count| count > 0)?;
        bytes.extend_from_slice(&chunk[..count]);
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let (line, headers) = head.split_once("\r\n").unwrap_or((head, ""));
        let seen = Seen {
            line: line.to_owned(),
            headers: headers.to_ascii_lowercase(),
            body: body.to_owned(),
        };
        let length = seen
            .header("content-length")
            .map_or(0, |value| value.parse().unwrap_or(0));
        if body.len() >= length {
            return Some(seen);
        }
    }
}
