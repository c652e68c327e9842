//! The configuration that operators publish: routes, services and limits.

use std::collections::HashMap;
use std::rc::Rc;

use duty::scale;
use keys::{KeyHash, Keyring};
use serde::{Deserialize, Serialize};

/// Which requests on a route may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum RouteKind {
    /// Idempotent: may run more than once.
    Safe,
    /// Must run at most once.
    #[default]
    Unsafe,
    /// Answered by a stream of events; retried if [`Route::resumable`].
    Stream,
}

/// A service among which a route's requests are split.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Service name.
    pub service: String,
    /// Share of requests relative to the weights of the other targets.
    pub weight: u32,
}

/// A route: which requests it matches, and how they are served.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Route {
    /// Name in logs and metrics.
    pub name: String,
    /// Host that it matches, in lower case and without a port.
    pub host: String,
    /// Path prefix that it matches; begins and ends with a slash.
    pub prefix: String,
    /// Which requests may be retried.
    pub kind: RouteKind,
    /// Upper bound on the time from a request's arrival to its deadline, in ms.
    pub timeout_ms: u64,
    /// Time within which an answer counts as in time, in ms.
    pub goal_ms: u64,
    /// Priority at upstreams, 0 first.
    pub priority: u8,
    /// Services that may run the requests.
    pub targets: Vec<Target>,
    /// Largest number of upstreams to which one request may be sent.
    pub max_attempts: u32,
    /// Whether a broken stream may continue at another upstream.
    pub resumable: bool,
    /// Longest pause between two events with which a stream counts as in time, in ms.
    pub gap_goal_ms: u64,
    /// Whether callers need no key.
    pub is_public: bool,
}

impl Route {
    /// Whether a request may be retried although it may have run.
    pub fn is_retryable(&self) -> bool {
        match self.kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Stream => self.resumable,
        }
    }

    /// The service of one request, chosen by weight with the hash `draw`; none if all weights are 0.
    ///
    /// The hash is one of the request's id, so that the same request always gets the same service.
    pub fn service(&self, draw: u64) -> Option<&str> {
        let total: u64 = self.targets.iter().map(|each| u64::from(each.weight)).sum();
        let mut at = draw.checked_rem(total)?;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if at < weight {
                return Some(&target.service);
            }
            at -= weight;
        }
        None
    }
}

/// Settings of a service.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Service {
    /// Connections that one upstream accepts from all instances together.
    pub max_connections: usize,
    /// Limits of each engine, for services of model engines.
    pub engine: Option<EngineLimits>,
    /// Scaling bounds, for services whose engines the fleet leader orders from the platform.
    #[serde(default)]
    pub scale: Option<scale::ScalingBounds>,
}

/// Limits of each engine of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EngineLimits {
    /// Requests that run concurrently.
    pub slots: u32,
    /// Capacity of the KV cache, in tokens.
    pub kv_tokens: u64,
    /// KV cache size of one token, in bytes; 0 if engines do not copy caches from each other.
    #[serde(default)]
    pub token_bytes: u64,
    /// Bandwidth of the link between engines, in Mbit/s.
    #[serde(default)]
    pub link_mbps: u64,
    /// Tokens in one event of a stream.
    #[serde(default)]
    pub event_tokens: u32,
}

/// A workspace; a caller that presents one of its keys makes requests for it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name in logs and usage reports.
    pub name: String,
    /// Priority of its requests, 0 first; overrides the priority of the route.
    pub priority: Option<u8>,
    /// Hashes of its keys.
    pub keys: Vec<KeyHash>,
    /// Weight of its share of engine time, at least 1.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

/// Weight of a workspace for which operators set none.
pub const DEFAULT_WEIGHT: u32 = 1;

fn default_weight() -> u32 {
    DEFAULT_WEIGHT
}

/// Which callers are admitted.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(from = "WorkspacesState", into = "WorkspacesState")]
pub enum Access {
    /// All callers.
    #[default]
    Open,
    /// Callers with the key of a workspace, and all callers on public routes.
    Keyed {
        /// All workspaces.
        workspaces: Vec<Rc<Workspace>>,
        /// The workspace of each key.
        ring: Keyring<Rc<Workspace>>,
    },
}

/// [`Access`] in its serialised form: null if open, or else all workspaces.
#[derive(Serialize, Deserialize)]
struct WorkspacesState(Option<Vec<Workspace>>);

impl Access {
    /// Admits only callers of these workspaces; an empty list admits callers on public routes only.
    pub fn keyed(workspaces: Vec<Workspace>) -> Self {
        let workspaces: Vec<Rc<Workspace>> = workspaces.into_iter().map(Rc::new).collect();
        let mut ring = Keyring::default();
        for workspace in &workspaces {
            for key in &workspace.keys {
                ring.add(*key, Rc::clone(workspace));
            }
        }
        Self::Keyed { workspaces, ring }
    }

    /// All workspaces; empty if access is open.
    pub fn workspaces(&self) -> &[Rc<Workspace>] {
        match self {
            Self::Open => &[],
            Self::Keyed { workspaces, .. } => workspaces,
        }
    }

    /// Number of valid keys; 0 if access is open.
    pub fn key_count(&self) -> usize {
        match self {
            Self::Open => 0,
            Self::Keyed { ring, .. } => ring.len(),
        }
    }
}

impl From<WorkspacesState> for Access {
    fn from(state: WorkspacesState) -> Self {
        state.0.map_or(Self::Open, Self::keyed)
    }
}

impl From<Access> for WorkspacesState {
    fn from(access: Access) -> Self {
        Self(match access {
            Access::Open => None,
            Access::Keyed { workspaces, .. } => {
                Some(workspaces.iter().map(|it| (**it).clone()).collect())
            }
        })
    }
}

/// Limits on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a request head to arrive, in ms.
    pub head_ms: u64,
    /// Longest time that a connection may be idle, in ms.
    pub idle_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16_384,
            body_bytes: 4 << 20,
            head_ms: 3_000,
            idle_ms: 15_000,
        }
    }
}

/// One version of the configuration.
#[derive(Debug, Clone, Default)]
pub struct Config {
    /// Version; only a higher one replaces the one in force.
    pub version: u64,
    /// Limits on what callers send.
    pub limits: Limits,
    /// Which callers are admitted.
    pub access: Access,
    services: HashMap<String, Service>,
    routes: HashMap<String, Vec<Rc<Route>>>,
}

impl Config {
    /// Creates a version with open access.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: HashMap<String, Service>,
        limits: Limits,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<Rc<Route>>> = HashMap::new();
        for route in routes {
            let host = by_host.entry(route.host.clone()).or_default();
            host.push(Rc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version,
            limits,
            access: Access::Open,
            services,
            routes: by_host,
        }
    }

    /// The same version with another access rule.
    #[must_use]
    pub fn with_access(self, access: Access) -> Self {
        Self { access, ..self }
    }

    /// The route of a request: that of its host with the longest prefix of its path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// The settings of a service.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// All routes, in no order.
    pub fn all_routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.values().flatten().map(Rc::as_ref)
    }

    /// Settings of all services by name.
    pub fn services(&self) -> &HashMap<String, Service> {
        &self.services
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
