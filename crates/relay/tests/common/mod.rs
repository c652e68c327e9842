//! A relay on loopback with stand-ins for its upstreams.

#![allow(
    dead_code,
    unused_imports,
    reason = "each test file uses a part of this"
)]

mod standin;
mod wire;

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

pub use standin::{Act, Seen, StandIn};
pub use wire::Wire;

/// Time for which the process of a relay has been running: longer than any of its windows.
pub const AGE: Duration = Duration::from_secs(60);

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

/// Version 1 of a configuration with the usual routes.
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

/// Settings of these tests.
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
    }
}

impl Bed {
    /// Starts a relay with these upstreams.
    pub fn start(entries: Vec<UpstreamEntry>) -> Self {
        Self::start_with(settings(), entries)
    }

    /// Starts a relay with these settings and upstreams.
    pub fn start_with(settings: Settings, entries: Vec<UpstreamEntry>) -> Self {
        let bed = Self::knowing_nothing(settings);
        bed.relay.configure(config(1));
        let own = bed.relay.heartbeat();
        let now_ms = bed.relay.now_ms();
        bed.relay.members.borrow_mut().record_heartbeat(now_ms, own);
        for entry in entries {
            bed.relay
                .apply_change(ListChange::Put(entry), relay::Origin::Read);
        }
        bed
    }

    /// Starts a relay that has no configuration and no upstreams.
    pub fn knowing_nothing(settings: Settings) -> Self {
        let clock = Clock::of_age(AGE);
        let relay = Relay::new(settings, Rc::new(Wire), clock);
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
            pool: Pool::new(address, clock),
        }
    }

    /// Sends a request and waits for the head of its answer.
    pub async fn ask(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ExchangeError> {
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

/// Another instance, to be told things.
pub fn listener() -> Member {
    let address: SocketAddr = "127.0.0.1:2".parse().expect("an address");
    Member {
        name: "told".to_owned(),
        address,
        gossip_address: Some(address),
        zone: "here".to_owned(),
        ready: true,
        heartbeat_seq: 1,
        link_mbps: 20,
    }
}

/// Lets one relay tell another one all that it has to tell now.
pub fn tell(from: &Relay, to: &Relay) {
    let other = listener();
    let address = other.address;
    from.members
        .borrow_mut()
        .record_heartbeat(from.now_ms(), other);
    from.heartbeat_stored(from.heartbeat());
    for (_, told) in from.due_gossip() {
        to.receive_gossip(&told, address);
    }
}
