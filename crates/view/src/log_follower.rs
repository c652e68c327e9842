//! How far a log of the store was taken in, by reading it or from what other instances told.
//!
//! Load pattern: hundreds of instances follow one list of upstreams that is written to all the time and
//! says something new once in a while. Were each to read it for itself within the bound on leaving
//! upstreams, their calls would be most of what the store gets; were each to read it whenever
//! something changed, calls would still grow with instances times changes. So a few read, and tell
//! where the log ended, where its last change stands, how long ago that was, and what changed
//! ([`crate::GossipedChange`]). Who has taken in that change knows as much as they do; who missed some asks another
//! instance; who hears nothing reads in time for itself.
//!
//! All times are since boot: an instance that was suspended must not tell an old reading as a new one.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::{GossipedChange, InstanceKey, ListChange, UpstreamEntry};

/// Time for which an instance that missed a change asks others before it reads the store, in ms: two
/// questions with their answers.
const ASKS_MS: u64 = 1_200;

/// Time after a reading of the whole in which another instance usually tells where the last change
/// stands, in ms: several datagrams. Longer, and all instances that start together read twice.
const UNSURE_MS: u64 = 400;

/// Time by which a reading must be older than the latest of the same reader to be that of a machine which
/// was started anew, in ms: no datagram is on its way for as long.
const RESTARTED_MS: u64 = 5_000;

/// A reading of the store, by which knowledge is known again however often it is told on.
///
/// Each way from one instance to another makes a mark seem younger by the time that it takes. Were
/// one that comes back taken for a new one, instances would keep each other's knowledge fresh for good
/// though nobody reads any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ReadId {
    /// Who read.
    pub reader: InstanceKey,
    /// When, by that one's clock since boot.
    pub at_ms: u64,
}

/// Where a log stood at a reading, as one instance tells others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPosition {
    /// The reading that shows it.
    #[serde(rename = "source")]
    pub read_id: ReadId,
    /// Offset after the last record.
    pub end: u64,
    /// Offset after the last record that changed anything.
    #[serde(rename = "changed")]
    pub last_change: u64,
    /// Time since the reading, in ms.
    pub age_ms: u32,
}

/// What an instance is to do to know what a log says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FollowAction {
    /// It knows.
    UpToDate,
    /// Ask another instance, which knows of a change that this one missed.
    AskPeer,
    /// Read the store.
    ReadStore,
}

/// A reading of the whole, which holds no history.
#[derive(Debug, Clone, Copy)]
struct WholeRead {
    as_of_ms: u64,
    next: u64,
}

/// One log as this instance follows it.
#[derive(Debug, Clone, Default)]
pub struct LogFollower {
    own: InstanceKey,
    /// Offset up to which all changes were taken in, from which the next reading goes on.
    next: Option<u64>,
    /// The same, which is still known where the next reading has to begin anew.
    held: Option<u64>,
    /// Offset after the last change that was taken in.
    taken: u64,
    /// Offset after the last change that anybody has told of or that it read.
    changed: u64,
    /// Offset after the last record that anybody has told of or that it read.
    end: u64,
    /// Time as of which all changes up to `changed` are all there are.
    as_of_ms: u64,
    /// The reading that shows that.
    source: ReadId,
    /// The latest reading heard of from each other reader.
    heard: Vec<ReadId>,
    /// The reading of the whole, while nobody has told yet where its last change stands.
    unsure: Option<WholeRead>,
    /// When the first change was told that is not taken in.
    behind_since_ms: Option<u64>,
}

impl LogFollower {
    /// A log that an instance knows nothing of.
    pub fn new(own: InstanceKey) -> Self {
        Self {
            own,
            ..Self::default()
        }
    }

    /// Where the next reading begins; nothing if the whole has to be read.
    pub fn next_offset(&self) -> Option<u64> {
        self.next
    }

    /// Offset up to which what is held was taken in; nothing if nothing is held.
    pub fn held_offset(&self) -> Option<u64> {
        self.held
    }

    /// Offset after the last change that was taken in.
    pub fn last_applied_change(&self) -> u64 {
        self.taken
    }

    /// The log was read up to `next`, and stood so at `as_of_ms`; `changed` is the offset after the
    /// last change among what was read, if there was one.
    pub fn record_read(&mut self, as_of_ms: u64, next: u64, changed: Option<u64>) {
        self.take_in(self.next.unwrap_or_default().max(next));
        self.end = self.end.max(next);
        if let Some(changed) = changed {
            self.changed = self.changed.max(changed);
            self.taken = self.taken.max(changed);
        }
        // What others told of may be beyond this reading, which then proves less than theirs.
        if next >= self.changed {
            self.know(as_of_ms, self.own_source(as_of_ms));
        }
        self.settle();
    }

    /// The whole was read, or taken over from another instance, up to `next`. It holds no history, so
    /// where its last change stands is not known.
    ///
    /// Were the end told as a change, all others would seem to have missed one whenever an instance
    /// starts.
    pub fn record_snapshot(&mut self, as_of_ms: u64, next: u64) {
        self.record_read(as_of_ms, next, None);
        self.taken = self.taken.max(next);
        self.unsure = Some(WholeRead { as_of_ms, next });
    }

    fn take_in(&mut self, next: u64) {
        self.next = Some(next);
        self.held = Some(next);
    }

    /// The next reading begins anew: records were dropped before they were read.
    pub fn require_full_read(&mut self) {
        self.next = None;
    }

