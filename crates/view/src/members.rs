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

/// Time for which the store may show no renewed record of any peer before all are taken for gone, in ms: those first in
/// rank renew theirs every [`SIGN_INTERVAL_MS`](crate::heartbeats::SIGN_INTERVAL_MS).
const NO_SIGN_MS: u64 = 1_600;

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
    /// When a record with a later heartbeat than before was read.
    renewed_ms: u64,
    /// When gossip last reported it as alive.
    alive_ms: Option<u64>,
}

/// What the store shows of the peers while no gossip arrives, or has never arrived since the start.
///
/// Silence alone does not tell peers that are gone from those that this instance is cut off from. Of the latter, the first
/// in rank go on renewing their records.
#[derive(Debug, Clone, Copy, Default)]
struct StoreEvidence {
    /// When the first read ended that began without gossip; what it brings may be from before the silence.
    since_ms: Option<u64>,
    /// When a later read last brought a renewed record of a peer.
    renewed_ms: Option<u64>,
    /// When the read began that showed all peers to be gone.
    gone_ms: Option<u64>,
}

/// All instances that this one knows of.
#[derive(Debug, Clone, Default)]
pub struct Members {
    known: HashMap<InstanceKey, Known>,
    own: Option<InstanceKey>,
    read_began_ms: u64,
    store_read_ms: u64,
    evidence: StoreEvidence,
    last_gossip_ms: Option<u64>,
    unknown_since_ms: Option<u64>,
    version: u64,
}

impl Members {
    /// Records that a read of the store begins.
    pub fn begin_store_read(&mut self, now_ms: u64) {
        self.read_began_ms = now_ms;
    }

    /// Records that the store was read at `now_ms`, whether or not there were new records; to be called after these were
    /// recorded. Returns whether this read showed that all peers are gone.
    pub fn record_store_read(&mut self, now_ms: u64) -> bool {
        self.store_read_ms = now_ms;
        let began_ms = self.read_began_ms;
        if !self.is_isolated(began_ms) {
            return false;
        }
        let evidence = &mut self.evidence;
        let Some(since_ms) = evidence.since_ms else {
            evidence.since_ms = Some(now_ms);
            return false;
        };
        let sign_ms = evidence.renewed_ms.unwrap_or(since_ms);
        let are_gone = evidence.gone_ms.is_none() && began_ms >= sign_ms + NO_SIGN_MS;
        if are_gone {
            evidence.gone_ms = Some(began_ms);
        }
        are_gone
    }

    /// Whether no gossip arrives and the store has not shown yet whether the peers are gone.
    pub fn is_judging_silence(&self, now_ms: u64) -> bool {
        let evidence = &self.evidence;
        let is_open = evidence.gone_ms.is_none() && evidence.renewed_ms.is_none();
        self.is_isolated(now_ms) && is_open
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
        let unchanged = known.filter(|known| known.member.heartbeat_seq == member.heartbeat_seq);
        let renewed_ms = unchanged.map_or(now_ms, |known| known.renewed_ms);
        if unchanged.is_none() && self.own != Some(key) && self.evidence.since_ms.is_some() {
            self.evidence.renewed_ms = Some(now_ms);
        }
        self.unknown_since_ms = None;
        self.version += 1;
        let known = Known {
            member,
            record_ms: now_ms,
            renewed_ms,
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
        self.evidence = StoreEvidence::default();
        self.mark_alive(now_ms, key);
    }

    /// Records that this instance itself is alive, which does not show that it receives gossip from
    /// peers.
    pub fn record_self_alive(&mut self, now_ms: u64, key: InstanceKey) {
        self.own = Some(key);
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
    /// up to the last gossip from any peer, so an instance that is cut off drops no peer for it. Where the store shows that
    /// all peers are gone, only those that have renewed their records since are reachable.
    pub fn reachable(&self) -> impl Iterator<Item = &Member> {
        self.reachable_entries().map(|known| &known.member)
    }

    fn reachable_entries(&self) -> impl Iterator<Item = &Known> {
        let last_gossip_ms = self.last_gossip_ms.unwrap_or_default();
        let gone_ms = self.evidence.gone_ms;
        self.ready_entries().filter(move |known| match gone_ms {
            Some(gone_ms) => known.shows_life_since(gone_ms),
            None => !known.is_silent(last_gossip_ms),
        })
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
    /// Whether it was alive, or renewed its record, after the other instances were found to be gone.
    fn shows_life_since(&self, gone_ms: u64) -> bool {
        self.alive_ms.unwrap_or_default().max(self.renewed_ms) + SILENT_MS >= gone_ms
    }

    /// Whether it was last known to be alive too long before `last_gossip_ms`.
    ///
    /// A record is read long after it was written, so one that is renewed says nothing about an instance that gossip has
    /// named: the last record of a dead one would count as life. It counts for an instance that gossip has not named yet,
    /// so that a new one is not silent before.
    fn is_silent(&self, last_gossip_ms: u64) -> bool {
        let last_ms = self.alive_ms.unwrap_or(self.renewed_ms);
        last_ms + SILENT_MS < last_gossip_ms
    }
}
