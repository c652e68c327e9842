//! The upstreams in use, by id, key and service.

mod removed;

use std::collections::HashMap;
use std::rc::Rc;

use plan::ServiceVersions;
use serde::{Deserialize, Serialize};
use tick::Clock;
pub use view::ListChange;
use view::{ServiceKey, VersionKey};

use crate::stream_origins::StoredVersion;
use crate::upstream::{Upstream, UpstreamEntry, UpstreamKey};
use removed::RemovedUpstreams;

/// Time after the last failed read of the list in which a removed entry counts as unconfirmed, in ms.
///
/// Entries expire while the store is unavailable, although their upstreams run, and are back about 2 s after
/// it returns. Dropping them at once would leave no upstream for that time. An upstream that has really ended
/// refuses connections, and another one at its address rejects requests for the old incarnation. The time
/// counts from the failed read and not from the removal of the entry: an entry removed well after the store's
/// return belongs to an upstream that left, which may get new requests only for a short time.
const LAPSE_MS: u64 = 2_600;

/// Effect of a change to the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// A new incarnation was added.
    Joined,
    /// The state or stage of an upstream changed.
    Changed,
    /// An upstream was removed.
    Left,
    /// An entry is gone but may have lapsed with the store; its upstream stays in use for a short time.
    Unconfirmed,
    /// The change was already known or outdated.
    Unchanged,
}

/// An entry that is gone but may have lapsed with the store, so that its upstream stays in use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unconfirmed {
    /// Id of the upstream.
    pub id: String,
    /// Time for which the upstream stays in use, in ms.
    pub left_ms: u64,
}

/// One-way network latencies, in ms.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ZoneDelays {
    /// Within an availability zone.
    pub within_zone_ms: f64,
    /// Between two zones.
    pub between_zones_ms: f64,
}

impl Default for ZoneDelays {
    fn default() -> Self {
        Self {
            within_zone_ms: 0.2,
            between_zones_ms: 1.4,
        }
    }
}

/// All upstreams in use, confirmed or not.
#[derive(Default)]
pub struct Upstreams {
    clock: Clock,
    zone: String,
    zone_delays: ZoneDelays,
    by_id: HashMap<String, Rc<Upstream>>,
    by_key: HashMap<UpstreamKey, Rc<Upstream>>,
    by_service: HashMap<String, Vec<Rc<Upstream>>>,
    /// Time until which each unconfirmed upstream stays in use.
    unconfirmed: HashMap<String, u64>,
    removed: RemovedUpstreams,
    versions: HashMap<ServiceKey, ServiceVersions<VersionKey>>,
    may_have_lapsed_until_ms: u64,
}

impl Upstreams {
    /// Creates an empty list for an instance in `zone`, from which latencies are estimated.
    pub fn new(zone: &str, clock: Clock) -> Self {
        Self {
            clock,
            zone: zone.to_owned(),
            ..Self::default()
        }
    }

    /// Records that the list could not be read at `now_ms`: entries removed soon after are unconfirmed.
    pub fn store_unreachable(&mut self, now_ms: u64) {
        self.may_have_lapsed_until_ms = now_ms + LAPSE_MS;
    }

    /// Applies a change that this instance read.
    pub fn apply(&mut self, now_ms: u64, change: ListChange) -> Effect {
        match change {
            ListChange::Put(entry) => self.put(&entry),
            ListChange::Gone(id) => self.entry_removed(now_ms, &id, self.may_have_lapsed_until_ms),
        }
    }

