//! Stand-ins of servers: model engines that stream events, and a plain service. Each has one lifetime after the other
//! under the same id and address.

use std::collections::HashMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use crate::clock::{now_ms, random, record, sleep_ms, unix_ms};
use crate::http::{Conn, Message};
use crate::store::Store;

/// What kind of work a server does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    Prefill,
    Decode,
    Plain,
}

/// How a stream is written.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    pub first_ms: u64,
    pub gap_ms: u64,
    pub pieces: u64,
    /// Whether a stream goes on without a pause and without end, until its reader closes.
    pub is_endless: bool,
    /// Time that a plain service works on a request, and length of its answer.
    pub work_ms: u64,
    pub body_bytes: usize,
}

/// One server.
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub service: String,
    pub kind: Kind,
    pub pace: Pace,
    store: Arc<Store>,
    /// Number of the lifetime.
    pub life: AtomicU64,
    pub is_alive: AtomicBool,
    born: AtomicU64,
    seq: AtomicU64,
    orders: AtomicU64,
    running: AtomicU64,
    version: Mutex<String>,
    connections: Mutex<Vec<TcpStream>>,
    /// Handles of prompts that it has read, with the lifetime.
    handles: Mutex<HashMap<String, u64>>,
    peers: Mutex<Vec<Arc<Server>>>,
}

/// Time between two entries of a server in the store.
const BEAT_MS: u64 = 1_200;

/// Length from which a plain service sends its answers in chunks, in bytes.
const CHUNKED_FROM_BYTES: usize = 100_000;

impl Server {
    pub fn start(
        id: String,
        address: SocketAddr,
        (zone, service, kind, pace): (&str, &str, Kind, Pace),
        store: &Arc<Store>,
    ) -> Arc<Self> {
        let server = Arc::new(Self {
            id,
            address,
            zone: zone.to_owned(),
            service: service.to_owned(),
            kind,
            pace,
            store: Arc::clone(store),
            life: AtomicU64::new(0),
            is_alive: AtomicBool::new(false),
            born: AtomicU64::new(0),
            seq: AtomicU64::new(0),
            orders: AtomicU64::new(0),
            running: AtomicU64::new(0),
            version: Mutex::default(),
            connections: Mutex::default(),
            handles: Mutex::default(),
            peers: Mutex::default(),
        });
        server.begin_life("v1");
        let beating = Arc::clone(&server);
        std::thread::spawn(move || {
            sleep_ms(random() % BEAT_MS);
            loop {
                sleep_ms(BEAT_MS);
                beating.write_entry();
            }
        });
        server
    }

    /// Makes the other servers known, from which memory is fetched.
    pub fn meet(&self, peers: &[Arc<Server>]) {
        *self.peers.lock().unwrap() = peers.to_vec();
    }

