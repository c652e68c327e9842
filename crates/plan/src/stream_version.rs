//! Which software version began a stream that nobody has a record of.
//!
//! The load that it answers: engines of several versions serve while a new one comes in, instances and engines end, and
//! callers take the streams up elsewhere. A stream may only go on at the version that began it; one that is turned away
//! costs its caller, one that mixes harms it. See docs/design/stream-versions.md.

use crate::KnownSince;

/// Longest time for which callers try to go on with a stream, in ms.
pub const STREAM_AGE_MS: u64 = 15_000;

/// Time within which all instances that read the list learn of a change, in ms.
pub const SPREAD_MS: u64 = 3_000;

/// A version that serves, or did so lately.
#[derive(Debug, Clone, Copy)]
struct Sighting<V> {
    version: V,
    /// When its first upstream came; none if that was before all that this instance has seen.
    came_ms: Option<u64>,
    upstreams: usize,
    /// When its last upstream left.
    left_ms: u64,
    /// Whether the store's set names it.
    is_recorded: bool,
}

impl<V> Sighting<V> {
    fn is_recent(&self, now_ms: u64) -> bool {
        self.upstreams > 0 || now_ms < self.left_ms + STREAM_AGE_MS
    }

    /// Whether a stream that is taken up now may have begun before this version came.
    fn is_new(&self, now_ms: u64) -> bool {
        self.came_ms
            .is_some_and(|came_ms| now_ms < came_ms + STREAM_AGE_MS)
    }
}

/// What an instance can tell of the version of a stream that nobody has a record of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unrecorded<V> {
    /// It does not know all versions that served lately, or none did.
    Unknown,
    /// It knows all that served for [`STREAM_AGE_MS`]: this one alone.
    Only(V),
    /// All others came lately, and no instance was lost since: this one, unless a record says otherwise.
    Before(V),
    /// It may be any of several.
    Several,
}

/// The software versions of one service, as the store's set tells them and an instance has seen them come and go.
///
/// The set names each version at which a stream may have begun lately; one is written to it before its first upstream is
/// put to use. So what the set does not name has begun no stream, whoever was killed meanwhile.
#[derive(Debug, Clone)]
pub struct ServiceVersions<V> {
    sightings: Vec<Sighting<V>>,
    is_loaded: bool,
}

impl<V> Default for ServiceVersions<V> {
    fn default() -> Self {
        Self {
            sightings: Vec::new(),
            is_loaded: false,
        }
    }
}

impl<V: Copy + PartialEq> ServiceVersions<V> {
    /// Records an upstream of a version that came.
    pub fn join(&mut self, now_ms: u64, version: V) {
        self.sightings
            .retain(|each| each.is_recorded || each.is_recent(now_ms));
        if let Some(known) = self.find(version) {
            if !known.is_recent(now_ms) {
                known.came_ms = Some(now_ms);
            }
            known.upstreams += 1;
            return;
        }
        self.sightings.push(Sighting {
            version,
            came_ms: Some(now_ms),
            upstreams: 1,
            left_ms: 0,
            is_recorded: false,
        });
    }

    /// Records an upstream of a version that is gone.
    pub fn leave(&mut self, now_ms: u64, version: V) {
        if let Some(known) = self.find(version) {
            known.upstreams = known.upstreams.saturating_sub(1);
            known.left_ms = now_ms;
        }
    }

    /// Records what the store's set names, each time that it was read or has changed.
    ///
    /// The first time the versions in it have served before, and those that are listed only come just now: streams begin
    /// at them once the set names them. Later, one that another instance has written comes just now.
    pub fn load(&mut self, now_ms: u64, recorded: &[V]) {
        let is_first = !self.is_loaded;
        self.is_loaded = true;
        for known in &mut self.sightings {
            known.is_recorded = recorded.contains(&known.version);
            if is_first {
                known.came_ms = (!known.is_recorded).then_some(now_ms);
            }
        }
        for version in recorded {
            if self.find(*version).is_none() {
                self.sightings.push(Sighting {
                    version: *version,
                    came_ms: (!is_first).then_some(now_ms),
                    upstreams: 0,
                    left_ms: now_ms,
                    is_recorded: true,
                });
            }
        }
    }

    /// Makes the next set that is read count as the first one, after a gap in which others may have written versions that
    /// are lost. What was seen serving meanwhile stays known.
    pub fn reload(&mut self) {
        self.is_loaded = false;
    }

    /// Whether the store's set names a version, so that its upstreams may begin streams.
    pub fn is_recorded(&self, version: V) -> bool {
        let mut all = self.sightings.iter();
        all.any(|each| each.version == version && each.is_recorded)
    }

    fn find(&mut self, version: V) -> Option<&mut Sighting<V>> {
        let mut all = self.sightings.iter_mut();
        all.find(|each| each.version == version)
    }

