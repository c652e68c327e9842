//! Starts an instance on loopback, with stub upstreams behind it.

#![allow(
    dead_code,
    unused_imports,
    reason = "each test file uses a part of this"
)]

mod dialect;
mod link;
mod requests;
mod slow_callers;
mod store;
mod stub;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use plan::RetryBudgetSettings;
use relay::config::{Config, EngineLimits, Limits, Route, RouteKind, Service, Target};
use relay::listener::{ListenerKind, bind, serve};
use relay::pool::{ExchangeError, Pool, exchange};
use relay::upstream::UpstreamEntry;
use relay::upstreams::ListChange;
use relay::{Phase, Relay, Settings};
use tick::Clock;
use tokio::sync::watch;
use view::Member;

pub use dialect::TestDialect;
pub use link::{Link, LinkState};
pub use requests::{EVENTS, generation_request, is_prefill, read_request};
pub use slow_callers::{ANSWER_BYTES, large_answer, slow_connection};
pub use store::TestStore;
pub use stub::{Action, Ending, ReceivedRequest, StubUpstream};

/// How long the process of an instance seems to have been running: longer than any of its time
/// windows, so that the whole retry budget is available.
pub const PROCESS_AGE: Duration = Duration::from_secs(60);

/// An instance that listens on loopback.
pub struct TestInstance {
    /// State of the instance.
    pub relay: Rc<Relay>,
    /// Address at which it accepts callers.
    pub address: SocketAddr,
    /// Sets the phase that its listener follows.
    pub phase: watch::Sender<Phase>,
    /// Tasks that exchange datagrams and requests with peers.
    peer_tasks: Vec<actix_rt::task::JoinHandle<()>>,
    pool: Rc<Pool>,
}

/// A route for `host.test`; an unsafe one gets a single attempt, a stream can be resumed.
pub fn route(prefix: &str, kind: RouteKind, service: &str) -> Route {
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
        max_attempts: if kind == RouteKind::Unsafe { 1 } else { 2 },
        resumable: kind == RouteKind::Stream,
        gap_goal_ms: 300,
        is_public: false,
    }
}

/// A configuration of this version with routes for an unsafe, a safe, a resumable and a
/// non-resumable request.
pub fn config(version: u64) -> Config {
    let mut once = route("/once/", RouteKind::Stream, "llm");
    once.resumable = false;
    once.max_attempts = 1;
    let routes = vec![
        route("/claims/", RouteKind::Unsafe, "desk"),
        route("/reads/", RouteKind::Safe, "desk"),
        route("/grades/", RouteKind::Stream, "llm"),
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
        scale: None,
    };
    let desk = Service {
        max_connections: 60,
        engine: None,
        scale: None,
    };
    let services = [("llm".to_owned(), engine), ("desk".to_owned(), desk)].into();
    Config::new(version, routes, services, Limits::default())
}

/// Settings of instance `a` in zone `here`.
pub fn settings() -> Settings {
    Settings {
        name: "a".to_owned(),
        zone: "here".to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        peer: None,
        seeds: Vec::new(),
        retry_budget: RetryBudgetSettings {
            ratio: 0.2,
            window_ms: 10_000,
            slack: 50.0,
        },
        addresses_ttl_ms: 2_000,
        lease_ms: 3_000,
        link_mbps: 20,
        singleton_tasks: relay::singleton_tasks::TaskSettings::default(),
        scheduling: relay::SchedulingSettings::default(),
    }
}

impl TestInstance {
    /// Starts an instance with these upstreams and the usual settings.
    pub fn start(entries: Vec<UpstreamEntry>) -> Self {
        Self::start_with(settings(), entries)
    }

    /// Starts an instance with these settings and upstreams, whose store names no other versions than theirs. It knows
    /// itself as a member, as it has no retries to spend before that.
    pub fn start_with(settings: Settings, entries: Vec<UpstreamEntry>) -> Self {
        let instance = Self::start_without_versions(settings, entries);
        TestStore::default().open(&instance.relay);
        instance
    }

    /// Starts an instance with these settings and upstreams that does not know which versions served before.
    pub fn start_without_versions(settings: Settings, entries: Vec<UpstreamEntry>) -> Self {
        let instance = Self::unconfigured(settings);
        instance.relay.configure(config(1));
        let own = instance.relay.heartbeat();
        let now_ms = instance.relay.now_ms();
        instance
            .relay
            .members
            .borrow_mut()
            .record_heartbeat(now_ms, own);
        for entry in entries {
            instance
                .relay
                .apply_change(ListChange::Put(entry), relay::Origin::Read);
        }
        instance
    }

    /// Starts an instance without a configuration or upstreams.
    pub fn unconfigured(settings: Settings) -> Self {
        let clock = Clock::of_age(PROCESS_AGE);
        let relay = Relay::new(settings, Rc::new(TestDialect), clock);
        let listener = bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let address = listener.local_addr().expect("an address");
        let (phase, phases) = watch::channel(Phase::Serving);
        actix_rt::spawn(serve(
            Rc::clone(&relay),
            ListenerKind::Callers,
            listener,
            phases,
        ));
        Self {
            relay,
            address,
            phase,
            peer_tasks: Vec::new(),
            pool: Pool::new(address, clock),
        }
    }

    /// Starts an instance that gossips with others; `seconds` of it are waited for by [`meet`].
    pub async fn start_peer(name: &str, zone: &str, entries: Vec<UpstreamEntry>) -> Self {
        let instance = Self::start_peer_without_versions(name, zone, entries).await;
        TestStore::default().open(&instance.relay);
        instance
    }

