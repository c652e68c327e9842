//! Stand-in for the platform's instance list, whose changes become visible with a delay.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

use actix_http::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use tick::Clock;
use web::{Response, Server, ServerOptions};

/// Maximum size of an entry in a request body, in bytes.
const MAX_ENTRY_BYTES: usize = 64 << 10;

/// State of an instance on the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// In service.
    #[default]
    Live,
    /// About to be removed from service.
    Leaving,
}

/// Entry of the instance list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceEntry {
    /// Name of the instance, unique on the list.
    pub name: String,
    /// `entry`, `engine` or `service`.
    pub kind: String,
    /// IP address and port of the HTTP server.
    pub address: String,
    /// IP address and port for gossip between entry instances; empty for upstreams.
    #[serde(default)]
    pub peer_address: String,
    /// Availability zone.
    pub zone: String,
    /// Name of the served model or service; empty for entry instances.
    #[serde(default)]
    pub serves: String,
    /// Whether orders with an outdated fencing token are rejected.
    #[serde(default)]
    pub checks_orders: bool,
    /// State of the instance.
    #[serde(default, rename = "standing")]
    pub state: InstanceState,
}

#[derive(Debug, Clone)]
struct Change {
    at_ms: u64,
    name: String,
    entry: Option<InstanceEntry>,
}

#[derive(Debug, Default)]
struct Store {
    lag_ms: u64,
    visible: BTreeMap<String, InstanceEntry>,
    pending: Vec<Change>,
}

impl Store {
    fn schedule(&mut self, now_ms: u64, name: &str, entry: Option<InstanceEntry>) {
        self.pending.push(Change {
            at_ms: now_ms + self.lag_ms,
            name: name.to_owned(),
            entry,
        });
    }

    fn visible_entries(&mut self, now_ms: u64) -> Vec<InstanceEntry> {
        let due = |change: &mut Change| change.at_ms <= now_ms;
        for change in self.pending.extract_if(.., due) {
            match change.entry {
                Some(entry) => self.visible.insert(change.name, entry),
                None => self.visible.remove(&change.name),
            };
        }
        self.visible.values().cloned().collect()
    }
}

/// A running instance list; clones refer to the same list.
#[derive(Clone)]
pub struct InstanceList {
    clock: Clock,
    store: Rc<RefCell<Store>>,
    server: Rc<RefCell<Option<Server>>>,
}

impl InstanceList {
    /// Starts an empty list whose changes become visible after `lag_ms`.
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

    /// Address and port of the HTTP server; empty before it is started.
    pub fn address(&self) -> String {
        let server = self.server.borrow();
        server
            .as_ref()
            .map_or(String::new(), |server| server.address().to_string())
    }

    /// Adds an instance to the list or replaces its entry, after the list's delay.
    pub fn put(&self, entry: InstanceEntry) {
        let name = entry.name.clone();
        let mut store = self.store.borrow_mut();
        store.schedule(self.clock.now_ms(), &name, Some(entry));
    }

    /// Removes an instance from the list, after the list's delay.
    pub fn remove(&self, name: &str) {
        self.store
            .borrow_mut()
            .schedule(self.clock.now_ms(), name, None);
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
                let visible = self.store.borrow_mut().visible_entries(self.clock.now_ms());
                web::json(StatusCode::OK, &visible)
            }
            Method::PUT if !name.is_empty() => {
                let body = web::read_body(request.take_payload(), MAX_ENTRY_BYTES, 5_000).await;
                match body.and_then(|bytes| web::parse_json::<InstanceEntry>(&bytes)) {
                    Ok(entry) => {
                        self.put(entry);
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

/// Adds an instance to a list over HTTP, as the platform does when it starts a process.
pub async fn register(list: &str, entry: &InstanceEntry) -> io::Result<()> {
    let url = format!("http://{list}/instances/{}", entry.name);
    let sent = awc::Client::default().put(url).send_json(entry).await;
    let response = sent.map_err(|error| io::Error::other(error.to_string()))?;
    if response.status().is_success() {
        return Ok(());
    }
    Err(io::Error::other(format!(
        "instance list: {}",
        response.status()
    )))
}
