//! Reads pages of the log into a state, and recovers a reader that fell behind the horizon.

use std::collections::VecDeque;

use wire::{Body, Record, Snapshot};

use crate::{Outcome, Page, RawRecord, State};

/// Bytes of raw records kept to pass on to other instances while the log is down.
const TAIL_BYTES: usize = 2 << 20;

/// What one record did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppliedRecord {
    /// Offset of the record.
    pub offset: u64,
    /// The record.
    pub record: Record,
    /// What became of it.
    pub outcome: Outcome,
}

/// A reader of the log with the state it has folded.
#[derive(Debug, Clone, Default)]
pub struct LogReader {
    state: State,
    tail: VecDeque<RawRecord>,
    tail_bytes: usize,
    searching: Option<u64>,
}

impl LogReader {
    /// The state folded so far.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Where the next read of the log begins.
    pub fn read_offset(&self) -> u64 {
        self.searching.unwrap_or(self.state.next_offset())
    }

    /// Whether records are missing that the log no longer keeps.
    ///
    /// Until a snapshot is found the state is that of a past moment, so an instance that is
    /// searching must not become ready.
    pub fn needs_snapshot(&self) -> bool {
        self.searching.is_some()
    }

    /// Takes in one page. Bytes that are no record are skipped: every reader skips the same ones.
    pub fn apply_page(&mut self, page: &Page) -> Vec<AppliedRecord> {
        if self.searching.is_none()
            && page.oldest_offset > self.state.next_offset()
            && page.oldest_offset > 1
        {
            self.searching = Some(page.oldest_offset);
        }
        if self.searching.is_some() {
            self.search(page);
            return Vec::new();
        }
        self.fold(&page.records, page.next_offset)
    }

    /// Looks for a snapshot whose following records are all still kept.
    fn search(&mut self, page: &Page) {
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
            None => self.searching = Some(page.next_offset.max(page.oldest_offset)),
        }
    }

    /// Takes a snapshot from the log or from a peer, unless it is older than the state.
    ///
    /// The comparison keeps an instance from ever going back to a lower offset, which would put
    /// an older bundle in force again.
    pub fn install_snapshot(&mut self, snapshot: Snapshot) -> bool {
        if snapshot.next_offset <= self.state.next_offset() {
            return false;
        }
        self.state = State::from(snapshot);
        self.tail.clear();
        self.tail_bytes = 0;
        self.searching = None;
        true
    }

    /// Takes in records that a peer read back from the log, from our own offset on.
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
            self.searching = None;
        }
        self.fold(entries, next)
    }

    fn fold(&mut self, entries: &[RawRecord], next: u64) -> Vec<AppliedRecord> {
        let mut steps = Vec::with_capacity(entries.len());
        for entry in entries {
            if entry.offset < self.state.next_offset() {
                continue;
            }
            self.keep(entry);
            match Record::decode(&entry.data) {
                Ok(record) => {
                    let outcome = self.state.apply(entry.offset, &record);
                    let offset = entry.offset;
                    steps.push(AppliedRecord {
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
        steps
    }

    fn keep(&mut self, entry: &RawRecord) {
        self.tail_bytes += entry.data.len();
        self.tail.push_back(entry.clone());
        while self.tail_bytes > TAIL_BYTES {
            let Some(oldest) = self.tail.pop_front() else {
                break;
            };
            self.tail_bytes -= oldest.data.len();
        }
    }

    /// Records at or after `from` for a peer, or `None` when some are no longer kept.
    pub fn records_from(&self, from: u64) -> Option<Vec<RawRecord>> {
        let oldest = self
            .tail
            .front()
            .map_or(self.state.next_offset(), |entry| entry.offset);
        if from < oldest {
            return None;
        }
        let newer = self.tail.iter().filter(|entry| entry.offset >= from);
        Some(newer.cloned().collect())
    }
}
