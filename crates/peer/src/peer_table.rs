//! Which instances there are, and which to name to callers.

use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use fnv::FnvHasher;
use rand::Rng;
use rand::seq::IteratorRandom;
use wire::{Condition, Heartbeat};

/// Instances for each target of a heartbeat up to which a fleet counts as small.
const SMALL_FLEET: usize = 4;

/// Times of the membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Silence after which an instance is not handed out.
    pub suspect_ms: u64,
    /// Instances that one heartbeat goes to.
    pub fan_out: usize,
}

/// What is known of another instance.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerInfo {
    /// Name.
    pub instance: String,
    /// Where other instances reach it.
    pub peer_address: String,
    /// Availability zone.
    pub zone: String,
    /// The last heartbeat from it, and when it was heard.
    pub last_heartbeat: Option<(u64, Heartbeat)>,
    /// The platform lists it as leaving.
    pub leaving: bool,
}

/// All other instances.
///
/// The list says who there may be and where; only a heartbeat, heard directly, makes an instance
/// fit to be handed out. A list that lags thus cannot hand out one that is gone for longer than
/// `suspect_ms`.
#[derive(Debug, Clone)]
pub struct PeerTable {
    settings: MembershipSettings,
    known: BTreeMap<String, PeerInfo>,
    resumed_ms: u64,
}

impl PeerTable {
    /// No other instance is known.
    pub fn new(settings: MembershipSettings) -> Self {
        Self {
            settings,
            known: BTreeMap::new(),
            resumed_ms: 0,
        }
    }

    /// Takes in the platform's list of other instances.
    pub fn apply_list(&mut self, now_ms: u64, list: impl Iterator<Item = PeerInfo>) {
        let mut listed = BTreeMap::new();
        for mut known in list {
            if let Some(before) = self.known.remove(&known.instance) {
                known.last_heartbeat = before.last_heartbeat;
            }
            listed.insert(known.instance.clone(), known);
        }
        // A list may lag behind an instance that is new: one that is heard stays.
        let suspect_ms = self.settings.suspect_ms;
        let heard = |known: &PeerInfo| {
            known
                .last_heartbeat
                .as_ref()
                .is_some_and(|heard| heard.0 + suspect_ms > now_ms)
        };
        for (name, known) in std::mem::take(&mut self.known) {
            if heard(&known) {
                listed.insert(name, known);
            }
        }
        self.known = listed;
    }

    /// Takes in a heartbeat that came directly from its sender.
    pub fn record_heartbeat(&mut self, now_ms: u64, beat: Heartbeat) {
        let known = self.known.entry(beat.instance.clone()).or_insert(PeerInfo {
            instance: beat.instance.clone(),
            peer_address: String::new(),
            zone: beat.zone.clone(),
            last_heartbeat: None,
            leaving: false,
        });
        known.last_heartbeat = Some((now_ms, beat));
    }

    /// A message to an instance failed: it is not handed out until it is heard again.
    pub fn record_failure(&mut self, instance: &str) {
        if let Some(known) = self.known.get_mut(instance) {
            known.last_heartbeat = None;
        }
    }

    /// This process was paused until `now_ms`: what it last heard says nothing of now.
    ///
    /// Without this an instance that wakes up would hand out others by heartbeats that look
    /// fresh on a clock that did not run, or that it reads from a full socket buffer.
    pub fn record_pause(&mut self, now_ms: u64) {
        self.resumed_ms = now_ms;
    }

    fn is_fresh(&self, now_ms: u64, known: &PeerInfo) -> bool {
        let heard = known.last_heartbeat.as_ref();
        heard.is_some_and(|heard| {
            heard.0 >= self.resumed_ms && heard.0 + self.settings.suspect_ms > now_ms
        })
    }

    /// Instances that are heard and serve, the given availability zone's first.
    pub fn ready(&self, now_ms: u64, zone: &str) -> Vec<&Heartbeat> {
        let mut ready: Vec<&Heartbeat> = self
            .known
            .values()
            .filter(|known| !known.leaving && self.is_fresh(now_ms, known))
            .filter_map(|known| known.last_heartbeat.as_ref().map(|heard| &heard.1))
            .filter(|beat| beat.condition == Condition::Ready)
            .collect();
        ready.sort_by_key(|beat| (beat.zone != zone, beat.instance.clone()));
        ready
    }

    /// Instances that are heard in any condition.
    pub fn live(&self, now_ms: u64) -> impl Iterator<Item = &Heartbeat> {
        let fresh = self
            .known
            .values()
            .filter(move |known| self.is_fresh(now_ms, known));
        fresh.filter_map(|known| known.last_heartbeat.as_ref().map(|heard| &heard.1))
    }

    /// Where an instance in a given life is reached, if it was heard at all.
    ///
    /// A silence that keeps it from being handed out is no reason not to ask it: the answer to a
    /// message decides, and `record_failure` takes it back.
    pub fn address(&self, instance: &str, incarnation: u64) -> Option<&str> {
        let known = self.known.get(instance)?;
        let heard = known.last_heartbeat.as_ref();
        let same = heard.is_some_and(|heard| heard.1.incarnation == incarnation);
        let reachable = same && !known.peer_address.is_empty();
        reachable.then_some(known.peer_address.as_str())
    }

    /// Who gets the next heartbeat: a few at random, so that the cost stays the same at any size.
    ///
    /// In a large fleet all but one are of the own availability zone, whose callers and engines
    /// are shared; the one beyond it keeps the zones known to each other. In a small one that
    /// would leave instances of other zones silent for longer than `suspect_ms`.
    pub fn heartbeat_targets(&self, zone: &str, rng: &mut impl Rng) -> Vec<String> {
        let reachable = self
            .known
            .values()
            .filter(|known| !known.peer_address.is_empty());
        let fan_out = self.settings.fan_out;
        let chosen = if self.known.len() <= SMALL_FLEET * fan_out {
            reachable.choose_multiple(rng, fan_out)
        } else {
            let (near, far): (Vec<&PeerInfo>, Vec<&PeerInfo>) =
                reachable.partition(|known| known.zone == zone);
            let near_count = (fan_out - 1).min(near.len());
            let mut chosen = near.into_iter().choose_multiple(rng, near_count);
            chosen.extend(far.into_iter().choose_multiple(rng, fan_out - near_count));
            chosen
        };
        chosen
            .into_iter()
            .map(|known| known.peer_address.clone())
            .collect()
    }

    /// Place of an instance among those that are live, for taking turns over `subject`.
    pub fn rank(&self, now_ms: u64, me: &str, subject: &str) -> u64 {
        let mine = turn(me, subject);
        let before = self
            .live(now_ms)
            .filter(|beat| turn(&beat.instance, subject) < mine);
        before.count() as u64
    }

    /// All that is known, for operators.
    pub fn all(&self) -> impl Iterator<Item = &PeerInfo> {
        self.known.values()
    }
}

/// Rendezvous hash: each subject gets its own order of instances.
fn turn(instance: &str, subject: &str) -> (u64, String) {
    // FNV is stable across processes and versions, unlike the hasher of the standard library.
    let mut hasher = FnvHasher::default();
    (instance, subject).hash(&mut hasher);
    (hasher.finish(), instance.to_owned())
}
