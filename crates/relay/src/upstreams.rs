//! The list of upstreams as this instance knows it.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

use serde::{Deserialize, Serialize};
use tick::Clock;
pub use view::ListChange;

use crate::upstream::{Upstream, UpstreamEntry, UpstreamKey};

/// Time after the last failed read of the list for which an entry that goes is taken to have
/// lapsed with the list's store, in ms.
///
/// Entries expire while the store is away, though their upstreams live, and are back about 2 s
/// after its return. Dropping them at once would leave no upstream at all for that time.
/// Upstreams that are really gone refuse the connection or the incarnation. The time counts from
/// the failure and not from when the entry was seen to go: one that goes well after the store's
/// return has left, and may get new work for a short time only.
const LAPSE_MS: u64 = 2_600;

/// Incarnations that are remembered after they left.
const REMEMBERED: usize = 512;

/// What came of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// A new incarnation.
    Joined,
    /// It changed its standing or stage.
    Changed,
    /// It is no longer used.
    Left,
    /// It is used on for a short time, since its entry may have lapsed with the store.
    Unconfirmed,
    /// Nothing new.
    Unchanged,
}

/// An entry that went, and whose upstream is used on since it may have lapsed with the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unconfirmed {
    /// The upstream's id.
    pub id: String,
    /// Time for which it is used on, in ms.
    pub left_ms: u64,
}

/// How far apart two places are, in ms one way.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Distances {
    /// Within an availability zone.
    pub in_zone_ms: f64,
    /// Between two.
    pub across_ms: f64,
}

impl Default for Distances {
    fn default() -> Self {
        Self {
            in_zone_ms: 0.2,
            across_ms: 1.4,
        }
    }
}

/// An incarnation that left, by the last entry of it that was taken over.
#[derive(Debug, Clone)]
struct Left {
    id: String,
    born_ms: u64,
    seq: u64,
}

/// All upstreams.
#[derive(Default)]
pub struct Upstreams {
    clock: Clock,
    zone: String,
    distances: Distances,
    by_id: HashMap<String, Rc<Upstream>>,
    by_key: HashMap<UpstreamKey, Rc<Upstream>>,
    by_service: HashMap<String, Vec<Rc<Upstream>>>,
    unconfirmed: HashMap<String, u64>,
    left: VecDeque<Left>,
    unreachable_until_ms: u64,
}

impl Upstreams {
    /// An empty list, seen from an availability zone.
    pub fn new(zone: &str, clock: Clock) -> Self {
        Self {
            clock,
            zone: zone.to_owned(),
            ..Self::default()
        }
    }

    /// The list's store did not answer at `now_ms`.
    pub fn store_unreachable(&mut self, now_ms: u64) {
        self.unreachable_until_ms = now_ms + LAPSE_MS;
    }

    /// Takes in a change.
    pub fn apply(&mut self, now_ms: u64, change: ListChange) -> Effect {
        match change {
            ListChange::Put(entry) => self.put(&entry),
            ListChange::Gone(id) => self.gone(now_ms, &id, self.unreachable_until_ms),
        }
    }

    /// Takes in the whole list: what is not in it is gone.
    pub fn replace(&mut self, now_ms: u64, entries: Vec<UpstreamEntry>) -> Vec<(String, Effect)> {
        let ids: Vec<String> = entries.iter().map(|entry| entry.id.clone()).collect();
        let missing: Vec<String> = self
            .by_id
            .keys()
            .filter(|id| !ids.contains(id))
            .cloned()
            .collect();
        let mut effects = Vec::new();
        for entry in entries {
            let id = entry.id.clone();
            effects.push((id, self.put(&entry)));
        }
        for id in missing {
            let effect = self.gone(now_ms, &id, self.unreachable_until_ms);
            effects.push((id, effect));
        }
        effects
    }

    /// Drops what lapsed and did not come back; gives what was dropped.
    pub fn remove_lapsed(&mut self, now_ms: u64) -> Vec<String> {
        let over = |until_ms: &u64| *until_ms <= now_ms;
        let lapsed: Vec<String> = self
            .unconfirmed
            .iter()
            .filter(|(_, until_ms)| over(until_ms))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &lapsed {
            self.remove(id);
        }
        lapsed
    }