    fn recent_sightings(&self, now_ms: u64) -> impl Iterator<Item = &Sighting<V>> {
        let all = self.sightings.iter();
        all.filter(move |each| each.is_recent(now_ms))
    }

    /// The versions that serve, or did so lately.
    pub fn recent(&self, now_ms: u64) -> impl Iterator<Item = V> {
        self.recent_sightings(now_ms).map(|each| each.version)
    }

    /// The versions in the store's set of which no upstream has been listed for so long that no stream of theirs can be
    /// taken up at any instance.
    pub fn forgettable(&self, now_ms: u64) -> Vec<V> {
        let is_over = |each: &&Sighting<V>| {
            each.is_recorded
                && each.upstreams == 0
                && now_ms >= each.left_ms + STREAM_AGE_MS + SPREAD_MS
        };
        let over = self.sightings.iter().filter(is_over);
        over.map(|each| each.version).collect()
    }

    /// Whether the version of a new stream has to be recorded: another one serves or did so lately, as far as is known.
    pub fn are_mixed(&self, now_ms: u64, known: KnownSince) -> bool {
        !known.covers(now_ms, STREAM_AGE_MS) || self.recent(now_ms).count() > 1
    }

    /// What can be told of a stream of which no record exists.
    ///
    /// While several versions serve each stream is recorded. Without a record it began when one served alone: the one
    /// that was there before, if all others came in so lately that the stream may be older. A lost instance takes records
    /// with it, so after a loss since they came that does not follow.
    pub fn unrecorded(
        &self,
        now_ms: u64,
        known: KnownSince,
        member_lost_ms: Option<u64>,
    ) -> Unrecorded<V> {
        if !known.covers(now_ms, STREAM_AGE_MS) {
            return Unrecorded::Unknown;
        }
        let recent = || self.recent_sightings(now_ms);
        let Some(first) = recent().min_by_key(|each| each.came_ms) else {
            return Unrecorded::Unknown;
        };
        let others = || recent().filter(|each| each.version != first.version);
        let Some(next_ms) = others().map(|each| each.came_ms).min() else {
            return Unrecorded::Only(first.version);
        };
        let is_alone_before = match (first.came_ms, next_ms) {
            (_, None) => false,
            (None, Some(_)) => true,
            // Other instances may have seen them in the other order.
            (Some(first_ms), Some(next_ms)) => next_ms >= first_ms + SPREAD_MS,
        };
        let are_others_new = others().all(|each| each.is_new(now_ms));
        let is_record_lost = match (member_lost_ms, next_ms) {
            // Another instance may have put them to use before this one learned of them.
            (Some(lost_ms), Some(next_ms)) => lost_ms + SPREAD_MS >= next_ms,
            _ => false,
        };
        if is_alone_before && are_others_new && !is_record_lost {
            Unrecorded::Before(first.version)
        } else {
            Unrecorded::Several
        }
    }
}

/// What an instance that may keep a record says of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OriginEvidence<V> {
    /// A record names its version.
    Recorded(V),
    /// There is none, but what that instance knows of versions may tell.
    Unrecorded(Unrecorded<V>),
}

/// The version that began a stream, from what instances say of it; none if it cannot be told.
///
/// A record counts most; records that differ tell nothing. Without one, an instance that knows of several versions is
/// believed over those that know of one, and all that can tell have to agree. The absence of a record tells something only
/// if all that may keep it have replied and know what was before they started.
pub fn origin_version<V: Copy + PartialEq>(
    evidence: &[OriginEvidence<V>],
    all_replied: bool,
) -> Option<V> {
    let records = evidence.iter().filter_map(|each| match each {
        OriginEvidence::Recorded(version) => Some(*version),
        OriginEvidence::Unrecorded(_) => None,
    });
    let mut records = records.peekable();
    if records.peek().is_some() {
        return agreed(records);
    }
    let has = |wanted: fn(&Unrecorded<V>) -> bool| {
        let mut all = evidence.iter();
        all.any(|each| matches!(each, OriginEvidence::Unrecorded(found) if wanted(found)))
    };
    let is_one_blind = has(|each| matches!(each, Unrecorded::Unknown));
    let needs_records = has(|each| matches!(each, Unrecorded::Before(_)));
    if has(|each| matches!(each, Unrecorded::Several))
        || needs_records && (is_one_blind || !all_replied)
    {
        return None;
    }
    let told = evidence.iter().filter_map(|each| match each {
        OriginEvidence::Unrecorded(Unrecorded::Only(version) | Unrecorded::Before(version)) => {
            Some(*version)
        }
        _ => None,
    });
    agreed(told)
}

/// The one version that all name; none if they differ or there are none.
fn agreed<V: Copy + PartialEq>(mut versions: impl Iterator<Item = V>) -> Option<V> {
    let first = versions.next()?;
    versions.all(|other| other == first).then_some(first)
}
