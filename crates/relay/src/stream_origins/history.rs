//! Which versions of each service may have begun streams lately, as the list and the store's set of versions tell.
//!
//! The set outlives all instances. A version is written to it before its first upstream is put to use, so a process that
//! has just started knows what served before it. See docs/design/stream-versions.md.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::fmt;
use std::str::FromStr;

use derive_more::{Display, Error};
use plan::{KnownSince, STREAM_AGE_MS, Unrecorded};
use view::{InstanceKey, ListChange, ServiceKey, UpstreamEntry, VersionKey};

use crate::relay::Relay;

/// Interval at which it is checked whether an instance was lost, in ms.
const MEMBERS_CHECK_MS: u64 = 200;

/// Hexadecimal digits of a service's key.
const SERVICE_DIGITS: usize = 8;

/// Hexadecimal digits of a version's key.
const VERSION_DIGITS: usize = 16;

/// A version of a service in the store's set.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct StoredVersion {
    /// The service.
    pub service: ServiceKey,
    /// The version.
    pub version: VersionKey,
}

/// A key in the store's set is not one of a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("not a service of 8 and a version of 16 hexadecimal digits")]
pub struct MalformedStoredVersion;

impl StoredVersion {
    /// The version of an upstream.
    pub fn of(entry: &UpstreamEntry) -> Self {
        Self {
            service: ServiceKey::of(&entry.service),
            version: VersionKey::of(&entry.version),
        }
    }
}

impl fmt::Display for StoredVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}{:016x}", self.service.0, self.version.0)
    }
}

impl FromStr for StoredVersion {
    type Err = MalformedStoredVersion;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (service, version) = text
            .split_at_checked(SERVICE_DIGITS)
            .filter(|_| text.len() == SERVICE_DIGITS + VERSION_DIGITS)
            .ok_or(MalformedStoredVersion)?;
        let malformed = |_| MalformedStoredVersion;
        Ok(Self {
            service: ServiceKey(u32::from_str_radix(service, 16).map_err(malformed)?),
            version: VersionKey(u64::from_str_radix(version, 16).map_err(malformed)?),
        })
    }
}

/// What this instance knows of the versions that served lately.
#[derive(Default)]
pub struct VersionHistory {
    known: Cell<KnownSince>,
    /// The store's set, once it was read.
    stored: RefCell<Option<HashMap<ServiceKey, Vec<VersionKey>>>>,
    /// Services whose streams are recorded since several versions serve.
    recording: RefCell<HashSet<ServiceKey>>,
    members: RefCell<HashSet<InstanceKey>>,
    members_checked_ms: Cell<u64>,
    member_lost_ms: Cell<Option<u64>>,
}

impl VersionHistory {
    /// Whether the store's set was read.
    pub fn is_loaded(&self) -> bool {
        self.stored.borrow().is_some()
    }

    fn is_stored(&self, version: StoredVersion) -> bool {
        let stored = self.stored.borrow();
        let versions = stored.as_ref().and_then(|it| it.get(&version.service));
        versions.is_some_and(|versions| versions.contains(&version.version))
    }

    /// Begins to watch the list, if it was not watched before.
    fn watch(&self, now_ms: u64) {
        let mut known = self.known.get();
        known.watch(now_ms);
        self.known.set(known);
    }
}

impl Relay {
    /// Takes over the store's set of versions. `is_whole` is false if it may lack what was written lately, as the store
    /// came back from an older copy.
    pub fn load_versions(&self, set: &[StoredVersion], is_whole: bool) {
        let now_ms = self.now_ms();
        let mut by_service: HashMap<ServiceKey, Vec<VersionKey>> = HashMap::new();
        for each in set {
            let versions = by_service.entry(each.service).or_default();
            versions.push(each.version);
        }
        self.upstreams
            .borrow_mut()
            .load_all_versions(now_ms, &by_service);
        let history = &self.stream_origins.history;
        *history.stored.borrow_mut() = Some(by_service);
        if is_whole {
            history.known.set(KnownSince::Always);
        }
        log::info!(versions = set.len(), is_whole; "versions that served lately read");
    }

