//! The instances of the fleet: which exist, and which are alive.
//!
//! Each instance writes a small heartbeat record to the store when it starts or its state changes,
//! and rarely otherwise. By this record its peers learn that it exists and where. Whether it is
//! alive shows in gossip, within two seconds at any fleet size. See docs/design/views.md.

use std::collections::HashMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::InstanceKey;

/// How long an instance may be missing from gossip, while gossip arrives, before it counts as
/// silent, in ms: two lists of live instances, or two datagrams of an idle instance, and one lost
/// datagram.
const SILENT_MS: u64 = 800;

/// Time without any gossip after which this instance itself counts as cut off, in ms. It has
/// switched to another hub by then.
const ISOLATED_MS: u64 = 1_200;

/// How long gossip may name an instance that is unknown here before a peer is asked, in ms. The
/// record of a new instance is gossiped for as long.
const UNKNOWN_MEMBER_MS: u64 = 1_000;

/// Heartbeat interval of an instance in a small fleet, in ms. Gossip shows earlier that an instance
/// has fallen silent, and an instance that comes or leaves writes at once.
const HEARTBEAT_INTERVAL_MS: u64 = 10_000;

/// Fleet size up to which each instance writes at that interval. Larger fleets write as many
/// records a second altogether.
const FULL_RATE_INSTANCES: u64 = 8;

/// Heartbeats that may be missed before an instance no longer counts as ready.
const MAX_MISSED_HEARTBEATS: u64 = 3;

/// Heartbeats that may be missed before an instance is forgotten.
const FORGET_AFTER_HEARTBEATS: u64 = 10 * MAX_MISSED_HEARTBEATS;

/// An instance's heartbeat record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the instance.
    pub name: String,
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for gossip datagrams.
    #[serde(default)]
    #[serde(rename = "peer")]
    pub gossip_address: Option<SocketAddr>,
    /// Availability zone.
    pub zone: String,
    /// Whether it accepts callers.
    pub ready: bool,
    /// Grows with each heartbeat of the instance, also across restarts.
    #[serde(rename = "beat")]
    pub heartbeat_seq: u64,
    /// Speed of its link, in Mbit/s.
    #[serde(default)]
    pub link_mbps: u32,
}

#[derive(Debug, Clone)]
struct Known {
    member: Member,
    /// When its heartbeat record was read.
    record_ms: u64,
    /// When gossip last reported it as alive.
    alive_ms: Option<u64>,
}

/// All instances that this one knows of.
#[derive(Debug, Clone, Default)]
pub struct Members {
    known: HashMap<InstanceKey, Known>,
    store_read_ms: u64,
    last_gossip_ms: Option<u64>,
    unknown_since_ms: Option<u64>,
    version: u64,
}

impl Members {
    /// Records that the store was read at `now_ms`, whether or not there were new records.
    pub fn record_store_read(&mut self, now_ms: u64) {
        self.store_read_ms = now_ms;
    }

    /// Processes a heartbeat record. One that is older than the known one changes nothing, since
    /// records and gossip may arrive in any order.
    pub fn record_heartbeat(&mut self, now_ms: u64, member: Member) {
        let key = InstanceKey::of(&member.name);
        let known = self.known.get(&key);
        if known.is_some_and(|known| known.member.heartbeat_seq > member.heartbeat_seq) {
            return;
        }
        let alive_ms = known.and_then(|known| known.alive_ms);
        self.unknown_since_ms = None;
        self.version += 1;
        let known = Known {
            member,
            record_ms: now_ms,
            alive_ms,
        };
        self.known.insert(key, known);
    }

    /// Processes a heartbeat record from a peer. Returns whether it is new here.
    ///
    /// Only a later heartbeat counts as new. If any difference did, two versions on their way
    /// through the fleet would replace each other for ever.
    pub fn receive_heartbeat(&mut self, now_ms: u64, member: &Member) -> bool {
        let is_new = self
            .heartbeat_seq(&member.name)
            .is_none_or(|heartbeat_seq| heartbeat_seq < member.heartbeat_seq);
        if is_new {
            self.record_heartbeat(now_ms, member.clone());
        }
        is_new
    }

    /// Grows with each heartbeat record that is stored.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The latest heartbeat of an instance; `None` if it is unknown.
    pub fn heartbeat_seq(&self, name: &str) -> Option<u64> {
        let known = self.known.get(&InstanceKey::of(name))?;
        Some(known.member.heartbeat_seq)
    }

    /// Records that an instance is alive, by its own gossip or that of a hub.
    pub fn record_alive(&mut self, now_ms: u64, key: InstanceKey) {
        self.last_gossip_ms = Some(now_ms);
        self.mark_alive(now_ms, key);
    }

    /// Records that this instance itself is alive, which does not show that it receives gossip from
    /// peers.
    pub fn record_self_alive(&mut self, now_ms: u64, key: InstanceKey) {
        self.mark_alive(now_ms, key);
    }

