//! The configuration that operators publish: routes, services and limits.

use std::collections::HashMap;
use std::rc::Rc;

use duty::scale;
use keys::{KeyHash, Keyring};
use serde::{Deserialize, Serialize};

/// What may be repeated of the requests on a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum RouteKind {
    /// Idempotent: may run more than once.
    Safe,
    /// Runs at most once.
    #[default]
    Unsafe,
    /// Answered by a stream of events.
    Stream,
}

/// A service among which a route's requests are split.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Service name.
    pub service: String,
    /// Weight beside the other targets.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Route {
    /// Name, for logs and metrics.
    pub name: String,
    /// Host that it belongs to, in lower case and without a port.
    pub host: String,
    /// Start of the path; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting.
    pub timeout_ms: u64,
    /// Time within which an answer is worth most.
    pub goal_ms: u64,
    /// Rank, 0 first.
    pub priority: u8,
    /// Services that may run the requests.
    pub targets: Vec<Target>,
    /// Most upstreams to which one request may be sent.
    pub max_attempts: u32,
    /// Whether a broken stream may go on at another upstream.
    pub resumable: bool,
    /// Longest pause between two events of a stream that is still on time.
    pub gap_goal_ms: u64,
    /// Whether it serves callers without a key.
    pub is_public: bool,
}

impl Route {
    /// Whether a request that may have run may be sent again.
    pub fn is_retryable(&self) -> bool {
        match self.kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Stream => self.resumable,
        }
    }

    /// The service of one request, drawn by weight from its `draw`.
    ///
    /// The draw comes from the request's id, so that a second look at the same request finds the
    /// same service.
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

/// What is known of a service beside its upstreams.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Service {
    /// Connections that one upstream accepts from all instances together.
    pub max_connections: usize,
    /// Set for services of model engines.
    pub engine: Option<EngineLimits>,
    /// Set for services whose upstreams are ordered.
    #[serde(default)]
    pub scale: Option<scale::ScalingBounds>,
}

/// Limits of a service's engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EngineLimits {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that fit into an engine's memory.
    pub kv_tokens: u64,
    /// Memory of a token's KV cache, in bytes; none where engines do not copy from each other.
    #[serde(default)]
    pub token_bytes: u64,
    /// Speed of an engine's link to others.
    #[serde(default)]
    pub link_mbps: u64,
    /// Tokens that come with one event of a stream.
    #[serde(default)]
    pub event_tokens: u32,
}

/// A workspace, for which callers that have one of its keys ask.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name.
    pub name: String,
    /// Rank of its requests, 0 first; where it is set it goes before that of the route.
    pub priority: Option<u8>,
    /// Its keys.
    pub keys: Vec<KeyHash>,
}

/// Who may ask.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(from = "WorkspacesState", into = "WorkspacesState")]
pub enum Access {
    /// Everybody.
    #[default]
    Open,
    /// Callers who have a key of a workspace.
    Keyed {
        /// All workspaces.
        workspaces: Vec<Rc<Workspace>>,
        /// Whose the keys are.
        ring: Keyring<Rc<Workspace>>,
    },
}

/// [`Access`] as it is written: nothing, or all workspaces.
#[derive(Serialize, Deserialize)]
struct WorkspacesState(Option<Vec<Workspace>>);

impl Access {
    /// Only for callers of these workspaces, of which there may be none.
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

    /// All workspaces.
    pub fn workspaces(&self) -> &[Rc<Workspace>] {
        match self {
            Self::Open => &[],
            Self::Keyed { workspaces, .. } => workspaces,
        }
    }

    /// How many keys let callers in.
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

/// Bounds on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Longest head.
    pub head_bytes: usize,
    /// Longest body.
    pub body_bytes: usize,
    /// Longest time for a head to arrive.
    pub head_ms: u64,
    /// Longest time for which a connection may idle.
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

/// One version of the whole configuration.
#[derive(Debug, Clone, Default)]
pub struct Config {
    /// Version; a higher one replaces a lower one and never the other way round.
    pub version: u64,
    /// Bounds on callers.
    pub limits: Limits,
    /// Who may ask.
    pub access: Access,
    services: HashMap<String, Service>,
    routes: HashMap<String, Vec<Rc<Route>>>,
}

impl Config {
    /// Puts a version together.
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

    /// The same for those who may ask.
    #[must_use]
    pub fn with_access(self, access: Access) -> Self {
        Self { access, ..self }
    }

    /// The route of a request: the longest prefix of its path among those of its host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// All routes.
    pub fn all_routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.values().flatten().map(Rc::as_ref)
    }

    /// All services by name.
    pub fn services(&self) -> &HashMap<String, Service> {
        &self.services
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
