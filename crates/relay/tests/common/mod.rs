//! A relay on loopback with stand-ins for its upstreams.

#![allow(dead_code, reason = "each test file uses a part of this")]

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use plan::RepeatTerms;
use relay::config::{Config, EngineLimits, Kind, Limits, Route, Service, Target};
use relay::dialect::{
    Answered, Asked, Dialect, EngineReport, KvHandle, Part, Prompt, Sending, Step, ToldLoad,
};
use relay::front::{Duty, bind, serve};
use relay::orders::Order;
use relay::pool::{Fault, Pool, exchange};
use relay::upstream::{Entry, Stage, Standing};
use relay::upstreams::Change;
use relay::{Phase, Relay, Settings};
use tick::Clock;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use view::Member;

/// Names on the wire of these tests.
pub struct Wire;

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    text(headers, name)?.parse().ok()
}

fn prompt(value: &str) -> Prompt {
    let parts: Vec<Part> = value
        .split(',')
        .filter_map(|part| {
            let (id, tokens) = part.split_once(':')?;
            Some(Part {
                id: id.parse().ok()?,
                tokens: tokens.parse().ok()?,
            })
        })
        .collect();
    Prompt {
        input_tokens: parts.iter().map(|part| part.tokens).sum(),
        output_tokens: 16,
        output_hint_tokens: None,
        parts,
    }
}

impl Dialect for Wire {
    fn asked(&self, headers: &HeaderMap) -> Asked {
        Asked {
            attempt: headers.get("x-attempt").cloned(),
            deadline_ms: number(headers, "x-left-ms"),
            prompt: text(headers, "x-prompt").map(prompt),
            last_event: number(headers, "last-event-id"),
        }
    }

    fn strip(&self, headers: &mut HeaderMap) {
        for name in ["x-instance", "x-step", "x-kv", "x-copy", "x-rank"] {
            headers.remove(name);
        }
    }

    fn is_end_to_end(&self, name: &HeaderName) -> bool {
        name.as_str().starts_with("x-")
    }