    fn mark_alive(&mut self, now_ms: u64, key: InstanceKey) {
        match self.known.get_mut(&key) {
            Some(known) => known.alive_ms = Some(now_ms),
            None => {
                self.unknown_since_ms.get_or_insert(now_ms);
            }
        }
    }

    /// Whether gossip has named an unknown instance for a while. Returns true once and then
    /// restarts the wait.
    pub fn take_unknown_member(&mut self, now_ms: u64) -> bool {
        let is_missing = self
            .unknown_since_ms
            .is_some_and(|at_ms| now_ms >= at_ms + UNKNOWN_MEMBER_MS);
        if is_missing {
            self.unknown_since_ms = None;
        }
        is_missing
    }

    /// Whether this instance receives gossip and knows all instances that it names.
    pub fn is_complete(&self, now_ms: u64) -> bool {
        !self.is_isolated(now_ms) && self.unknown_since_ms.is_none()
    }

    /// Heartbeat interval of each instance, in ms. It grows with the fleet, so that all instances
    /// together write a constant number of records a second.
    pub fn heartbeat_interval_ms(&self) -> u64 {
        HEARTBEAT_INTERVAL_MS * (self.known.len() as u64).max(FULL_RATE_INSTANCES)
            / FULL_RATE_INSTANCES
    }

    /// Whether this instance has received no gossip for so long that it itself counts as cut off.
    pub fn is_isolated(&self, now_ms: u64) -> bool {
        self.last_gossip_ms
            .is_none_or(|at_ms| at_ms + ISOLATED_MS < now_ms)
    }

    /// Instances that callers may be sent to: ready, and not silent.
    ///
    /// A killed or frozen instance stops gossiping at once, while its heartbeat records are missed
    /// only much later; callers sent there in between would lose a second each. Silence is counted
    /// up to the last gossip from any peer, so an instance that is cut off drops no peer for it.
    pub fn reachable(&self) -> impl Iterator<Item = &Member> {
        self.reachable_entries().map(|known| &known.member)
    }

    fn reachable_entries(&self) -> impl Iterator<Item = &Known> {
        let last_gossip_ms = self.last_gossip_ms.unwrap_or_default();
        self.ready_entries()
            .filter(move |known| !known.is_silent(last_gossip_ms))
    }

    /// Time since the reachable instance that has been silent the longest was last reported alive,
    /// in ms.
    pub fn load_age_ms(&self, now_ms: u64) -> Option<u64> {
        let alive_ms = self.reachable_entries().filter_map(|known| known.alive_ms);
        alive_ms.min().map(|at_ms| now_ms.saturating_sub(at_ms))
    }

    /// All known ready instances, to answer a peer that asks for them.
    pub fn snapshot(&self) -> Vec<Member> {
        self.ready().cloned().collect()
    }

    /// Instances that accept callers according to their record, whether or not they still gossip.
    ///
    /// Their age is counted up to the last read of the store. While the store cannot be read, no
    /// instance expires, since missing records then show nothing about the instances.
    pub fn ready(&self) -> impl Iterator<Item = &Member> {
        self.ready_entries().map(|known| &known.member)
    }

    fn ready_entries(&self) -> impl Iterator<Item = &Known> {
        let oldest_ms = self
            .store_read_ms
            .saturating_sub(self.heartbeat_interval_ms() * MAX_MISSED_HEARTBEATS);
        let is_fresh = move |known: &&Known| {
            let last_ms = known.alive_ms.unwrap_or_default().max(known.record_ms);
            last_ms >= oldest_ms && known.member.ready
        };
        self.known.values().filter(is_fresh)
    }

    /// Whether any instance is known, this one included.
    pub fn has_members(&self) -> bool {
        !self.known.is_empty()
    }

    /// Number of reachable instances, at least 1.
    pub fn reachable_count(&self) -> usize {
        self.reachable().count().max(1)
    }

    /// Number of instances that share a limit which the fleet must never exceed, at least 1.
    ///
    /// All remembered instances have a share, silent or not: one that is cut off from its peers may
    /// still reach callers and upstreams, and one that was just killed has already used its share.
    pub fn share_count(&self) -> usize {
        self.known.len().max(1)
    }

    /// Forgets instances that have been silent for a long time.
    pub fn forget_silent(&mut self) {
        let oldest_ms = self
            .store_read_ms
            .saturating_sub(self.heartbeat_interval_ms() * FORGET_AFTER_HEARTBEATS);
        self.known.retain(|_, known| {
            known.record_ms.max(known.alive_ms.unwrap_or_default()) >= oldest_ms
        });
    }
}

impl Known {
    /// Whether it was last known to be alive too long before `last_gossip_ms`. Its record counts
    /// too, so that a new instance is not silent before gossip names it.
    fn is_silent(&self, last_gossip_ms: u64) -> bool {
        let last_ms = self.alive_ms.unwrap_or_default().max(self.record_ms);
        last_ms + SILENT_MS < last_gossip_ms
    }
}
