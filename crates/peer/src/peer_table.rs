//! Table of the other instances, used to pick heartbeat targets and instances for callers.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use fnv::FnvHasher;
use rand::Rng;
use rand::seq::IteratorRandom;
use wire::{Condition, Heartbeat};

/// A fleet is small if it has at most this many instances per heartbeat target.
const SMALL_FLEET_FACTOR: usize = 4;

/// Settings of heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Time without a heartbeat after which an instance is no longer named to callers.
    pub suspect_ms: u64,
    /// Number of instances that each heartbeat is sent to.
    pub fan_out: usize,
}

/// Information about another instance.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerInfo {
    /// Name of the instance.
    pub instance: String,
    /// Address for remote calls; empty if it has not been listed yet.
    pub peer_address: String,
    /// Availability zone.
    pub zone: String,
    /// Time and content of the last heartbeat received directly from it.
    pub last_heartbeat: Option<(u64, Heartbeat)>,
    /// Whether the platform lists it as leaving.
    pub leaving: bool,
}

/// All other instances.
///
/// The platform's list provides candidates and their addresses. Only a heartbeat received directly
/// from an instance makes it eligible to be named to callers, so an outdated list cannot keep a
/// failed instance eligible for longer than `suspect_ms`.
#[derive(Debug, Clone)]
pub struct PeerTable {
    settings: MembershipSettings,
    peers: BTreeMap<String, PeerInfo>,
    paused_until_ms: u64,
}

impl PeerTable {
    /// Creates an empty table.
    pub fn new(settings: MembershipSettings) -> Self {
        Self {
            settings,
            peers: BTreeMap::new(),
            paused_until_ms: 0,
        }
    }

    /// Applies the platform's list of other instances.
    pub fn apply_list(&mut self, now_ms: u64, list: impl Iterator<Item = PeerInfo>) {
        let mut listed = BTreeMap::new();
        for mut peer in list {
            if let Some(previous) = self.peers.remove(&peer.instance) {
                peer.last_heartbeat = previous.last_heartbeat;
            }
            listed.insert(peer.instance.clone(), peer);
        }
        // A new instance may be missing from an outdated list: one with a recent heartbeat stays.
        let suspect_ms = self.settings.suspect_ms;
        let is_recent = |peer: &PeerInfo| {
            peer.last_heartbeat
                .as_ref()
                .is_some_and(|heartbeat| heartbeat.0 + suspect_ms > now_ms)
        };
        for (name, peer) in std::mem::take(&mut self.peers) {
            if is_recent(&peer) {
                listed.insert(name, peer);
            }
        }
        self.peers = listed;
    }

    /// Records a heartbeat that was received directly from its sender.
    pub fn record_heartbeat(&mut self, now_ms: u64, heartbeat: Heartbeat) {
        let peer = self
            .peers
            .entry(heartbeat.instance.clone())
            .or_insert(PeerInfo {
                instance: heartbeat.instance.clone(),
                peer_address: String::new(),
                zone: heartbeat.zone.clone(),
                last_heartbeat: None,
                leaving: false,
            });
        peer.last_heartbeat = Some((now_ms, heartbeat));
    }

    /// Records that a call to an instance failed: it is not named to callers until its next
    /// heartbeat.
    pub fn record_failure(&mut self, instance: &str) {
        if let Some(peer) = self.peers.get_mut(instance) {
            peer.last_heartbeat = None;
        }
    }

    /// Records that this process was paused until `now_ms`, which invalidates all earlier
    /// heartbeats.
    ///
    /// Otherwise a resumed instance would name failed instances to callers: heartbeats look recent
    /// on a clock that stopped during the pause, or are read late from a full socket buffer.
    pub fn record_pause(&mut self, now_ms: u64) {
        self.paused_until_ms = now_ms;
    }

    fn is_fresh(&self, now_ms: u64, peer: &PeerInfo) -> bool {
        let heartbeat = peer.last_heartbeat.as_ref();
        heartbeat.is_some_and(|heartbeat| {
            heartbeat.0 >= self.paused_until_ms && heartbeat.0 + self.settings.suspect_ms > now_ms
        })
    }