    /// Whether the log as far as `next` holds something that was not taken in here.
    ///
    /// Answers overtake each other, and one from before a change must not undo it.
    pub fn lacks_records_before(&self, next: u64) -> bool {
        self.held.is_none_or(|held| held < next)
    }

    /// Whether it is known where the last change stands, after the whole was read.
    pub fn knows_last_change(&self) -> bool {
        self.unsure.is_none()
    }

    /// Another instance told where the log stands.
    pub fn receive_position(&mut self, since_boot_ms: u64, mark: &LogPosition) {
        let as_of_ms = since_boot_ms.saturating_sub(mark.age_ms.into());
        self.changed = self.changed.max(mark.last_change);
        self.end = self.end.max(mark.end);
        // Only a reading that went as far as the whole one knows the last change in it. By time an older one may
        // seem younger, since its age leaves out the way here; told on, its place would hide from all
        // others what changed between the two.
        if self.unsure.is_some_and(|whole| whole.next <= mark.end) {
            self.unsure = None;
        }
        if self.is_behind() {
            self.behind_since_ms.get_or_insert(since_boot_ms);
        }
        if !self.is_new(mark.read_id) {
            return;
        }
        self.know(as_of_ms, mark.read_id);
    }

    fn own_source(&self, at_ms: u64) -> ReadId {
        ReadId {
            reader: self.own,
            at_ms,
        }
    }

    fn know(&mut self, as_of_ms: u64, source: ReadId) {
        if as_of_ms > self.as_of_ms {
            self.as_of_ms = as_of_ms;
            self.source = source;
        }
    }

    /// Whether a reading was not heard of before, which is noted.
    fn is_new(&mut self, source: ReadId) -> bool {
        if source.reader == self.own {
            return false;
        }
        let known = self
            .heard
            .iter_mut()
            .find(|known| known.reader == source.reader);
        match known {
            Some(known) if (source.at_ms..source.at_ms + RESTARTED_MS).contains(&known.at_ms) => {
                false
            }
            Some(known) => {
                known.at_ms = source.at_ms;
                true
            }
            None => {
                self.heard.push(source);
                true
            }
        }
    }

    /// Another instance told a change; gives whether it is to be taken in now, which it is if nothing
    /// before it was missed.
    pub fn apply_change(&mut self, news: &GossipedChange) -> bool {
        let Some(next) = self.next else {
            return false;
        };
        if next >= news.offset || next < news.previous_offset {
            return false;
        }
        self.take_in(news.offset);
        self.taken = news.offset;
        self.changed = self.changed.max(news.offset);
        self.end = self.end.max(news.offset);
        self.settle();
        true
    }

    /// Whether somebody knows of a change that this instance has not taken in.
    pub fn is_behind(&self) -> bool {
        self.next.is_none_or(|next| next < self.changed)
    }

    fn settle(&mut self) {
        if !self.is_behind() {
            self.behind_since_ms = None;
        }
    }

    /// Time for which changes may have gone unnoticed.
    pub fn age_ms(&self, since_boot_ms: u64) -> u64 {
        since_boot_ms.saturating_sub(self.as_of_ms)
    }

    /// What this instance is to do now, where it bears an age of `most_ms`.
    pub fn next_action(
        &self,
        since_boot_ms: u64,
        most_ms: u64,
        reads_for_others: bool,
    ) -> FollowAction {
        if self.next.is_none() || self.age_ms(since_boot_ms) >= most_ms {
            return FollowAction::ReadStore;
        }
        if !self.is_behind() {
            return FollowAction::UpToDate;
        }
        let asked_ms = since_boot_ms.saturating_sub(self.behind_since_ms.unwrap_or(since_boot_ms));
        if reads_for_others || asked_ms >= ASKS_MS {
            FollowAction::ReadStore
        } else {
            FollowAction::AskPeer
        }
    }

    /// What others are to be told: nothing by one that has not taken in all that it knows of, or that
    /// does not know where the last change stands.
    pub fn position(&self, since_boot_ms: u64, reads_for_others: bool) -> Option<LogPosition> {
        if self.is_behind() {
            return None;
        }
        let changed = match self.unsure {
            None => self.changed,
            // With nobody else to tell it, a reader takes the end of what it has read.
            Some(whole) if reads_for_others && since_boot_ms >= whole.as_of_ms + UNSURE_MS => {
                self.taken
            }
            Some(_) => return None,
        };
        Some(LogPosition {
            read_id: self.source,
            end: self.end,
            last_change: changed,
            age_ms: self.age_ms(since_boot_ms).min(u32::MAX.into()) as u32,
        })
    }
}

/// What the list of upstreams last said of each, apart from what this instance found out itself.
///
/// Whether a record says something new must not depend on its reader: one that already knows that an
/// upstream is gone would hold back from others the record by which they learn it.
#[derive(Debug, Default)]
pub struct ListedEntries {
    entries: HashMap<String, UpstreamEntry>,
}

impl ListedEntries {
    /// Takes in a change; gives whether it said anything but that the upstream lives.
    pub fn apply(&mut self, change: &ListChange) -> bool {
        match change {
            ListChange::Gone(id) => {
                self.entries.remove(id);
                true
            }
            ListChange::Put(entry) => {
                let entry = UpstreamEntry {
                    seq: 0,
                    ..entry.clone()
                };
                let said = self.entries.insert(entry.id.clone(), entry.clone());
                said.as_ref() != Some(&entry)
            }
        }
    }

    /// Takes in the whole list.
    pub fn replace(&mut self, entries: &[UpstreamEntry]) {
        self.entries.clear();
        for entry in entries {
            self.apply(&ListChange::Put(entry.clone()));
        }
    }
}
