//! The platform's lagging list of live and leaving instances.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

use actix_http::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use tick::Clock;
use web::{Response, Server, ServerOptions};

/// Largest entry of the list, in bytes.
const ENTRY_BYTES: usize = 64 << 10;

/// Whether an instance is to stay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// It stays.
    #[default]
    Live,
    /// It is on its way out.
    Leaving,
}

/// One instance of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceEntry {
    /// Name.
    pub name: String,
    /// `entry`, `engine` or `service`.
    pub kind: String,
    /// IP address and port of its HTTP side.
    pub address: String,
    /// IP address and port for other entry instances; empty for upstreams.
    #[serde(default)]
    pub peer_address: String,
    /// Availability zone.
    pub zone: String,
    /// What it serves: a model or a service by name; empty for entry instances.
    #[serde(default)]
    pub serves: String,
    /// Whether it refuses orders with an old fencing token.
    #[serde(default)]
    pub checks_orders: bool,
    /// Whether it is to stay.
    #[serde(default, rename = "standing")]
    pub state: InstanceState,
}

#[derive(Debug, Clone)]
struct Change {
    at_ms: u64,
    name: String,
    now: Option<InstanceEntry>,
}

#[derive(Debug, Default)]
struct Store {
    lag_ms: u64,
    shown: BTreeMap<String, InstanceEntry>,
    pending: Vec<Change>,
}

impl Store {
    fn change(&mut self, now_ms: u64, name: &str, now: Option<InstanceEntry>) {
        self.pending.push(Change {
            at_ms: now_ms + self.lag_ms,
            name: name.to_owned(),
            now,
        });
    }

    fn show(&mut self, now_ms: u64) -> Vec<InstanceEntry> {
        let due = |change: &mut Change| change.at_ms <= now_ms;
        for change in self.pending.extract_if(.., due) {
            match change.now {
                Some(listed) => self.shown.insert(change.name, listed),
                None => self.shown.remove(&change.name),
            };
        }
        self.shown.values().cloned().collect()
    }
}

/// A running list.
#[derive(Clone)]
pub struct InstanceList {
    clock: Clock,
    store: Rc<RefCell<Store>>,
    server: Rc<RefCell<Option<Server>>>,
}

impl InstanceList {
    /// Starts a list whose changes show after `lag_ms`.
    pub async fn start(address: &str, lag_ms: u64) -> io::Result<Self> {
        let list = Self {
            clock: Clock::default(),
            store: Rc::new(RefCell::new(Store {
                lag_ms,
                ..Store::default()
            })),
            server: Rc::default(),
        };
        let listener = web::bind(address).await?;
        let handler = list.clone();
        let server = web::serve(listener, ServerOptions::default(), move |request| {
            let list = handler.clone();
            async move { list.answer(request).await }
        })
        .await?;
        list.server.replace(Some(server));
        Ok(list)
    }

    /// Where it listens.
    pub fn address(&self) -> String {
        let server = self.server.borrow();
        server
            .as_ref()
            .map_or(String::new(), |server| server.address().to_string())
    }

    /// Puts an instance on the list, or changes it.
    pub fn put(&self, listed: InstanceEntry) {
        let name = listed.name.clone();
        let mut store = self.store.borrow_mut();
        store.change(self.clock.now_ms(), &name, Some(listed));
    }

    /// Takes an instance off the list.
    pub fn remove(&self, name: &str) {
        self.store
            .borrow_mut()
            .change(self.clock.now_ms(), name, None);
    }

    async fn answer(&self, mut request: Request) -> Response {
        let method = request.method().clone();
        let path = request.path().to_owned();
        let name = path
            .strip_prefix("/instances/")
            .unwrap_or_default()
            .to_owned();
        match method {
            Method::GET if path == "/instances" => {
                let shown = self.store.borrow_mut().show(self.clock.now_ms());
                web::json(StatusCode::OK, &shown)
            }
            Method::PUT if !name.is_empty() => {
                let read = web::read_body(request.take_payload(), ENTRY_BYTES, 5_000).await;
                match read.and_then(|body| web::parse_json::<InstanceEntry>(&body)) {
                    Ok(listed) => {
                        self.put(listed);
                        web::empty(StatusCode::NO_CONTENT)
                    }
                    Err(error) => web::text(error.status(), "text/plain", error.to_string()),
                }
            }
            Method::DELETE if !name.is_empty() => {
                self.remove(&name);
                web::empty(StatusCode::NO_CONTENT)
            }
            _ => web::empty(StatusCode::NOT_FOUND),
        }
    }
}

/// Puts an instance on a list over HTTP, as the platform's starter of processes does.
pub async fn register(list: &str, listed: &InstanceEntry) -> io::Result<()> {
    let url = format!("http://{list}/instances/{}", listed.name);
    let sent = awc::Client::default().put(url).send_json(listed).await;
    let response = sent.map_err(|error| io::Error::other(error.to_string()))?;
    if response.status().is_success() {
        return Ok(());
    }
    Err(io::Error::other(format!(
        "instance list: {}",
        response.status()
    )))
}