    /// Takes over the set of a store that came back from an older copy, once the upstreams that live have registered again.
    /// What is listed may have begun streams too: the set may have named it before.
    pub fn load_restored_versions(&self, set: &[StoredVersion]) {
        let in_use = self.unstored_in_use();
        let listed = in_use.into_iter().map(|(version, _)| version);
        let all: Vec<StoredVersion> = set.iter().copied().chain(listed).collect();
        self.upstreams.borrow_mut().forget_loaded_versions();
        self.load_versions(&all, true);
    }

    /// The versions of these upstreams that the store's set does not name yet, each with an upstream; none before the set
    /// was read.
    pub fn unstored_versions<'a>(
        &self,
        entries: impl Iterator<Item = &'a UpstreamEntry>,
    ) -> Vec<(StoredVersion, &'a UpstreamEntry)> {
        let history = &self.stream_origins.history;
        let mut unstored: Vec<(StoredVersion, &UpstreamEntry)> = Vec::new();
        if !history.is_loaded() {
            return unstored;
        }
        for entry in entries {
            let version = StoredVersion::of(entry);
            let is_listed = unstored.iter().any(|(known, _)| *known == version);
            if !is_listed && !history.is_stored(version) {
                unstored.push((version, entry));
            }
        }
        unstored
    }

    /// The versions in use that the store's set does not name.
    pub fn unstored_in_use(&self) -> Vec<(StoredVersion, UpstreamEntry)> {
        let entries = self.upstreams.borrow().entries(self.now_ms());
        let unstored = self.unstored_versions(entries.iter());
        let owned = unstored
            .into_iter()
            .map(|(version, entry)| (version, entry.clone()));
        owned.collect()
    }

    /// All versions that the store's set should name.
    pub fn stored_versions(&self) -> Vec<StoredVersion> {
        let stored = self.stream_origins.history.stored.borrow();
        let all = stored.iter().flatten();
        let each = all.flat_map(|(service, versions)| {
            versions.iter().map(|version| StoredVersion {
                service: *service,
                version: *version,
            })
        });
        each.collect()
    }

    /// Whether the store's set of versions was read.
    pub fn are_versions_loaded(&self) -> bool {
        self.stream_origins.history.is_loaded()
    }

    /// Whether this instance knows all versions that may have begun streams.
    pub fn knows_all_versions(&self) -> bool {
        let known = self.stream_origins.history.known.get();
        known.covers(self.now_ms(), STREAM_AGE_MS)
    }

    /// Names of a service and its version; empty if none of its upstreams is in use.
    pub fn names_of(&self, version: StoredVersion) -> (String, String) {
        let upstreams = self.upstreams.borrow();
        let entries = upstreams.iter().map(|upstream| upstream.entry());
        let entry = entries
            .into_iter()
            .find(|entry| StoredVersion::of(entry) == version);
        entry.map_or_else(Default::default, |entry| (entry.service, entry.version))
    }

    /// Records that the store's set names a version.
    pub fn version_stored(&self, version: StoredVersion) {
        self.change_stored(version.service, |versions| {
            if !versions.contains(&version.version) {
                versions.push(version.version);
            }
        });
    }

    /// Records that the store's set names a version no more.
    pub fn version_dropped(&self, version: StoredVersion) {
        self.change_stored(version.service, |versions| {
            versions.retain(|each| *each != version.version);
        });
    }

    fn change_stored(&self, service: ServiceKey, change: impl FnOnce(&mut Vec<VersionKey>)) {
        let mut stored = self.stream_origins.history.stored.borrow_mut();
        let Some(stored) = stored.as_mut() else {
            return;
        };
        let versions = stored.entry(service).or_default();
        change(versions);
        let set = HashMap::from([(service, versions.clone())]);
        self.upstreams
            .borrow_mut()
            .load_versions(self.now_ms(), &set);
    }

    /// The versions in the store's set that served so long ago that no stream of theirs can be taken up.
    pub fn forgettable_versions(&self) -> Vec<StoredVersion> {
        self.upstreams.borrow().forgettable_versions(self.now_ms())
    }

    /// Whether an upstream may not be put to use yet: the store's set does not name its version, so that a kill of all
    /// instances would leave nobody who knows of it. Where no other upstream serves, it is used all the same.
    pub(crate) fn waits_for_store(&self, entry: &UpstreamEntry) -> bool {
        let history = &self.stream_origins.history;
        if !history.is_loaded() || history.is_stored(StoredVersion::of(entry)) {
            return false;
        }
        let upstreams = self.upstreams.borrow();
        let is_in_use = upstreams
            .get(&entry.id)
            .is_some_and(|known| known.version == entry.version);
        let mut ready = upstreams.ready(&entry.service, self.now_ms());
        !is_in_use && ready.next().is_some()
    }

    /// Whether a change of the list has to wait for the store, and so counts as not read.
    pub(crate) fn change_waits_for_store(&self, change: &ListChange) -> bool {
        match change {
            ListChange::Put(entry) => self.waits_for_store(entry),
            ListChange::Gone(_) => false,
        }
    }

    /// Notes that a whole list was read: from now on, no version comes or goes unseen.
    pub(crate) fn watch_versions(&self) {
        self.stream_origins.history.watch(self.now_ms());
    }

    /// Notes an upstream that came. Peers tell only of those whose version the store's set names. Where it is of a second
    /// version, other instances are told of the streams that run: without a record they could be of either.
    pub(crate) fn note_version_came(&self, id: &str, is_told: bool) {
        let entry = self.upstreams.borrow().get(id).map(|it| it.entry());
        let Some(entry) = entry else {
            return;
        };
        if is_told {
            self.version_stored(StoredVersion::of(&entry));
        }
        let service = ServiceKey::of(&entry.service);
        if self.are_versions_mixed(service) && self.begin_recording(service) {
            self.tell_running_streams(service);
        }
    }

    /// Begins to record the streams of a service; false if they are recorded already.
    fn begin_recording(&self, service: ServiceKey) -> bool {
        let history = &self.stream_origins.history;
        let is_new = history.recording.borrow_mut().insert(service);
        if is_new {
            self.check_members();
        }
        is_new
    }

    /// Whether several versions of a service serve or did so lately, as far as is known.
    pub(super) fn are_versions_mixed(&self, service: ServiceKey) -> bool {
        let now_ms = self.now_ms();
        let history = &self.stream_origins.history;
        let upstreams = self.upstreams.borrow();
        let versions = upstreams.versions(service);
        let are_mixed =
            versions.is_some_and(|versions| versions.are_mixed(now_ms, history.known.get()));
        if !are_mixed {
            history.recording.borrow_mut().remove(&service);
        }
        are_mixed
    }

    /// What this instance's view of versions tells of a stream without a record.
    pub(super) fn unrecorded(&self, service: ServiceKey) -> Unrecorded<VersionKey> {
        let history = &self.stream_origins.history;
        let upstreams = self.upstreams.borrow();
        let versions = upstreams.versions(service);
        versions.map_or(Unrecorded::Unknown, |versions| {
            let lost_ms = history.member_lost_ms.get();
            versions.unrecorded(self.now_ms(), history.known.get(), lost_ms)
        })
    }

    /// Notes from time to time whether an instance was lost, and with it the records that it kept.
    pub(crate) fn check_members_lost(&self) {
        let history = &self.stream_origins.history;
        let is_due = self.now_ms() >= history.members_checked_ms.get() + MEMBERS_CHECK_MS;
        if is_due && !history.recording.borrow().is_empty() && self.check_members() {
            self.tell_lost_streams();
        }
    }

    /// Notes which instances are there now; returns whether one was lost.
    fn check_members(&self) -> bool {
        let now_ms = self.now_ms();
        let history = &self.stream_origins.history;
        let members = self.members.borrow();
        let reachable = members.reachable();
        let now: HashSet<InstanceKey> = reachable.map(|it| InstanceKey::of(&it.name)).collect();
        let before = history.members.replace(now);
        let is_lost = !before.is_subset(&history.members.borrow());
        if is_lost {
            history.member_lost_ms.set(Some(now_ms));
        }
        history.members_checked_ms.set(now_ms);
        is_lost
    }
}
