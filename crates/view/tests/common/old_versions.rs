//! The rules of before for a stream that nobody has a record of: the first list that an instance reads tells all.

use plan::STREAM_AGE_MS;

/// Time within which versions counted as come together, in ms.
const TOGETHER_MS: u64 = 250;

#[derive(Debug, Clone, Copy)]
struct Sighting {
    version: u8,
    first_ms: u64,
    upstreams: usize,
    left_ms: u64,
}

/// The versions of one service, as an instance has seen them come and go.
#[derive(Debug, Clone, Default)]
pub struct OldVersions(Vec<Sighting>);

impl OldVersions {
    pub fn join(&mut self, now_ms: u64, version: u8) {
        self.0
            .retain(|each| each.upstreams > 0 || now_ms < each.left_ms + STREAM_AGE_MS);
        if let Some(known) = self.0.iter_mut().find(|each| each.version == version) {
            known.upstreams += 1;
            return;
        }
        self.0.push(Sighting {
            version,
            first_ms: now_ms,
            upstreams: 1,
            left_ms: 0,
        });
    }

    pub fn leave(&mut self, now_ms: u64, version: u8) {
        if let Some(known) = self.0.iter_mut().find(|each| each.version == version) {
            known.upstreams = known.upstreams.saturating_sub(1);
            known.left_ms = now_ms;
        }
    }

    fn recent(&self, now_ms: u64) -> impl Iterator<Item = &Sighting> {
        let all = self.0.iter();
        all.filter(move |each| each.upstreams > 0 || now_ms < each.left_ms + STREAM_AGE_MS)
    }

    pub fn are_mixed(&self, now_ms: u64) -> bool {
        self.recent(now_ms).count() > 1
    }

    pub fn unrecorded(&self, now_ms: u64) -> Option<u8> {
        let is_old = |each: &&Sighting| now_ms >= each.first_ms + STREAM_AGE_MS;
        let mut older = self.recent(now_ms).filter(is_old);
        match (older.next(), older.next()) {
            (Some(only), None) => Some(only.version),
            (Some(_), Some(_)) => None,
            (None, _) => {
                let first_ms = self.recent(now_ms).map(|each| each.first_ms).min()?;
                let is_first = |each: &&Sighting| each.first_ms < first_ms + TOGETHER_MS;
                let mut first = self.recent(now_ms).filter(is_first);
                let only = first.next()?;
                first.next().is_none().then_some(only.version)
            }
        }
    }
}

/// A record counts; else all that can tell have to agree.
pub fn old_origin(recorded: &[u8], unrecorded: &[Option<u8>]) -> Option<u8> {
    if let Some(version) = recorded.first() {
        return Some(*version);
    }
    let mut told = unrecorded.iter().flatten();
    let first = told.next()?;
    told.all(|other| other == first).then_some(*first)
}