    /// Instances that are live and ready, those of the given availability zone first.
    pub fn ready(&self, now_ms: u64, zone: &str) -> Vec<&Heartbeat> {
        let mut ready: Vec<&Heartbeat> = self
            .peers
            .values()
            .filter(|peer| !peer.leaving && self.is_fresh(now_ms, peer))
            .filter_map(|peer| peer.last_heartbeat.as_ref().map(|heartbeat| &heartbeat.1))
            .filter(|heartbeat| heartbeat.condition == Condition::Ready)
            .collect();
        ready.sort_by_key(|heartbeat| (heartbeat.zone != zone, heartbeat.instance.clone()));
        ready
    }

    /// Instances with a recent heartbeat, in any condition.
    pub fn live(&self, now_ms: u64) -> impl Iterator<Item = &Heartbeat> {
        let fresh = self
            .peers
            .values()
            .filter(move |peer| self.is_fresh(now_ms, peer));
        fresh.filter_map(|peer| peer.last_heartbeat.as_ref().map(|heartbeat| &heartbeat.1))
    }

    /// Address of an incarnation of an instance, if a heartbeat of it was received.
    ///
    /// The heartbeat need not be recent: an instance that is not named to callers may still be
    /// called, and `record_failure` clears its heartbeat if the call fails.
    pub fn address(&self, instance: &str, incarnation: u64) -> Option<&str> {
        let peer = self.peers.get(instance)?;
        let heartbeat = peer.last_heartbeat.as_ref();
        let same = heartbeat.is_some_and(|heartbeat| heartbeat.1.incarnation == incarnation);
        let reachable = same && !peer.peer_address.is_empty();
        reachable.then_some(peer.peer_address.as_str())
    }

    /// Addresses that get the next heartbeat: a fixed number at random, so that the cost does not
    /// grow with the fleet.
    ///
    /// In a large fleet all but one are in the own availability zone, which shares callers and
    /// engines; the other one keeps zones informed about each other. In a small fleet the targets
    /// are chosen from all zones, as instances of other zones would otherwise miss heartbeats for
    /// longer than `suspect_ms`.
    pub fn heartbeat_targets(&self, zone: &str, rng: &mut impl Rng) -> Vec<String> {
        let reachable = self
            .peers
            .values()
            .filter(|peer| !peer.peer_address.is_empty());
        let fan_out = self.settings.fan_out;
        let chosen = if self.peers.len() <= SMALL_FLEET_FACTOR * fan_out {
            reachable.choose_multiple(rng, fan_out)
        } else {
            let (near, far): (Vec<&PeerInfo>, Vec<&PeerInfo>) =
                reachable.partition(|peer| peer.zone == zone);
            let near_count = (fan_out - 1).min(near.len());
            let mut chosen = near.into_iter().choose_multiple(rng, near_count);
            chosen.extend(far.into_iter().choose_multiple(rng, fan_out - near_count));
            chosen
        };
        chosen
            .into_iter()
            .map(|peer| peer.peer_address.clone())
            .collect()
    }

    /// Rank of this instance among the live ones for `subject`, starting at 0.
    pub fn rank(&self, now_ms: u64, me: &str, subject: &str) -> u64 {
        let own_hash = rendezvous_hash(me, subject);
        let lower = self
            .live(now_ms)
            .filter(|heartbeat| rendezvous_hash(&heartbeat.instance, subject) < own_hash);
        lower.count() as u64
    }

    /// All other instances, whether live or not.
    pub fn all(&self) -> impl Iterator<Item = &PeerInfo> {
        self.peers.values()
    }
}

/// Rendezvous hash, which orders the instances differently for each subject.
fn rendezvous_hash(instance: &str, subject: &str) -> (u64, String) {
    // FNV is stable across processes and versions, unlike the default hasher of `std`.
    let mut hasher = FnvHasher::default();
    (instance, subject).hash(&mut hasher);
    (hasher.finish(), instance.to_owned())
}