    /// Starts a lifetime, which registers at once.
    pub fn begin_life(self: &Arc<Self>, version: &str) {
        let life = self.life.fetch_add(1, Ordering::SeqCst) + 1;
        self.born.store(unix_ms(), Ordering::SeqCst);
        self.seq.store(0, Ordering::SeqCst);
        self.orders.store(0, Ordering::SeqCst);
        self.running.store(0, Ordering::SeqCst);
        *self.version.lock().unwrap() = version.to_owned();
        self.handles.lock().unwrap().clear();
        let listener = TcpListener::bind(self.address).expect("the server's address is free");
        listener.set_nonblocking(true).expect("not blocking");
        self.is_alive.store(true, Ordering::SeqCst);
        record(&format!(
            "server {} starts, version {version}, lifetime {life}",
            self.id
        ));
        let server = Arc::clone(self);
        std::thread::spawn(move || {
            while server.lives(life) {
                let Ok((stream, _)) = listener.accept() else {
                    sleep_ms(1);
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(copy) = stream.try_clone() {
                    server.connections.lock().unwrap().push(copy);
                }
                let server = Arc::clone(&server);
                std::thread::spawn(move || server.serve(Conn::new(stream), life));
            }
        });
        self.write_entry();
    }

    /// Stops to work, as a crash does just before the system closes the connections.
    pub fn stop(&self) {
        self.is_alive.store(false, Ordering::SeqCst);
    }

    /// Ends the lifetime, as a crash does: all connections and the listener are closed. The store removes the entry after
    /// three beats of silence.
    pub fn crash(self: &Arc<Self>) {
        record(&format!("server {} crashes", self.id));
        self.is_alive.store(false, Ordering::SeqCst);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        let server = Arc::clone(self);
        let life = self.life.load(Ordering::SeqCst);
        std::thread::spawn(move || {
            sleep_ms(3 * BEAT_MS);
            if server.life.load(Ordering::SeqCst) == life {
                record(&format!("the store removes the entry of {}", server.id));
                server.store.remove("keyed.servers", &server.id);
            }
        });
    }

    fn lives(&self, life: u64) -> bool {
        self.is_alive.load(Ordering::SeqCst) && self.life.load(Ordering::SeqCst) == life
    }

    pub fn version(&self) -> String {
        self.version.lock().unwrap().clone()
    }

    fn write_entry(&self) {
        if !self.is_alive.load(Ordering::SeqCst) {
            return;
        }
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let stage = match self.kind {
            Kind::Prefill => {
                ",\"stage\":\"prefill\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]"
            }
            Kind::Decode => {
                ",\"stage\":\"decode\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]"
            }
            Kind::Plain => "",
        };
        let entry = format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":12,\"state\":\"ready\",\"coldLeftMs\":0{stage},\"seq\":{seq},\"born\":{}}}",
            self.service,
            self.address,
            self.zone,
            self.version(),
            self.born.load(Ordering::SeqCst)
        );
        let version = self.version();
        if self.store.put("keyed.servers", &self.id, &entry) && seq == 1 {
            record(&format!(
                "server {} has registered, version {version}",
                self.id
            ));
        }
    }