    fn send(&self, headers: &mut HeaderMap, sending: &Sending) {
        let mut put = |name: &'static str, value: String| {
            headers.insert(name, HeaderValue::from_str(&value).expect("a valid value"));
        };
        put("x-instance", sending.instance.to_owned());
        put("x-left-ms", sending.deadline_ms.to_string());
        if sending.step == Step::Prefill {
            put("x-step", "prefill".to_owned());
        }
        if let Some(kv) = sending.kv {
            put("x-kv", kv.id.clone());
        }
        if let Some(holder) = sending.copy_from {
            put("x-copy", holder.to_string());
        }
        if let Some(last) = sending.last_event {
            put("last-event-id", last.to_string());
        }
    }

    fn answered(&self, headers: &HeaderMap) -> Answered {
        let load = number(headers, "x-load").map(|running| ToldLoad {
            running: running as u32,
            waiting: 0,
        });
        Answered {
            attempt: headers.get("x-attempt").cloned(),
            is_signed: headers.contains_key("x-signature"),
            not_run: headers.contains_key("x-not-run"),
            instance: text(headers, "x-instance").map(str::to_owned),
            load,
        }
    }

    fn prefilled(&self, body: &[u8]) -> Option<String> {
        std::str::from_utf8(body).ok().map(str::to_owned)
    }

    fn free(&self, handle: &KvHandle) -> (Method, String) {
        (Method::DELETE, format!("/kv/{}", handle.id))
    }

    fn report_path(&self) -> &'static str {
        "/report"
    }

    fn reported(&self, _body: &[u8]) -> Option<EngineReport> {
        None
    }

    fn order(&self, order: &Order) -> (String, Vec<u8>) {
        ("/order".to_owned(), order.fence.to_string().into_bytes())
    }

    fn expect(&self, headers: &mut HeaderMap, instance: &str) {
        let id = HeaderValue::from_str(instance).expect("a valid value");
        headers.insert("x-instance", id);
    }

    fn ready_path(&self) -> &'static str {
        "/ready"
    }

    fn resolve_path(&self) -> &'static str {
        "/resolve"
    }

    fn addresses(&self, addresses: &[SocketAddr], _ttl_ms: u64) -> Vec<u8> {
        format!("{addresses:?}").into_bytes()
    }

    fn caller_zone(&self, query: &str) -> Option<String> {
        query.strip_prefix("zone=").map(str::to_owned)
    }

    fn error(&self, reason: &str) -> Vec<u8> {
        reason.as_bytes().to_vec()
    }
}

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
    pub fn entry(&self, id: &str, service: &str, stage: Stage) -> Entry {
        Entry {
            id: id.to_owned(),
            service: service.to_owned(),
            address: self.address,
            zone: "here".to_owned(),
            slots: 4,
            standing: Standing::Ready,
            stage,
            seq: 1,
            born_ms: 0,
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

/// A relay that listens on loopback.
pub struct Bed {
    /// The relay.
    pub relay: Rc<Relay>,
    /// Where callers connect.
    pub address: SocketAddr,
    /// Its phase.
    pub phase: watch::Sender<Phase>,
    pool: Rc<Pool>,
}

/// A route of these tests.
pub fn route(prefix: &str, kind: Kind, service: &str) -> Route {
    Route {
        name: prefix.trim_matches('/').to_owned(),
        host: "host.test".to_owned(),
        prefix: prefix.to_owned(),
        kind,
        timeout_ms: 4_000,
        goal_ms: 800,
        priority: 1,
        targets: vec![Target {
            service: service.to_owned(),
            weight: 1,
        }],
        max_attempts: if kind == Kind::Unsafe { 1 } else { 2 },
        resumable: kind == Kind::Stream,
        gap_goal_ms: 300,
    }
}

/// Version 1 of a configuration with the usual routes.
pub fn config(version: u64) -> Config {
    let mut once = route("/once/", Kind::Stream, "llm");
    once.resumable = false;
    once.max_attempts = 1;
    let routes = vec![
        route("/claims/", Kind::Unsafe, "desk"),
        route("/reads/", Kind::Safe, "desk"),
        route("/grades/", Kind::Stream, "llm"),
        once,
    ];
    let engine = Service {
        max_connections: 60,
        engine: Some(EngineLimits {
            slots: 4,
            kv_tokens: 400_000,
            token_bytes: 35_000,
            link_mbps: 300_000,
            event_tokens: 7,
        }),
    };
    let desk = Service {
        max_connections: 60,
        engine: None,
    };
    let services = [("llm".to_owned(), engine), ("desk".to_owned(), desk)].into();
    Config::new(version, routes, services, Limits::default())
}

/// Settings of these tests.
pub fn settings() -> Settings {
    Settings {
        name: "a".to_owned(),
        zone: "here".to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        peer: None,
        seeds: Vec::new(),
        repeats: RepeatTerms {
            ratio: 0.2,
            window_ms: 10_000,
            slack: 50.0,
        },
        addresses_ttl_ms: 2_000,
        lease_ms: 3_000,
        link_mbps: 20,
    }
}

impl Bed {
    /// Starts a relay with these upstreams.
    pub fn start(entries: Vec<Entry>) -> Self {
        let bed = Self::knowing_nothing(settings());
        bed.relay.configure(config(1));
        let own = bed.relay.heartbeat();
        let now_ms = bed.relay.now_ms();
        bed.relay.members.borrow_mut().heard(now_ms, own);
        for entry in entries {
            bed.relay.apply(Change::Put(entry));
        }
        bed
    }

    /// Starts a relay that has no configuration and no upstreams.
    pub fn knowing_nothing(settings: Settings) -> Self {
        let clock = Clock::default();
        let relay = Relay::new(settings, Rc::new(Wire), clock);
        let listener = bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let address = listener.local_addr().expect("an address");
        let (phase, phases) = watch::channel(Phase::Serving);
        actix_rt::spawn(serve(Rc::clone(&relay), Duty::Callers, listener, phases));
        Self {
            relay,
            address,
            phase,
            pool: Pool::new(address, clock),
        }
    }

    /// Sends a request and waits for the head of its answer.
    pub async fn ask(&self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, Fault> {
        let (response, lease) = exchange(&self.pool, usize::MAX, request).await?;
        // The connection lives until the answer is read; the pool is not what is tested here.
        std::mem::forget(lease);
        Ok(response)
    }

    /// Sends a request and gives status and body; nothing for a body that broke off.
    pub async fn get(&self, request: Request<Full<Bytes>>) -> (u16, Option<String>) {
        let response = self.ask(request).await.expect("an answer's head");
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.ok();
        let body = body.map(|body| String::from_utf8_lossy(&body.to_bytes()).into_owned());
        (status, body)
    }
}

/// A request to `path` under an id.
pub fn request(method: Method, path: &str, id: &str) -> Request<Full<Bytes>> {
    let body = if method == Method::POST { "body" } else { "" };
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", "Host.test:80")
        .header("x-attempt", id)
        .header("x-left-ms", "3000")
        .body(Full::from(body))
        .expect("a request")
}

/// Waits until something holds, for at most some seconds.
pub async fn until(holds: impl Fn() -> bool) -> bool {
    for _ in 0..500 {
        if holds() {
            return true;
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    false
}

/// Lets one relay tell another one all that it has to tell now.
pub fn tell(from: &Relay, to: &Relay) {
    let address: SocketAddr = "127.0.0.1:2".parse().expect("an address");
    let other = Member {
        name: "told".to_owned(),
        address,
        peer: Some(address),
        zone: "here".to_owned(),
        ready: true,
        beat: 1,
        link_mbps: 20,
    };
    from.members.borrow_mut().heard(from.now_ms(), other);
    from.wrote(from.heartbeat());
    for (_, told) in from.told_now() {
        to.heard(&told, address);
    }
}
