//! Which software version began a stream that nobody has a record of.
//!
//! The load that it answers: engines of several versions serve while a new one comes in, instances and engines end, and
//! callers take the streams up elsewhere. A stream may only go on at the version that began it; one that is turned away
//! costs its caller, one that mixes harms it. See docs/design/stream-versions.md.

/// Longest time for which callers try to go on with a stream, in ms.
pub const STREAM_AGE_MS: u64 = 15_000;

/// Time within which versions count as come together, in ms: an instance that starts learns of all that serve at once.
const TOGETHER_MS: u64 = 250;

/// A version that serves, or did so lately.
#[derive(Debug, Clone, Copy)]
struct Sighting<V> {
    version: V,
    first_ms: u64,
    upstreams: usize,
    /// When its last upstream left.
    left_ms: u64,
}

impl<V> Sighting<V> {
    fn is_recent(&self, now_ms: u64) -> bool {
        self.upstreams > 0 || now_ms < self.left_ms + STREAM_AGE_MS
    }

    fn is_new(&self, now_ms: u64) -> bool {
        now_ms < self.first_ms + STREAM_AGE_MS
    }
}

/// The software versions of one service, as an instance has seen them come and go.
#[derive(Debug, Clone)]
pub struct ServiceVersions<V> {
    sightings: Vec<Sighting<V>>,
}

impl<V> Default for ServiceVersions<V> {
    fn default() -> Self {
        Self {
            sightings: Vec::new(),
        }
    }
}

impl<V: Copy + PartialEq> ServiceVersions<V> {
    /// Records an upstream of a version that came.
    pub fn join(&mut self, now_ms: u64, version: V) {
        self.sightings.retain(|each| each.is_recent(now_ms));
        if let Some(known) = self.find(version) {
            known.upstreams += 1;
            return;
        }
        self.sightings.push(Sighting {
            version,
            first_ms: now_ms,
            upstreams: 1,
            left_ms: 0,
        });
    }

    /// Records an upstream of a version that is gone.
    pub fn leave(&mut self, now_ms: u64, version: V) {
        if let Some(known) = self.find(version) {
            known.upstreams = known.upstreams.saturating_sub(1);
            known.left_ms = now_ms;
        }
    }

    fn find(&mut self, version: V) -> Option<&mut Sighting<V>> {
        let mut all = self.sightings.iter_mut();
        all.find(|each| each.version == version)
    }

    /// Whether the version of a new stream has to be recorded: another one serves, or did so lately.
    pub fn are_mixed(&self, now_ms: u64) -> bool {
        let recent = self.sightings.iter().filter(|each| each.is_recent(now_ms));
        recent.count() > 1
    }

    /// The version that began a stream of which no record exists; none if that cannot be told.
    ///
    /// While several versions serve each stream is recorded. Without a record it began when one served alone: the only
    /// one that was there before, if all others came in so lately that the stream may be older.
    pub fn unrecorded(&self, now_ms: u64) -> Option<V> {
        let recent = || self.sightings.iter().filter(|each| each.is_recent(now_ms));
        let mut older = recent().filter(|each| !each.is_new(now_ms));
        match (older.next(), older.next()) {
            (Some(only), None) => Some(only.version),
            (Some(_), Some(_)) => None,
            (None, _) => self.first_to_come(now_ms),
        }
    }

    /// The version that came before all others, among recent ones that all are new.
    fn first_to_come(&self, now_ms: u64) -> Option<V> {
        let recent = || self.sightings.iter().filter(|each| each.is_recent(now_ms));
        let first_ms = recent().map(|each| each.first_ms).min()?;
        let mut first = recent().filter(|each| each.first_ms < first_ms + TOGETHER_MS);
        let only = first.next()?;
        first.next().is_none().then_some(only.version)
    }
}

/// What the instances that keep records say of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OriginEvidence<V> {
    /// A record names its version.
    Recorded(V),
    /// There is none; by what that instance saw of versions, this one began the stream, if it can tell.
    Unrecorded(Option<V>),
}

/// The version that began a stream, from what instances say of it; none if it cannot be told.
///
/// A record counts most. Without one all that can tell have to agree: one that has just started, or whose list is late,
/// takes the version that it sees for the only one there ever was.
pub fn origin_version<V: Copy + PartialEq>(evidence: &[OriginEvidence<V>]) -> Option<V> {
    let recorded = evidence.iter().find_map(|each| match each {
        OriginEvidence::Recorded(version) => Some(*version),
        OriginEvidence::Unrecorded(_) => None,
    });
    if recorded.is_some() {
        return recorded;
    }
    let mut told = evidence.iter().filter_map(|each| match each {
        OriginEvidence::Recorded(version) => Some(*version),
        OriginEvidence::Unrecorded(version) => *version,
    });
    let first = told.next()?;
    told.all(|other| other == first).then_some(first)
}
