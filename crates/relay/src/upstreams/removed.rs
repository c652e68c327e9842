//! Memory of removed incarnations: their late entries are ignored, and what they announced still holds if their
//! entries come back.

use std::collections::VecDeque;

use plan::Rest;

use crate::upstream::{Upstream, UpstreamEntry, UpstreamKey};

/// Removed incarnations that are remembered.
const MAX_REMOVED: usize = 512;

/// A removed incarnation, with the sequence number of its last applied entry.
#[derive(Debug, Clone)]
struct Removed {
    id: String,
    started_ms: u64,
    seq: u64,
    /// Whether it was leaving, and did not just drop out of the list.
    is_leaving: bool,
    /// Rest that it had asked for.
    rest: Rest,
}

impl Removed {
    fn is_incarnation(&self, upstream: &Upstream) -> bool {
        self.id == upstream.id && self.started_ms == upstream.started_ms
    }
}

/// The last removed incarnations, oldest first.
#[derive(Debug, Default)]
pub struct RemovedUpstreams(VecDeque<Removed>);

impl RemovedUpstreams {
    /// Records an incarnation that is being removed; the oldest one is forgotten if there are too many.
    pub fn record(&mut self, upstream: &Upstream) {
        self.0.push_back(Removed {
            id: upstream.id.clone(),
            started_ms: upstream.started_ms,
            seq: upstream.seq(),
            is_leaving: !upstream.is_ready(),
            rest: upstream.pool.rest(),
        });
        if self.0.len() > MAX_REMOVED {
            self.0.pop_front();
        }
    }

    /// Key of the last removed incarnation of an id, and whether it was leaving.
    pub fn last(&self, id: &str) -> Option<(UpstreamKey, bool)> {
        let removed = self.0.iter().rev().find(|each| each.id == id)?;
        let key = UpstreamKey::of(&removed.id, removed.started_ms);
        Some((key, removed.is_leaving))
    }

    /// Whether an entry was written before its incarnation was removed.
    pub fn is_outdated(&self, entry: &UpstreamEntry) -> bool {
        self.0.iter().any(|removed| {
            removed.id == entry.id
                && (entry.started_ms, entry.seq) <= (removed.started_ms, removed.seq)
        })
    }

    /// Records that a removed incarnation announced its leaving; false if that was known.
    pub fn announce_leaving(&mut self, upstream: &Upstream) -> bool {
        let mut is_news = false;
        for removed in self
            .0
            .iter_mut()
            .filter(|each| each.is_incarnation(upstream))
        {
            is_news |= !removed.is_leaving;
            removed.is_leaving = true;
        }
        is_news
    }

    /// Extends the rest of a removed incarnation.
    pub fn extend_rest(&mut self, upstream: &Upstream, now_ms: u64, rest_ms: u64) {
        for removed in self
            .0
            .iter_mut()
            .filter(|each| each.is_incarnation(upstream))
        {
            removed.rest.extend(now_ms, rest_ms);
        }
    }

    /// Applies what an incarnation announced before its entry was removed.
    pub fn restore_announcements(&self, upstream: &Upstream) {
        for removed in self.0.iter().filter(|each| each.is_incarnation(upstream)) {
            if removed.is_leaving {
                upstream.leave();
            }
            // The last removal has the longest rest, as a rest is only ever extended.
            upstream.pool.set_rest(removed.rest);
        }
    }
}