    /// Replaces the list: upstreams missing in `entries` are gone. Returns the effect on each id.
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
            let effect = self.entry_removed(now_ms, &id, self.may_have_lapsed_until_ms);
            effects.push((id, effect));
        }
        effects
    }

    /// Removes unconfirmed upstreams whose entries did not come back in time, and returns their ids.
    pub fn remove_lapsed(&mut self, now_ms: u64) -> Vec<String> {
        let is_over = |until_ms: &u64| *until_ms <= now_ms;
        let lapsed: Vec<String> = self
            .unconfirmed
            .iter()
            .filter(|(_, until_ms)| is_over(until_ms))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &lapsed {
            self.remove(id);
        }
        lapsed
    }

    /// The upstreams of a service that accept new requests.
    ///
    /// Leaves out unconfirmed ones whose time has expired, even before [`Upstreams::remove_lapsed`] removes
    /// them.
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

    /// The upstreams of a service, also those that accept no new requests.
    pub fn of_service<'a>(&'a self, service: &str) -> impl Iterator<Item = &'a Rc<Upstream>> {
        let all = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        all.iter()
    }

    /// Names of the services that have upstreams.
    pub fn services(&self) -> Vec<String> {
        let has_any = self.by_service.iter().filter(|(_, all)| !all.is_empty());
        has_any.map(|(service, _)| service.clone()).collect()
    }

    /// Whether a ready upstream of a service has reported its pace.
    pub fn reports_pace(&self, service: &str) -> bool {
        let mut ready = self.ready(service, self.clock.now_ms());
        ready.any(|each| each.reports_pace())
    }

    /// Takes an incarnation out of use that announced in an answer that it is leaving; false if that was known.
    ///
    /// Its entry may have been removed since the request was sent, and may even be back. Unless all of these
    /// know, a later entry that still says ready would bring it new requests.
    pub fn announce_leaving(&mut self, upstream: &Upstream) -> bool {
        let mut is_news = upstream.is_ready();
        upstream.leave();
        if let Some(listed) = self.by_key.get(&upstream.key) {
            is_news |= listed.is_ready();
            listed.leave();
        }
        is_news |= self.removed.announce_leaving(upstream);
        is_news
    }

    /// Grants an incarnation the rest that it asked for in an answer; returns whether that became longer.
    ///
    /// As a leaving, it holds although the entry may have been removed since the request was sent, or be back.
    pub fn ask_for_rest(&mut self, now_ms: u64, upstream: &Upstream, rest_ms: u64) -> bool {
        let is_longer = upstream.extend_rest(now_ms, rest_ms);
        if let Some(listed) = self.by_key.get(&upstream.key) {
            listed.extend_rest(now_ms, rest_ms);
        }
        self.removed.extend_rest(upstream, now_ms, rest_ms);
        is_longer
    }

    /// Removes an upstream whose incarnation was replaced, before the list shows it.
    pub fn remove_replaced(&mut self, id: &str) {
        self.remove(id);
    }

    /// The upstream with this id.
    pub fn get(&self, id: &str) -> Option<&Rc<Upstream>> {
        self.by_id.get(id)
    }

    /// Key of the last removed incarnation of an id, and whether it was leaving.
    pub fn last_removed(&self, id: &str) -> Option<(UpstreamKey, bool)> {
        self.removed.last(id)
    }

    /// The software versions of a service that serve or did so lately; none if it never had upstreams.
    pub fn versions(&self, service: ServiceKey) -> Option<&ServiceVersions<VersionKey>> {
        self.versions.get(&service)
    }

    /// Makes the next set of versions that is read count as the first one.
    pub fn forget_loaded_versions(&mut self) {
        for versions in self.versions.values_mut() {
            versions.reload();
        }
    }

    /// Takes over the store's whole set of versions; it names none of a service that is missing.
    pub fn load_all_versions(
        &mut self,
        now_ms: u64,
        stored: &HashMap<ServiceKey, Vec<VersionKey>>,
    ) {
        for (service, versions) in &mut self.versions {
            if !stored.contains_key(service) {
                versions.load(now_ms, &[]);
            }
        }
        self.load_versions(now_ms, stored);
    }

    /// Takes over which versions of some services the store's set names.
    pub fn load_versions(&mut self, now_ms: u64, stored: &HashMap<ServiceKey, Vec<VersionKey>>) {
        for (service, versions) in stored {
            self.versions
                .entry(*service)
                .or_default()
                .load(now_ms, versions);
        }
    }

    /// The versions in the store's set that served so long ago that no stream of theirs can be taken up.
    pub fn forgettable_versions(&self, now_ms: u64) -> Vec<StoredVersion> {
        let of_service = |(service, versions): (&ServiceKey, &ServiceVersions<VersionKey>)| {
            let service = *service;
            let forgettable = versions.forgettable(now_ms).into_iter();
            forgettable.map(move |version| StoredVersion { service, version })
        };
        self.versions.iter().flat_map(of_service).collect()
    }

    /// The upstream with this key.
    pub fn get_by_key(&self, key: UpstreamKey) -> Option<&Rc<Upstream>> {
        self.by_key.get(&key)
    }

    /// Remaining time in which a removed entry may have lapsed with the store, in ms.
    pub fn may_have_lapsed_ms(&self, now_ms: u64) -> u64 {
        self.may_have_lapsed_until_ms.saturating_sub(now_ms)
    }

    /// Applies a change that a peer read; at the peer, a removed entry may have lapsed with the store for
    /// another `may_have_lapsed_ms`.
    ///
    /// An entry lapses with the store only when no instance reaches the store, so a removed entry is
    /// unconfirmed only if both instances failed to read the list. If the store rejected only one of them,
    /// the other one knows that the upstream left; keeping it in use would send requests to a leaving
    /// upstream.
    pub fn apply_from_peer(
        &mut self,
        now_ms: u64,
        change: ListChange,
        may_have_lapsed_ms: u64,
    ) -> Effect {
        match change {
            ListChange::Put(entry) => self.put(&entry),
            ListChange::Gone(id) => {
                let until_ms = self
                    .may_have_lapsed_until_ms
                    .min(now_ms + may_have_lapsed_ms);
                self.entry_removed(now_ms, &id, until_ms)
            }
        }
    }

    /// The entries of all upstreams in use, unconfirmed ones included.
    pub fn entries(&self, now_ms: u64) -> Vec<UpstreamEntry> {
        let has_lapsed = |id: &str| {
            self.unconfirmed
                .get(id)
                .is_some_and(|&until| until <= now_ms)
        };
        let used = self.by_id.values().filter(|each| !has_lapsed(&each.id));
        used.map(|each| each.entry()).collect()
    }

    /// The entries that are gone but may have lapsed with the store.
    pub fn unconfirmed_entries(&self, now_ms: u64) -> Vec<Unconfirmed> {
        let unconfirmed = self
            .unconfirmed
            .iter()
            .filter(|(_, until_ms)| **until_ms > now_ms);
        unconfirmed
            .map(|(id, until_ms)| Unconfirmed {
                id: id.clone(),
                left_ms: until_ms - now_ms,
            })
            .collect()
    }

    /// Marks the entries that a peer's snapshot names as unconfirmed.
    pub fn mark_unconfirmed(&mut self, now_ms: u64, unconfirmed: &[Unconfirmed]) {
        for entry in unconfirmed {
            self.entry_removed(now_ms, &entry.id, now_ms + entry.left_ms);
        }
    }

    /// All upstreams, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Upstream>> {
        self.by_id.values()
    }

    /// Number of upstreams in use.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether no upstream is in use.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    fn put(&mut self, entry: &UpstreamEntry) -> Effect {
        if self.removed.is_outdated(entry) {
            return Effect::Unchanged;
        }
        self.unconfirmed.remove(&entry.id);
        if let Some(known) = self.by_id.get(&entry.id) {
            if entry.started_ms < known.started_ms {
                return Effect::Unchanged;
            }
            // An upstream that restarted under the same id restarts its sequence numbers and has an empty
            // cache. If it were treated as the same incarnation, its entries would seem outdated for as long
            // as the first one had run.
            let is_same = entry.started_ms == known.started_ms
                && known.address == entry.address
                && known.service == entry.service
                && known.version == entry.version;
            if is_same {
                return if known.update(entry) {
                    Effect::Changed
                } else {
                    Effect::Unchanged
                };
            }
            self.remove(&entry.id);
        }
        let one_way_delay_ms = if entry.zone == self.zone {
            self.zone_delays.within_zone_ms
        } else {
            self.zone_delays.between_zones_ms
        };
        let upstream = Rc::new(Upstream::new(entry, one_way_delay_ms, self.clock));
        self.removed.restore_announcements(&upstream);
        let versions = self.versions.entry(ServiceKey::of(&entry.service));
        versions
            .or_default()
            .join(self.clock.now_ms(), upstream.version_key);
        self.by_id.insert(entry.id.clone(), Rc::clone(&upstream));
        self.by_key.insert(upstream.key, Rc::clone(&upstream));
        self.by_service
            .entry(entry.service.clone())
            .or_default()
            .push(upstream);
        Effect::Joined
    }

    fn entry_removed(&mut self, now_ms: u64, id: &str, until_ms: u64) -> Effect {
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
        if let Some(versions) = self.versions.get_mut(&ServiceKey::of(&known.service)) {
            versions.leave(self.clock.now_ms(), known.version_key);
        }
        self.removed.record(&known);
        known.leave();
    }
}
