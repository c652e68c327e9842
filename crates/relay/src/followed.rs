//! How far a log of the store was read, by this instance and by others.
//!
//! Load pattern: eighty instances follow one list of upstreams that is written to all the time and
//! says something new once in a while. Were each to read it for itself within the bound on leaving
//! upstreams, their calls would be most of what the store gets. So a few read, and tell where the log
//! ended, where its last change stands, and how long ago that was. Who has read beyond that change
//! knows as much as they do; who has not reads at once; who hears nothing reads in time for itself.
//! No record is passed on, so nothing rests on what another one understood of it.
//!
//! All times are since boot: an instance that was suspended must not tell an old reading as a new one.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::upstream::Entry;
use crate::upstreams::Change;

/// Where a log stood at a reading, as one instance tells others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// Offset after the last record.
    pub end: u64,
    /// Offset after the last record that changed anything.
    pub changed: u64,
    /// Time since the reading, in ms.
    pub age_ms: u32,
}

/// One log as this instance follows it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Followed {
    /// Where its own next reading begins.
    next: Option<u64>,
    /// Offset after the last change that anybody has told of or that it read.
    changed: u64,
    /// Offset after the last record that anybody has told of or that it read.
    end: u64,
    /// Time as of which all changes up to `changed` are all there are.
    as_of_ms: u64,
}

impl Followed {
    /// Where the next reading begins; nothing if the whole has to be read.
    pub fn next(&self) -> Option<u64> {
        self.next
    }

    /// The log was read up to `next`, and stood so at `as_of_ms`; `changed` is the offset after the
    /// last change among what was read, if there was one.
    pub fn read(&mut self, as_of_ms: u64, next: u64, changed: Option<u64>) {
        self.next = Some(next);
        self.end = self.end.max(next);
        if let Some(changed) = changed {
            self.changed = self.changed.max(changed);
        }
        // What others told of may be beyond this reading, which then proves less than theirs.
        if next >= self.changed {
            self.as_of_ms = self.as_of_ms.max(as_of_ms);
        }
    }

    /// The next reading begins anew: records were dropped before they were read.
    pub fn lost(&mut self) {
        self.next = None;
    }

    /// Another instance told where the log stands.
    pub fn heard(&mut self, since_boot_ms: u64, mark: &Mark) {
        let as_of_ms = since_boot_ms.saturating_sub(mark.age_ms.into());
        self.changed = self.changed.max(mark.changed);
        self.end = self.end.max(mark.end);
        self.as_of_ms = self.as_of_ms.max(as_of_ms);
    }

    /// Whether somebody knows of a change that this instance has not read.
    pub fn is_behind(&self) -> bool {
        self.next.is_none_or(|next| next < self.changed)
    }

    /// Time for which changes may have gone unnoticed.
    pub fn age_ms(&self, since_boot_ms: u64) -> u64 {
        since_boot_ms.saturating_sub(self.as_of_ms)
    }

    /// Whether this instance is to read now, where it bears an age of `most_ms`.
    pub fn is_due(&self, since_boot_ms: u64, most_ms: u64) -> bool {
        self.is_behind() || self.age_ms(since_boot_ms) >= most_ms
    }

    /// What others are to be told: nothing by one that has not read all that it knows of.
    pub fn mark(&self, since_boot_ms: u64) -> Option<Mark> {
        (!self.is_behind()).then(|| Mark {
            end: self.end,
            changed: self.changed,
            age_ms: self.age_ms(since_boot_ms).min(u32::MAX.into()) as u32,
        })
    }
}

/// What the list of upstreams last said of each, apart from what this instance found out itself.
///
/// Whether a record says something new must not depend on its reader: one that already knows that an
/// upstream is gone would hold back from others the record by which they learn it.
#[derive(Debug, Default)]
pub struct Said {
    entries: HashMap<String, Entry>,
}

impl Said {
    /// Takes in a change; gives whether it said anything but that the upstream lives.
    pub fn is_news(&mut self, change: &Change) -> bool {
        match change {
            Change::Gone(id) => {
                self.entries.remove(id);
                true
            }
            Change::Put(entry) => {
                let entry = Entry {
                    seq: 0,
                    ..entry.clone()
                };
                let said = self.entries.insert(entry.id.clone(), entry.clone());
                said.as_ref() != Some(&entry)
            }
        }
    }

    /// Takes in the whole list.
    pub fn replace(&mut self, entries: &[Entry]) {
        self.entries.clear();
        for entry in entries {
            self.is_news(&Change::Put(entry.clone()));
        }
    }
}
