//! Applies pages of the log to a state, and recovers a reader that is behind the log's retention.

use std::collections::VecDeque;

use wire::{Body, Record, Snapshot};

use crate::{Outcome, Page, RawRecord, State};

/// Maximum bytes of recent records kept to serve to peers while the log is down.
const MAX_RECENT_BYTES: usize = 2 << 20;

/// A record that was applied, and its outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppliedRecord {
    /// Offset in the log.
    pub offset: u64,
    /// The record.
    pub record: Record,
    /// Outcome of applying it.
    pub outcome: Outcome,
}

/// A reader of the log and the state that results from the records read.
#[derive(Debug, Clone, Default)]
pub struct LogReader {
    state: State,
    recent: VecDeque<RawRecord>,
    recent_bytes: usize,
    snapshot_search_offset: Option<u64>,
}

impl LogReader {
    /// State after all records read so far.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Offset at which the next read of the log starts.
    pub fn read_offset(&self) -> u64 {
        self.snapshot_search_offset
            .unwrap_or(self.state.next_offset())
    }

    /// Whether the log has dropped records that this reader has not read.
    ///
    /// Until a snapshot is found the state is outdated, so an instance must not become ready.
    pub fn needs_snapshot(&self) -> bool {
        self.snapshot_search_offset.is_some()
    }

    /// Applies a page. Records that cannot be decoded are skipped, at every reader alike.
    pub fn apply_page(&mut self, page: &Page) -> Vec<AppliedRecord> {
        if self.snapshot_search_offset.is_none()
            && page.oldest_offset > self.state.next_offset()
            && page.oldest_offset > 1
        {
            self.snapshot_search_offset = Some(page.oldest_offset);
        }
        if self.snapshot_search_offset.is_some() {
            self.find_snapshot(page);
            return Vec::new();
        }
        self.apply(&page.records, page.next_offset)
    }

    /// Searches a page for a snapshot whose later records are all retained.
    fn find_snapshot(&mut self, page: &Page) {
        let records = page
            .records
            .iter()
            .filter_map(|entry| Record::decode(&entry.data).ok());
        let found = records
            .filter_map(|record| match record.body {
                Body::Snapshot(snapshot) => Some(snapshot),
                _ => None,
            })
            .find(|snapshot| snapshot.next_offset >= page.oldest_offset);
        match found {
            Some(snapshot) => {
                self.install_snapshot(*snapshot);
            }
            None => self.snapshot_search_offset = Some(page.next_offset.max(page.oldest_offset)),
        }
    }

    /// Replaces the state with a snapshot from the log or from a peer, unless it is not newer than
    /// the state. Returns whether it was installed.
    ///
    /// Going back to a lower offset would put an older bundle in force again.
    pub fn install_snapshot(&mut self, snapshot: Snapshot) -> bool {
        if snapshot.next_offset <= self.state.next_offset() {
            return false;
        }
        self.state = State::from(snapshot);
        self.recent.clear();
        self.recent_bytes = 0;
        self.snapshot_search_offset = None;
        true
    }

    /// Applies records that a peer has read from the log. Does nothing if `from` is beyond the next
    /// offset of this reader, since records would be missing.
    pub fn apply_peer_records(
        &mut self,
        from: u64,
        entries: &[RawRecord],
        next: u64,
    ) -> Vec<AppliedRecord> {
        if from > self.state.next_offset() {
            return Vec::new();
        }
        if next > self.state.next_offset() {
            self.snapshot_search_offset = None;
        }
        self.apply(entries, next)
    }

    fn apply(&mut self, entries: &[RawRecord], next: u64) -> Vec<AppliedRecord> {
        let mut applied = Vec::with_capacity(entries.len());
        for entry in entries {
            if entry.offset < self.state.next_offset() {
                continue;
            }
            self.remember(entry);
            match Record::decode(&entry.data) {
                Ok(record) => {
                    let outcome = self.state.apply(entry.offset, &record);
                    let offset = entry.offset;
                    applied.push(AppliedRecord {
                        offset,
                        record,
                        outcome,
                    });
                }
                Err(error) => {
                    log::warn!(offset = entry.offset; "record skipped: {error}");
                    self.state.skip_to(entry.offset + 1);
                }
            }
        }
        self.state.skip_to(next);
        applied
    }

    fn remember(&mut self, entry: &RawRecord) {
        self.recent_bytes += entry.data.len();
        self.recent.push_back(entry.clone());
        while self.recent_bytes > MAX_RECENT_BYTES {
            let Some(oldest) = self.recent.pop_front() else {
                break;
            };
            self.recent_bytes -= oldest.data.len();
        }
    }

    /// Returns the records at or after `from`, or `None` if some of them are no longer kept.
    pub fn records_from(&self, from: u64) -> Option<Vec<RawRecord>> {
        let oldest = self
            .recent
            .front()
            .map_or(self.state.next_offset(), |entry| entry.offset);
        if from < oldest {
            return None;
        }
        let newer = self.recent.iter().filter(|entry| entry.offset >= from);
        Some(newer.cloned().collect())
    }
}