    /// The same, for an instance that does not know which versions served before.
    pub async fn start_peer_without_versions(
        name: &str,
        zone: &str,
        entries: Vec<UpstreamEntry>,
    ) -> Self {
        let (mut instance, listener) = Self::start_gossiping(name, zone, entries).await;
        let serving = serve(
            Rc::clone(&instance.relay),
            ListenerKind::Peers,
            listener,
            instance.phase.subscribe(),
        );
        instance.peer_tasks.push(actix_rt::spawn(serving));
        instance
    }

    /// Starts an instance that gossips with others, and whose listener for requests of peers is left to the test.
    pub async fn start_gossiping(
        name: &str,
        zone: &str,
        entries: Vec<UpstreamEntry>,
    ) -> (Self, tokio::net::TcpListener) {
        let (socket, listener) = peer_sockets().await;
        let peer = socket.local_addr().expect("an address");
        let named = Settings {
            name: name.to_owned(),
            zone: zone.to_owned(),
            peer: Some(peer),
            ..settings()
        };
        let mut instance = Self::start_without_versions(named, entries);
        let relay = &instance.relay;
        relay.settings.borrow_mut().address = instance.address;
        let receiving = relay::gossip::receive(Rc::clone(relay), Rc::clone(&socket));
        let sending = relay::gossip::send_periodically(Rc::clone(relay), socket);
        let tasks = [actix_rt::spawn(receiving), actix_rt::spawn(sending)];
        instance.peer_tasks.extend(tasks);
        (instance, listener)
    }

    /// Starts an instance that gossips with others and shares a store with them.
    pub async fn start_with_store(
        name: &str,
        entries: Vec<UpstreamEntry>,
        store: &Rc<TestStore>,
    ) -> Self {
        let mut instance = Self::start_peer_without_versions(name, "here", entries).await;
        let relay = Rc::clone(&instance.relay);
        store.open(&relay);
        let following = actix_rt::spawn(Rc::clone(store).follow(relay));
        instance.peer_tasks.push(following);
        instance
    }

    /// Ends the instance as a kill of its process does: nobody hears of it again.
    pub fn kill(&self) {
        self.phase.send_replace(Phase::Closing);
        for task in &self.peer_tasks {
            task.abort();
        }
    }

    /// Sends a request and returns the head of the response; its body can still be read.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        let (response, connection) = exchange(&self.pool, usize::MAX, request).await?;
        // Dropping it would close the connection while the body is yet to be read.
        std::mem::forget(connection);
        Ok(response)
    }

    /// Sends a request and returns the status and the body; `None` for a body that was truncated.
    pub async fn fetch(&self, request: Request<Full<Bytes>>) -> (u16, Option<String>) {
        let response = self.send(request).await.expect("an answer's head");
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.ok();
        let body = body.map(|body| String::from_utf8_lossy(&body.to_bytes()).into_owned());
        (status, body)
    }
}

/// Sockets for gossip and for requests of peers, at the same port.
async fn peer_sockets() -> (Rc<tokio::net::UdpSocket>, tokio::net::TcpListener) {
    loop {
        let any = "127.0.0.1:0".parse().expect("an address");
        let socket = relay::gossip::bind(any).await.expect("a port");
        let address = socket.local_addr().expect("an address");
        // Another process may have the port for connections.
        if let Ok(listener) = bind(address) {
            return (socket, listener);
        }
    }
}

/// Makes instances known to each other, and waits until each receives gossip.
pub async fn meet(instances: &[&TestInstance]) {
    let members: Vec<Member> = instances.iter().map(|it| it.relay.heartbeat()).collect();
    for instance in instances {
        let now_ms = instance.relay.now_ms();
        let mut known = instance.relay.members.borrow_mut();
        for member in &members {
            known.record_heartbeat(now_ms, member.clone());
        }
    }
    let all_known = || {
        let counts = instances.iter().map(|it| it.relay.instance_count());
        counts.min() == Some(instances.len())
    };
    assert!(wait_until(all_known).await, "all instances are known");
    actix_rt::time::sleep(Duration::from_millis(300)).await;
}

/// A request to `path` at `host.test` with 3 s to its deadline, under the attempt id `id`.
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

/// The entry of an upstream in another zone than that of the instance, which prefers those in its own.
pub fn in_other_zone(entry: UpstreamEntry) -> UpstreamEntry {
    UpstreamEntry {
        zone: "there".to_owned(),
        ..entry
    }
}

/// Polls until `holds` is true; false if it isn't after five seconds.
pub async fn wait_until(holds: impl Fn() -> bool) -> bool {
    for _ in 0..500 {
        if holds() {
            return true;
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    false
}

/// A ready peer to which gossip is addressed; no process receives it.
pub fn peer_member() -> Member {
    let address: SocketAddr = "127.0.0.1:2".parse().expect("an address");
    Member {
        name: "peer".to_owned(),
        address,
        gossip_address: Some(address),
        zone: "here".to_owned(),
        ready: true,
        heartbeat_seq: 1,
        link_mbps: 20,
    }
}

/// Delivers to `to` the gossip messages that `from` would send to a peer now.
pub fn deliver_gossip(from: &Relay, to: &Relay) {
    let peer = peer_member();
    let address = peer.address;
    from.members
        .borrow_mut()
        .record_heartbeat(from.now_ms(), peer);
    from.heartbeat_stored(from.heartbeat());
    for (_, message) in from.due_gossip() {
        to.receive_gossip(&message, address);
    }
}
