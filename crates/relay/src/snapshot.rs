//! What an instance can learn from another one while it cannot reach the store.
//!
//! The store may be away for long, or turn single instances away, while processes are restarted.
//! An instance that starts then knows nothing and would refuse every caller until the store is
//! back. Others still know, so it asks one of them, once a second at most; what it learns is
//! replaced by the store's own word as soon as that can be read. See docs/design/platform.md.

use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::{Request, header};
use http_body_util::Full;
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use tick::since_boot_ms;
use view::{Member, RequestKey, UpstreamEntry};

use crate::config::{Access, Config, Limits, Route, Service};
use crate::pool::call_on_new_connection;
use crate::relay::{Origin, Relay};
use crate::upstreams::Unconfirmed;

/// Path at which instances tell each other their state.
pub const PATH: &str = "/state";

/// Least time between two questions, in ms: one that was not answered is given up by then.
const ASK_MS: u64 = 500;

/// Time for an answer, in ms: many round trips, and the time that a busy instance takes.
const ANSWER_MS: u64 = 500;

/// A configuration as instances tell it to each other.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ConfigSnapshot {
    version: u64,
    routes: Vec<Route>,
    services: HashMap<String, Service>,
    limits: Limits,
    // An instance that tells none is of a version that would let everybody in: its state is not understood.
    access: Access,
}

impl From<&Config> for ConfigSnapshot {
    fn from(config: &Config) -> Self {
        Self {
            version: config.version,
            routes: config.all_routes().cloned().collect(),
            services: config.services().clone(),
            limits: config.limits,
            access: config.access.clone(),
        }
    }
}

impl From<ConfigSnapshot> for Config {
    fn from(state: ConfigSnapshot) -> Self {
        Self::new(state.version, state.routes, state.services, state.limits)
            .with_access(state.access)
    }
}

/// What an instance knows.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Snapshot {
    /// The configuration in force.
    pub config: Option<ConfigSnapshot>,
    /// Upstreams.
    pub upstreams: Vec<UpstreamEntry>,
    /// Those among them whose entries went, by the last record that was taken in.
    #[serde(default, rename = "doubted")]
    pub unconfirmed: Vec<Unconfirmed>,
    /// Time since the list of upstreams stood so in the store, if the instance has taken in all that it
    /// knows of.
    pub list_age_ms: Option<u64>,
    /// Offset up to which its changes were taken in.
    #[serde(default)]
    pub list_next: Option<u64>,
    /// Time since the configuration stood so in the store, on the same terms.
    #[serde(default)]
    pub config_age_ms: Option<u64>,
    /// Offset up to which its changes were taken in.
    #[serde(default)]
    pub config_next: Option<u64>,
    /// Instances.
    pub members: Vec<Member>,
    /// Requests under which upstreams end.
    #[serde(default)]
    pub poisonous: Vec<RequestKey>,
}

/// When other instances were last asked.
#[derive(Debug, Default)]
pub struct LastQuery {
    at_ms: Cell<Option<u64>>,
}

/// Asks another instance what it knows, unless one was asked just now.
pub async fn query_peer(relay: &Rc<Relay>) {
    let now_ms = relay.now_ms();
    let recent = |at_ms: u64| now_ms < at_ms + ASK_MS;
    if relay.last_query.at_ms.get().is_some_and(recent) {
        return;
    }
    relay.last_query.at_ms.set(Some(now_ms));
    let Some(peer) = somebody(relay) else {
        return;
    };
    match ask(relay, peer).await {
        Ok(state) => merge(relay, &state, peer),
        Err(why) => log::info!(peer:%, why; "another instance could not be asked"),
    }
}

/// One that told of what this instance lacks, or else any.
fn somebody(relay: &Relay) -> Option<SocketAddr> {
    if let Some(peer) = relay.gossip.borrow().informed_peer() {
        return Some(peer);
    }
    let settings = relay.settings.borrow();
    let members = relay.members.borrow();
    let known = members.ready().filter_map(|member| member.gossip_address);
    let all: Vec<SocketAddr> = known
        .chain(settings.seeds.iter().copied())
        .filter(|peer| Some(*peer) != settings.peer)
        .collect();
    all.choose(&mut rand::rng()).copied()
}

async fn ask(relay: &Relay, peer: SocketAddr) -> Result<Snapshot, String> {
    let request = Request::builder()
        .uri(PATH)
        .header(header::HOST, peer.to_string())
        .body(Full::default())
        .map_err(|error| error.to_string())?;
    let wait = Duration::from_millis(ANSWER_MS);
    let (_, body) = call_on_new_connection(peer, relay.clock, request, wait).await?;
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}

/// Takes over what another instance knows and this one does not.
pub fn merge(relay: &Relay, state: &Snapshot, peer: SocketAddr) {
    let version = state.config.as_ref().map_or(0, |config| config.version);
    log::info!(
        peer:%, version, upstreams = state.upstreams.len(),
        list_age_ms = state.list_age_ms.unwrap_or(u64::MAX);
        "asked another instance"
    );
    take_config(relay, state);
    take_list(relay, state);
    relay.learn_poison_requests(&state.poisonous);
    let now_ms = relay.now_ms();
    let mut members = relay.members.borrow_mut();
    for member in &state.members {
        members.receive_heartbeat(now_ms, member);
    }
}

fn take_config(relay: &Relay, state: &Snapshot) {
    let Some(config) = &state.config else {
        return;
    };
    relay.configure(config.clone().into());
    let mut configs = relay.config_position.borrow_mut();
    if let (Some(age_ms), Some(next)) = (state.config_age_ms, state.config_next)
        && configs.lacks_records_before(next)
    {
        configs.record_snapshot(as_of_ms(Some(age_ms)), next);
    }
}

/// Takes over the list where it goes further than the own one.
///
/// The answer may be older than what this instance knows, since it was on its way or since the other one has
/// missed a change: an upstream whose entry went would be back with it, and nothing would take it away again.
///
/// An entry that the other instance doubts has gone, by the last record that it took in. Taken for one that is
/// there, it would never be doubted here, and the upstream would get work for as long as it answers; so the
/// doubt comes along with the list.
fn take_list(relay: &Relay, state: &Snapshot) {
    let is_doubted =
        |entry: &&UpstreamEntry| state.unconfirmed.iter().any(|doubt| doubt.id == entry.id);
    let all = state.upstreams.iter();
    let certain: Vec<UpstreamEntry> = all.filter(|entry| !is_doubted(entry)).cloned().collect();
    let is_further = |next: &u64| relay.list_position.borrow().lacks_records_before(*next);
    let Some(next) = state.list_next.filter(is_further) else {
        return;
    };
    relay.last_listed.borrow_mut().replace(&certain);
    relay.replace_list(state.upstreams.clone(), Origin::Asked);
    relay.mark_unconfirmed(&state.unconfirmed);
    let as_of_ms = as_of_ms(state.list_age_ms);
    relay
        .list_position
        .borrow_mut()
        .record_snapshot(as_of_ms, next);
}

/// The time as of which something is known that is so old; before all others if nobody knows.
fn as_of_ms(age_ms: Option<u64>) -> u64 {
    age_ms.map_or(0, |age_ms| since_boot_ms().saturating_sub(age_ms))
}
