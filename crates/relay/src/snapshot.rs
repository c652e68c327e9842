//! Snapshots of state, by which an instance catches up from a peer while it cannot reach the store.
//!
//! The store may be unavailable for long, or reject single instances, while processes are restarted. An
//! instance that starts then has no configuration and would refuse all requests until the store is back.
//! So it asks a peer for a snapshot, and replaces that by the store's content as soon as it can read it.
//! See docs/design/platform.md.

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
use view::{Member, RequestKey, UpstreamEntry, UpstreamKey};

use crate::bounded_body::MAX_STATE_BYTES;
use crate::config::{Access, Config, Limits, Route, Service};
use crate::pool::call_on_new_connection;
use crate::relay::{Origin, Relay};
use crate::upstreams::Unconfirmed;

/// Path at which an instance serves its snapshot to peers.
pub const PATH: &str = "/state";

/// Minimum interval between two queries, in ms: an earlier one has timed out by then.
const QUERY_INTERVAL_MS: u64 = 500;

/// Timeout of a query, in ms: many round trips and the time that a busy instance takes to respond.
const QUERY_TIMEOUT_MS: u64 = 500;

/// A configuration as it is sent to peers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ConfigSnapshot {
    version: u64,
    routes: Vec<Route>,
    services: HashMap<String, Service>,
    limits: Limits,
    // Required: a snapshot without it comes from an older version and would admit every caller.
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
    fn from(config: ConfigSnapshot) -> Self {
        Self::new(
            config.version,
            config.routes,
            config.services,
            config.limits,
        )
        .with_access(config.access)
    }
}

/// State of an instance as it is sent to peers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Snapshot {
    /// The configuration in force, if there is one.
    pub config: Option<ConfigSnapshot>,
    /// Entries of all upstreams in use, as the list has them.
    pub upstreams: Vec<UpstreamEntry>,
    /// Those of `upstreams` that are leaving by what they said in answers; the list does not say so yet.
    #[serde(default)]
    pub announced: Vec<UpstreamKey>,
    /// Those of `upstreams` that are gone from the list but may have lapsed with the store.
    #[serde(default, rename = "doubted")]
    pub unconfirmed: Vec<Unconfirmed>,
    /// Age of the list of upstreams, in ms; none if records of it are known to be missing.
    pub list_age_ms: Option<u64>,
    /// Offset up to which the list was applied.
    #[serde(default)]
    pub list_next: Option<u64>,
    /// Age of the configuration, in ms; none if records of it are known to be missing.
    #[serde(default)]
    pub config_age_ms: Option<u64>,
    /// Offset up to which the configuration was applied.
    #[serde(default)]
    pub config_next: Option<u64>,
    /// Known instances.
    pub members: Vec<Member>,
    /// Known poison requests.
    #[serde(default)]
    pub poisonous: Vec<RequestKey>,
    /// Numbers of trials of those that were tried.
    #[serde(default)]
    pub trial_counts: Vec<(RequestKey, u8)>,
}

/// When a peer was last asked for a snapshot.
#[derive(Debug, Default)]
pub struct LastQuery {
    at_ms: Cell<Option<u64>>,
}

/// Asks a peer for its snapshot and merges it, unless one was asked less than 500 ms ago.
pub async fn query_peer(relay: &Rc<Relay>) {
    let now_ms = relay.now_ms();
    let is_recent = |at_ms: u64| now_ms < at_ms + QUERY_INTERVAL_MS;
    if relay.last_query.at_ms.get().is_some_and(is_recent) {
        return;
    }
    relay.last_query.at_ms.set(Some(now_ms));
    let Some(peer) = choose_peer(relay) else {
        return;
    };
    match fetch(relay, peer).await {
        Ok(snapshot) => merge(relay, &snapshot, peer),
        Err(why) => {
            relay.list_position.borrow_mut().forget_informant(peer);
            relay.config_position.borrow_mut().forget_informant(peer);
            log::info!(peer:%, why; "peer did not send its snapshot");
        }
    }
}

