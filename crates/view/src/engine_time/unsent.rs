//! Times that changed and were not sent yet, or only once.

use std::collections::{BTreeSet, HashSet, VecDeque};

use super::ShareKey;

/// Most times in one datagram, about 12 bytes each.
const MAX_TIMES_PER_MESSAGE: usize = 40;

type Entry = (u64, ShareKey);

/// Changed times, by window and key. Those that were not sent since they changed come first, the
/// longest waiting before the others; where space is left, each is sent once more.
#[derive(Debug, Clone, Default)]
pub struct Unsent {
    changed: VecDeque<Entry>,
    is_changed: HashSet<Entry>,
    sent_once: VecDeque<Entry>,
}

impl Unsent {
    /// Notes that a time has changed.
    pub fn add(&mut self, entry: Entry) {
        if self.is_changed.insert(entry) {
            self.changed.push_back(entry);
        }
    }

    /// Sends these times once more where space is left, those of late windows first.
    pub fn send_again(&mut self, entries: impl Iterator<Item = Entry>) {
        let mut again: BTreeSet<Entry> = self.sent_once.drain(..).collect();
        again.extend(entries);
        self.sent_once.extend(again.into_iter().rev());
    }

    /// The times for the next datagram.
    pub fn next_batch(&mut self) -> Vec<Entry> {
        let count = self.changed.len().min(MAX_TIMES_PER_MESSAGE);
        let mut batch: Vec<Entry> = self.changed.drain(..count).collect();
        for entry in &batch {
            self.is_changed.remove(entry);
        }
        let again = self.sent_once.len().min(MAX_TIMES_PER_MESSAGE - count);
        let again: Vec<Entry> = self.sent_once.drain(..again).collect();
        self.sent_once.extend(&batch);
        let again = again.into_iter().filter(|it| !self.is_changed.contains(it));
        batch.extend(again);
        batch.sort_unstable();
        batch.dedup();
        batch
    }

    /// Drops the times of windows before `first`.
    pub fn drop_before(&mut self, first: u64) {
        self.changed.retain(|(window, _)| *window >= first);
        self.is_changed.retain(|(window, _)| *window >= first);
        self.sent_once.retain(|(window, _)| *window >= first);
    }

    /// Drops all, where there is no receiver.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