    /// The upstreams of a service that get new work.
    ///
    /// One whose entry lapsed is left out in time even if nobody has settled it.
    pub fn ready<'a>(
        &'a self,
        service: &str,
        now_ms: u64,
    ) -> impl Iterator<Item = &'a Rc<Upstream>> {
        let all = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        all.iter().filter(move |each| {
            let until_ms = self.unconfirmed.get(&each.id);
            each.is_ready() && until_ms.is_none_or(|&until_ms| now_ms < until_ms)
        })
    }

    /// An incarnation that turned out to be gone, before the list says so.
    pub fn remove_replaced(&mut self, id: &str) {
        self.remove(id);
    }

    /// An incarnation.
    pub fn get(&self, id: &str) -> Option<&Rc<Upstream>> {
        self.by_id.get(id)
    }

    /// The incarnation of an id that left last, by its short name.
    pub fn last_removed(&self, id: &str) -> Option<UpstreamKey> {
        let left = self.left.iter().rev().find(|left| left.id == id)?;
        Some(UpstreamKey::of(&left.id, left.born_ms))
    }

    /// An incarnation by its short name.
    pub fn get_by_key(&self, key: UpstreamKey) -> Option<&Rc<Upstream>> {
        self.by_key.get(&key)
    }

    /// Time for which the list's store may still have lost entries of upstreams that live, in ms.
    pub fn may_have_lapsed_ms(&self, now_ms: u64) -> u64 {
        self.unreachable_until_ms.saturating_sub(now_ms)
    }

    /// Takes in a change that another instance read, which doubts for `doubt_ms` that an entry which goes
    /// has left.
    ///
    /// An entry lapses with the store only when nobody reaches it, and then both doubt. If only this
    /// instance was turned away, the other knows that the upstream has left; if only the other was, this
    /// one knows that nothing can have lapsed. Either doubt alone kept leaving upstreams in use.
    pub fn apply_from_peer(&mut self, now_ms: u64, change: ListChange, doubt_ms: u64) -> Effect {
        match change {
            ListChange::Put(entry) => self.put(&entry),
            ListChange::Gone(id) => {
                let until_ms = self.unreachable_until_ms.min(now_ms + doubt_ms);
                self.gone(now_ms, &id, until_ms)
            }
        }
    }

    /// The entries that are in use, those that are doubted included.
    pub fn entries(&self, now_ms: u64) -> Vec<UpstreamEntry> {
        let has_lapsed = |id: &str| {
            self.unconfirmed
                .get(id)
                .is_some_and(|&until| until <= now_ms)
        };
        let used = self.by_id.values().filter(|each| !has_lapsed(&each.id));
        used.map(|each| each.entry()).collect()
    }

    /// The entries that went and may have lapsed with the store.
    pub fn unconfirmed_entries(&self, now_ms: u64) -> Vec<Unconfirmed> {
        let doubted = self
            .unconfirmed
            .iter()
            .filter(|(_, until_ms)| **until_ms > now_ms);
        doubted
            .map(|(id, until_ms)| Unconfirmed {
                id: id.clone(),
                left_ms: until_ms - now_ms,
            })
            .collect()
    }

    /// Takes over what another instance doubts of the list that it told.
    pub fn mark_unconfirmed(&mut self, now_ms: u64, doubts: &[Unconfirmed]) {
        for doubt in doubts {
            self.gone(now_ms, &doubt.id, now_ms + doubt.left_ms);
        }
    }

    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Upstream>> {
        self.by_id.values()
    }

    /// Number of upstreams.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    fn put(&mut self, entry: &UpstreamEntry) -> Effect {
        // An entry that was written before the incarnation left may come after it.
        let is_old = |left: &Left| {
            left.id == entry.id && (entry.started_ms, entry.seq) <= (left.born_ms, left.seq)
        };
        if self.left.iter().any(is_old) {
            return Effect::Unchanged;
        }
        self.unconfirmed.remove(&entry.id);
        if let Some(known) = self.by_id.get(&entry.id) {
            if entry.started_ms < known.born_ms {
                return Effect::Unchanged;
            }
            // One that started again under its id counts anew and holds nothing of before. Taken for
            // the same, its entries would seem old for as long as the first one had lived.
            let is_same = entry.started_ms == known.born_ms
                && known.address == entry.address
                && known.service == entry.service;
            if is_same {
                return if known.update(entry) {
                    Effect::Changed
                } else {
                    Effect::Unchanged
                };
            }
            self.remove(&entry.id);
        }
        let distance_ms = if entry.zone == self.zone {
            self.distances.in_zone_ms
        } else {
            self.distances.across_ms
        };
        let upstream = Rc::new(Upstream::new(entry, distance_ms, self.clock));
        self.by_id.insert(entry.id.clone(), Rc::clone(&upstream));
        self.by_key.insert(upstream.key, Rc::clone(&upstream));
        self.by_service
            .entry(entry.service.clone())
            .or_default()
            .push(upstream);
        Effect::Joined
    }

    fn gone(&mut self, now_ms: u64, id: &str, until_ms: u64) -> Effect {
        let Some(known) = self.by_id.get(id) else {
            return Effect::Unchanged;
        };
        if now_ms < until_ms && known.is_ready() {
            self.unconfirmed.entry(id.to_owned()).or_insert(until_ms);
            return Effect::Unconfirmed;
        }
        self.remove(id);
        Effect::Left
    }

    fn remove(&mut self, id: &str) {
        self.unconfirmed.remove(id);
        let Some(known) = self.by_id.remove(id) else {
            return;
        };
        self.by_key.remove(&known.key);
        if let Some(all) = self.by_service.get_mut(&known.service) {
            all.retain(|each| each.id != id);
        }
        self.left.push_back(Left {
            id: id.to_owned(),
            born_ms: known.born_ms,
            seq: known.seq(),
        });
        if self.left.len() > REMEMBERED {
            self.left.pop_front();
        }
        known.leave();
    }
}