/// The peer to ask: one that told of a change which is missing here, or else a hub that gossip came from, or a random
/// member or seed.
fn choose_peer(relay: &Relay) -> Option<SocketAddr> {
    let list_informant = relay.list_position.borrow().informant();
    let informant = list_informant.or_else(|| relay.config_position.borrow().informant());
    if informant.is_some() {
        return informant;
    }
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

async fn fetch(relay: &Relay, peer: SocketAddr) -> Result<Snapshot, String> {
    let request = Request::builder()
        .uri(PATH)
        .header(header::HOST, peer.to_string())
        .body(Full::default())
        .map_err(|error| error.to_string())?;
    let timeout = Duration::from_millis(QUERY_TIMEOUT_MS);
    let response =
        call_on_new_connection(peer, relay.clock, request, timeout, MAX_STATE_BYTES).await?;
    serde_json::from_slice(response.body()).map_err(|error| error.to_string())
}

/// Merges a peer's snapshot; its configuration and list are applied only if they are newer than those of this
/// instance.
pub fn merge(relay: &Relay, snapshot: &Snapshot, peer: SocketAddr) {
    let version = snapshot.config.as_ref().map_or(0, |config| config.version);
    log::info!(
        peer:%, version, upstreams = snapshot.upstreams.len(),
        list_age_ms = snapshot.list_age_ms.unwrap_or(u64::MAX),
        peer_list_next = snapshot.list_next.unwrap_or_default(),
        list_next = relay.list_position.borrow().next_offset().unwrap_or_default();
        "snapshot received from peer"
    );
    merge_config(relay, snapshot);
    merge_list(relay, snapshot);
    relay.apply_announced(&snapshot.announced);
    relay.learn_poison_requests(&snapshot.poisonous);
    relay.learn_trial_counts(&snapshot.trial_counts);
    let now_ms = relay.now_ms();
    let mut members = relay.members.borrow_mut();
    for member in &snapshot.members {
        members.receive_heartbeat(now_ms, member);
    }
}

fn merge_config(relay: &Relay, snapshot: &Snapshot) {
    let Some(config) = &snapshot.config else {
        return;
    };
    relay.configure(config.clone().into());
    let mut position = relay.config_position.borrow_mut();
    if let (Some(age_ms), Some(next)) = (snapshot.config_age_ms, snapshot.config_next)
        && position.lacks_records_before(next)
    {
        position.record_snapshot(as_of_ms(Some(age_ms)), next);
    }
}

/// Replaces the list by the peer's if the peer's log position is ahead.
///
/// The snapshot may be older than the list of this instance: it may have been delayed, or the peer may have
/// missed a change. It would then restore an upstream whose entry was removed, and no later record would
/// remove it.
///
/// Unconfirmed entries stay unconfirmed. If they were applied as confirmed, they would never be removed,
/// since the record that removed them is already applied, and a leaving upstream would get requests for as
/// long as it responds.
fn merge_list(relay: &Relay, snapshot: &Snapshot) {
    let is_unconfirmed = |entry: &&UpstreamEntry| {
        let mut unconfirmed = snapshot.unconfirmed.iter();
        unconfirmed.any(|other| other.id == entry.id)
    };
    let all = snapshot.upstreams.iter();
    let confirmed: Vec<UpstreamEntry> = all
        .filter(|entry| !is_unconfirmed(entry))
        .cloned()
        .collect();
    let is_ahead = |next: &u64| relay.list_position.borrow().lacks_records_before(*next);
    let Some(next) = snapshot.list_next.filter(is_ahead) else {
        return;
    };
    relay.last_listed.borrow_mut().replace(&confirmed);
    relay.replace_list(snapshot.upstreams.clone(), Origin::Asked);
    relay.mark_unconfirmed(&snapshot.unconfirmed);
    let as_of_ms = as_of_ms(snapshot.list_age_ms);
    relay
        .list_position
        .borrow_mut()
        .record_snapshot(as_of_ms, next);
}

/// Time since boot as of which state of this age was current; 0, the oldest, if the age is unknown.
fn as_of_ms(age_ms: Option<u64>) -> u64 {
    age_ms.map_or(0, |age_ms| since_boot_ms().saturating_sub(age_ms))
}
