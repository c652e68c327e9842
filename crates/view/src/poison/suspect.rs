//! What an instance knows of one request under which upstreams lost answers.

use std::collections::HashMap;

use super::RETENTION_MS;
use crate::UpstreamKey;
use crate::trials::Trials;

/// Upstreams that must end under a request before it is held. After one end, other
/// upstreams may still run it, since upstreams also end for reasons of their own. A third is not
/// risked: an engine that ends takes its running answers along (9 to 37 in an observed case), while
/// few requests meet two upstreams that end for their own reasons.
pub(super) const ENDED_THRESHOLD: usize = 2;

/// Time after a loss in which the end of its upstream counts against the request, in ms: longer than the list may lag,
/// also while the store is away. An upstream that ends later has ended for another reason.
pub(super) const LOSS_COUNTS_MS: u64 = 30_000;

/// Whether this instance must write a request to the store once it counts as poison.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) enum StoreRecord {
    /// No: only peers have seen upstreams end under it.
    #[default]
    PeersOnly,
    /// Yes: this instance has seen one end.
    Unsaved,
    /// No longer: the store has it.
    Saved,
    /// Its record is to be dropped, since the request was answered.
    ToDrop,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Loss {
    pub(super) upstream: UpstreamKey,
    pub(super) at_ms: u64,
    /// Whether it was the fault of an instance's own path.
    pub(super) is_excused: bool,
}

/// The end of an upstream.
#[derive(Debug, Clone, Copy)]
pub(super) struct UpstreamEnd {
    pub(super) at_ms: u64,
    /// Whether its entry in the list is gone or names a successor, whatever became of any path.
    pub(super) is_listed: bool,
}

#[derive(Debug, Default)]
pub(super) struct Suspect {
    pub(super) losses: Vec<Loss>,
    /// Upstreams with losses from before the request was answered. They are not counted when gossip repeats them.
    pub(super) cleared: Vec<(UpstreamKey, u64)>,
    /// Its trials, while it is held.
    pub(super) trials: Option<Trials>,
    /// Whether an answer has cleared it since upstreams ended under it; peers that have not heard so may still name it.
    pub(super) is_cleared: bool,
    /// When a peer was last told that it was answered.
    pub(super) objected_ms: u64,
    pub(super) store_record: StoreRecord,
    pub(super) is_reported: bool,
    pub(super) at_ms: u64,
}

impl Suspect {
    pub(super) fn is_old(&self, now_ms: u64) -> bool {
        now_ms >= self.at_ms + RETENTION_MS
    }

    pub(super) fn is_held(&self, now_ms: u64) -> bool {
        self.trials.is_some() && !self.is_old(now_ms)
    }

    /// When the upstreams ended whose losses count against it: excused ones only if the list shows the end.
    pub(super) fn ended<'a>(
        &'a self,
        ended: &'a HashMap<UpstreamKey, UpstreamEnd>,
    ) -> impl Iterator<Item = u64> + 'a {
        let counted = |loss: &Loss| {
            let end = ended.get(&loss.upstream)?;
            let is_of_loss = end.at_ms.abs_diff(loss.at_ms) <= LOSS_COUNTS_MS;
            (is_of_loss && (end.is_listed || !loss.is_excused)).then_some(end.at_ms)
        };
        self.losses.iter().filter_map(counted)
    }

    /// Holds it if enough upstreams have ended under it.
    pub(super) fn note_ends(&mut self, now_ms: u64, ended: &HashMap<UpstreamKey, UpstreamEnd>) {
        if self.trials.is_none() && self.ended(ended).count() >= ENDED_THRESHOLD {
            self.trials = Some(Trials::new(now_ms));
            self.is_cleared = false;
        }
    }

    /// Whether a loss at this upstream was cleared by an answer.
    pub(super) fn was_cleared(&self, upstream: UpstreamKey) -> bool {
        self.cleared.iter().any(|(key, _)| *key == upstream)
    }

    pub(super) fn loss_mut(&mut self, upstream: UpstreamKey) -> Option<&mut Loss> {
        self.losses
            .iter_mut()
            .find(|loss| loss.upstream == upstream)
    }
}