    fn serve(self: &Arc<Self>, mut conn: Conn, life: u64) {
        while let Ok(request) = conn.read_request() {
            if !self.lives(life)
                || self.answer(&mut conn, &request, life).is_err()
                || !self.lives(life)
            {
                let _ = conn.stream.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    fn load(&self) -> String {
        format!(
            "Server-Load: {},0,12\r\n",
            self.running.load(Ordering::SeqCst)
        )
    }

    fn answer(
        self: &Arc<Self>,
        conn: &mut Conn,
        request: &Message,
        life: u64,
    ) -> std::io::Result<()> {
        let instance = format!("Instance-Id: {}\r\n", self.id);
        if request
            .header("expect-instance")
            .is_some_and(|it| it != self.id)
        {
            return conn.answer("421 Misdirected Request", &instance, b"");
        }
        let own = format!("{}{instance}", self.load());
        match (request.method(), request.path()) {
            ("GET", "/healthz") => conn.answer("200 OK", &own, b""),
            ("GET", "/chicoryrack/report") if self.kind != Kind::Plain => {
                let stage = if self.kind == Kind::Prefill {
                    "prefill"
                } else {
                    "decode"
                };
                let body = format!(
                    "{{\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\"seq\":{},\"waiting\":0,\"running\":{},\"kvUsed\":0,\"kvTotal\":400000,\"handles\":0,\"born\":{}}}",
                    self.orders.load(Ordering::SeqCst),
                    self.running.load(Ordering::SeqCst),
                    self.born.load(Ordering::SeqCst)
                );
                conn.answer(
                    "200 OK",
                    "Content-Type: application/json\r\n",
                    body.as_bytes(),
                )
            }
            // Orders are refused as one that is in progress: roles stay as they are.
            ("POST", "/chicoryrack/order") => conn.answer("409 Conflict", "", b"{}"),
            ("DELETE", path) if path.starts_with("/chicoryrack/kv-handle/") => {
                self.handles
                    .lock()
                    .unwrap()
                    .remove(&path["/chicoryrack/kv-handle/".len()..]);
                conn.answer("200 OK", "", b"{}")
            }
            _ if self.kind == Kind::Plain => {
                let attempt = request.header("attempt-id").unwrap_or("-").to_owned();
                record(&format!(
                    "run {attempt} at {} {} {}",
                    self.id,
                    request.method(),
                    request.path()
                ));
                sleep_ms(self.pace.work_ms);
                if !self.lives(life) {
                    return Err(std::io::Error::other("the lifetime is over"));
                }
                let head = format!(
                    "Attempt-Id: {attempt}\r\nReply-Stamp: {}.{life}\r\n{}",
                    self.id,
                    self.load()
                );
                let mut body = format!("answer to {attempt}").into_bytes();
                body.resize(self.pace.body_bytes.max(body.len()), b'.');
                if body.len() < CHUNKED_FROM_BYTES {
                    return conn.answer("200 OK", &head, &body);
                }
                conn.write(
                    format!("HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: chunked\r\n\r\n")
                        .as_bytes(),
                )?;
                for chunk in body.chunks(16_384) {
                    conn.write_chunk(chunk)?;
                }
                conn.write(b"0\r\n\r\n")
            }
            _ => self.generate(conn, request, life),
        }
    }

    fn generate(
        self: &Arc<Self>,
        conn: &mut Conn,
        request: &Message,
        life: u64,
    ) -> std::io::Result<()> {
        let attempt = request.header("attempt-id").unwrap_or("-").to_owned();
        let echo = format!("Attempt-Id: {attempt}\r\n{}", self.load());
        let is_prefill = request.header("stage") == Some("prefill");
        if is_prefill != (self.kind == Kind::Prefill) {
            return conn.answer(
                "421 Misdirected Request",
                &format!("{echo}Instance-Id: {}\r\n", self.id),
                b"",
            );
        }
        if is_prefill {
            sleep_ms(20);
            let handle = format!("{:016x}", random());
            self.handles.lock().unwrap().insert(handle.clone(), life);
            let body = format!("{{\"handle\":\"{handle}\",\"tokens\":100,\"version\":1}}");
            let head = format!("{echo}Content-Type: application/json\r\n");
            return conn.answer("200 OK", &head, body.as_bytes());
        }
        if let Some(source) = request.header("kv-source") {
            let (address, handle) = source.split_once('/').unwrap_or(("", ""));
            let peers = self.peers.lock().unwrap().clone();
            let holder = peers.iter().find(|it| it.address.to_string() == address);
            let is_had = holder.is_some_and(|it| {
                it.is_alive.load(Ordering::SeqCst)
                    && it.handles.lock().unwrap().remove(handle).is_some()
            });
            if !is_had {
                return conn.answer(
                    "503 Service Unavailable",
                    &format!("{echo}Not-Run: 1\r\n"),
                    b"",
                );
            }
        }
        let from: u64 = request
            .header("last-event-id")
            .and_then(|it| it.parse().ok())
            .unwrap_or(0);
        self.running.fetch_add(1, Ordering::SeqCst);
        let written = self.stream(conn, &attempt, &echo, from, life);
        if self.lives(life) {
            self.running.fetch_sub(1, Ordering::SeqCst);
        }
        written
    }

    fn stream(
        &self,
        conn: &mut Conn,
        attempt: &str,
        echo: &str,
        from: u64,
        life: u64,
    ) -> std::io::Result<()> {
        let ended = || std::io::Error::other("the lifetime is over");
        let version = self.version();
        sleep_ms(self.pace.first_ms);
        if !self.lives(life) {
            return Err(ended());
        }
        record(&format!(
            "run {attempt} at {} {version} lifetime {life} from event {from}",
            self.id
        ));
        let head = format!(
            "HTTP/1.1 200 OK\r\n{echo}Reply-Stamp: {}.{life}\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        conn.write(head.as_bytes())?;
        let mut next = from + 1;
        while self.pace.is_endless {
            let events: String = (next..next + 64)
                .map(|id| format!("id: {id}\ndata: {version} {} {life}\n\n", self.id))
                .collect();
            conn.write_chunk(events.as_bytes())?;
            next += 64;
        }
        for id in from + 1..=self.pace.pieces {
            let event = format!("id: {id}\ndata: {version} {} {life}\n\n", self.id);
            conn.write_chunk(event.as_bytes())?;
            let until = now_ms() + self.pace.gap_ms;
            while now_ms() < until {
                if !self.lives(life) {
                    return Err(ended());
                }
                sleep_ms(5);
            }
        }
        conn.write(b"0\r\n\r\n")
    }
}
