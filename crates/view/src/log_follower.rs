//! How far an instance has followed a log of the store, by its own reads or by gossip.
//!
//! Hundreds of instances follow one list of upstreams, which is written to constantly but rarely
//! with a real change. If each instance read it within the bound on leaving upstreams, those reads
//! would be most of the store's load; if each read it on every change, calls would grow with
//! instances times changes. So a few instances read, and gossip where the log ended, where its last
//! change is, how old that read is, and what changed ([`crate::GossipedChange`]). An instance that
//! has applied the last change knows as much as the reader. One that missed a change asks a peer,
//! and one that receives nothing reads the store itself before the bound.
//!
//! All times are since boot, so that an instance that was suspended does not pass off an old read
//! as a new one.

use std::collections::HashMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::part_reads::PartReads;
use crate::{GossipedChange, InstanceKey, ListChange, UpstreamEntry};

/// How long an instance that missed a change asks its peers before it reads the store, in ms: two
/// requests with their answers.
const ASK_PEERS_MS: u64 = 1_200;

/// Time after a full read within which a peer usually gossips the offset of the last change, in ms:
/// several datagrams. With a longer time, all instances that start together would read twice.
const FULL_READ_SETTLE_MS: u64 = 400;

/// Difference in ms by which a read must seem older than the latest one of the same reader to be
/// taken for a newer read after a reboot, which restarts that machine's clock. No datagram is in
/// transit for that long.
const REBOOT_GAP_MS: u64 = 5_000;

/// Identifies a read of the store, however often its result is passed on.
///
/// A log position seems younger by the transit time of each hop. If a position that comes back
/// counted as a new one, instances would refresh each other's knowledge for ever although none of
/// them reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ReadId {
    /// Instance that read.
    pub reader: InstanceKey,
    /// When it read, by its own clock since boot.
    pub at_ms: u64,
}

/// Position of a log at a read, as instances gossip it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPosition {
    /// The read that showed it.
    #[serde(rename = "source")]
    pub read_id: ReadId,
    /// Offset after the last record.
    pub end: u64,
    /// Offset after the last record that changed anything.
    #[serde(rename = "changed")]
    pub last_change: u64,
    /// Time since the read, in ms.
    pub age_ms: u32,
}

/// What an instance must do to stay up to date with a log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FollowAction {
    /// Nothing: it is up to date.
    UpToDate,
    /// Ask a peer, which knows of a change that this instance missed.
    AskPeer,
    /// Read the store.
    ReadStore,
}

/// A full read, which shows the log's state and end but none of its history.
#[derive(Debug, Clone, Copy)]
struct FullRead {
    as_of_ms: u64,
    next: u64,
}

/// How far this instance has followed one log.
#[derive(Debug, Clone, Default)]
pub struct LogFollower {
    own: InstanceKey,
    /// Offset up to which all changes were applied, where the next read begins. `None` if the next
    /// read must be a full one.
    next: Option<u64>,
    /// Like `next`, but kept when the next read must be a full one.
    held: Option<u64>,
    /// Offset after the last change that was applied.
    last_applied: u64,
    /// Offset after the last change known from a read or from gossip.
    last_known_change: u64,
    /// Offset after the last record known from a read or from gossip.
    end: u64,
    /// Time as of which all changes were applied.
    as_of_ms: u64,
    /// The read that proves it.
    read_id: ReadId,
    /// The latest read received from each other reader.
    peer_reads: Vec<ReadId>,
    /// The last full read, until a peer has gossiped the offset of the last change before it.
    pending_full_read: Option<FullRead>,
    /// The last peer that told of the last known change, and so has applied it.
    informant: Option<SocketAddr>,
    /// When a change was first gossiped that is not applied yet.
    behind_since_ms: Option<u64>,
    /// The freshest news of the last known change, while that is not applied yet.
    news: Option<News>,
    /// Repeats of a full read of which pages are missing.
    part_reads: PartReads,
}

/// A peer's list with its last change was complete as of a time.
#[derive(Debug, Clone, Copy)]
struct News {
    last_change: u64,
    as_of_ms: u64,
    read_id: ReadId,
}

impl LogFollower {
    /// The follower of instance `own` for a log that it has not read yet.
    pub fn new(own: InstanceKey) -> Self {
        Self {
            own,
            ..Self::default()
        }
    }

    /// Offset at which the next read begins; `None` if it must be a full read.
    pub fn next_offset(&self) -> Option<u64> {
        self.next
    }

    /// Offset up to which records were applied; `None` if none were, or if some before it may be missing.
    pub fn held_offset(&self) -> Option<u64> {
        self.held.filter(|_| !self.part_reads.is_pending())
    }

    /// Whether a full read up to `next` shows nothing new.
    pub fn covers(&self, next: u64) -> bool {
        let is_covered = |own: u64| own > next || own == next && !self.part_reads.is_pending();
        self.next.is_some_and(is_covered)
    }

    /// Whether the whole log has to be read again, because pages were missing at the last full read.
    pub fn is_repeat_due(&self, since_boot_ms: u64) -> bool {
        self.part_reads.is_due(since_boot_ms)
    }

    /// Offset after the last change that was applied.
    pub fn last_applied_change(&self) -> u64 {
        self.last_applied
    }

    /// Records that the log was read up to `next`, as it stood at `as_of_ms`. `changed` is the
    /// offset after the last change in what was read, if there was one.
    pub fn record_read(&mut self, as_of_ms: u64, next: u64, changed: Option<u64>) {
        self.advance(self.next.unwrap_or_default().max(next));
        self.end = self.end.max(next);
        if let Some(changed) = changed {
            self.last_known_change = self.last_known_change.max(changed);
            self.last_applied = self.last_applied.max(changed);
        }
        // If gossip has already reported a later change, this read does not cover it and does not
        // show that there are no further changes.
        if next >= self.last_known_change {
            self.update_freshness(as_of_ms, self.own_read(as_of_ms));
        }
        self.note_caught_up();
    }

    /// Records a full read up to `next`, from the store or from a peer. It has no history, so it
    /// does not show where the last change is.
    ///
    /// If the end of the log were gossiped as a change, all peers would seem to have missed one
    /// whenever an instance starts.
    pub fn record_snapshot(&mut self, as_of_ms: u64, next: u64) {
        self.record_read(as_of_ms, next, None);
        self.last_applied = self.last_applied.max(next);
        self.pending_full_read = Some(FullRead { as_of_ms, next });
        self.part_reads.record(as_of_ms, true);
    }

    /// Records a full read up to `next` of which pages are missing. Changes are followed from there, but peers are told
    /// nothing of this log until it was read whole: they would take what is missing for what is not there.
    pub fn record_part(&mut self, as_of_ms: u64, next: u64) {
        let mut part_reads = self.part_reads;
        self.record_snapshot(as_of_ms, next);
        part_reads.record(as_of_ms, false);
        self.part_reads = part_reads;
    }

    /// Records that a full read failed, or could not be used as later changes had been applied meanwhile. A part of the log
    /// is passed on in the end: while the store is away, new instances have nothing else.
    pub fn record_failed_read(&mut self, as_of_ms: u64) {
        if self.part_reads.is_pending() {
            self.part_reads.record(as_of_ms, false);
        }
    }

    fn advance(&mut self, next: u64) {
        self.next = Some(next);
        self.held = Some(next);
    }

    /// Makes the next read a full one, because records were dropped before they were read.
    pub fn require_full_read(&mut self) {
        self.next = None;
    }

    /// Whether records before offset `next` have not been applied here.
    ///
    /// Answers may arrive out of order; one from before a change must not undo the change.
    pub fn lacks_records_before(&self, next: u64) -> bool {
        let is_pending = self.part_reads.is_pending();
        self.held
            .is_none_or(|held| held < next || is_pending && held == next)
    }

    /// Whether the offset of the last change is known. After a full read it is unknown until a peer
    /// gossips it.
    pub fn knows_last_change(&self) -> bool {
        self.pending_full_read.is_none()
    }

    /// Processes the log position of a peer.
    pub fn receive_position(&mut self, since_boot_ms: u64, position: &LogPosition) {
        let as_of_ms = since_boot_ms.saturating_sub(position.age_ms.into());
        self.last_known_change = self.last_known_change.max(position.last_change);
        self.end = self.end.max(position.end);
        // Only a read that went as far as the full read knows the last change in it. Comparing
        // times is not enough: the age of an older read leaves out its transit time, so it may seem
        // younger. Its `last_change`, passed on, would hide from all peers what changed between the
        // two reads.
        if self
            .pending_full_read
            .is_some_and(|full_read| full_read.next <= position.end)
        {
            self.pending_full_read = None;
        }
        // The sender's freshness is that of a list with the change that is missing here. Taken over, it would keep this
        // instance from reading while the peers that it asks lack the change too.
        if self.is_behind() {
            self.behind_since_ms.get_or_insert(since_boot_ms);
            self.remember_news(as_of_ms, position);
            return;
        }
        if !self.is_new(position.read_id) {
            return;
        }
        self.update_freshness(as_of_ms, position.read_id);
    }

    /// Processes the log position of a peer, and remembers the peer if it knows of a change that is missing here.
    pub fn receive_position_of(
        &mut self,
        since_boot_ms: u64,
        position: &LogPosition,
        peer: SocketAddr,
    ) {
        self.receive_position(since_boot_ms, position);
        if position.last_change == self.last_known_change {
            self.informant = Some(peer);
        }
    }

    /// The peer to ask for what is missing here: one that has applied the last change known of. Others may lack it too.
    pub fn informant(&self) -> Option<SocketAddr> {
        self.informant.filter(|_| self.is_behind())
    }

    /// Records that a peer did not answer: another one is asked next.
    pub fn forget_informant(&mut self, peer: SocketAddr) {
        if self.informant == Some(peer) {
            self.informant = None;
        }
    }

    fn own_read(&self, at_ms: u64) -> ReadId {
        ReadId {
            reader: self.own,
            at_ms,
        }
    }

    fn update_freshness(&mut self, as_of_ms: u64, read: ReadId) {
        if as_of_ms > self.as_of_ms {
            self.as_of_ms = as_of_ms;
            self.read_id = read;
        }
    }

    /// Whether a read was not received before; remembers it.
    fn is_new(&mut self, read: ReadId) -> bool {
        if read.reader == self.own {
            return false;
        }
        let known = self
            .peer_reads
            .iter_mut()
            .find(|known| known.reader == read.reader);
        match known {
            Some(known) if (read.at_ms..read.at_ms + REBOOT_GAP_MS).contains(&known.at_ms) => false,
            Some(known) => {
                known.at_ms = read.at_ms;
                true
            }
            None => {
                self.peer_reads.push(read);
                true
            }
        }
    }

    /// Processes a change from a peer. Returns whether the caller must apply it now, which it must
    /// if no change before it was missed.
    pub fn apply_change(&mut self, change: &GossipedChange) -> bool {
        let Some(next) = self.next else {
            return false;
        };
        if next >= change.offset || next < change.previous_offset {
            return false;
        }
        self.advance(change.offset);
        self.last_applied = change.offset;
        self.last_known_change = self.last_known_change.max(change.offset);
        self.end = self.end.max(change.offset);
        self.note_caught_up();
        true
    }

    /// Whether a peer knows of a change that is not applied here.
    pub fn is_behind(&self) -> bool {
        self.next.is_none_or(|next| next < self.last_known_change)
    }

    /// Remembers how fresh this list will be once the last known change is applied.
    fn remember_news(&mut self, as_of_ms: u64, position: &LogPosition) {
        let known = self.news;
        let is_fresher = known.is_none_or(|known| {
            (position.last_change, as_of_ms) > (known.last_change, known.as_of_ms)
        });
        if position.last_change == self.last_known_change && is_fresher {
            self.news = Some(News {
                last_change: position.last_change,
                as_of_ms,
                read_id: position.read_id,
            });
        }
    }

    fn note_caught_up(&mut self) {
        if self.is_behind() {
            return;
        }
        self.behind_since_ms = None;
        if let Some(news) = self.news.take()
            && news.last_change == self.last_known_change
            && self.is_new(news.read_id)
        {
            self.update_freshness(news.as_of_ms, news.read_id);
        }
    }

    /// Time for which changes may have gone unnoticed, in ms.
    pub fn age_ms(&self, since_boot_ms: u64) -> u64 {
        since_boot_ms.saturating_sub(self.as_of_ms)
    }

    /// What this instance must do now if its knowledge may be at most `most_ms` old.
    pub fn next_action(&self, since_boot_ms: u64, most_ms: u64, is_reader: bool) -> FollowAction {
        let is_full_read_due = self.next.is_none() || self.is_repeat_due(since_boot_ms);
        if is_full_read_due || self.age_ms(since_boot_ms) >= most_ms {
            return FollowAction::ReadStore;
        }
        if !self.is_behind() {
            return FollowAction::UpToDate;
        }
        let behind_ms = since_boot_ms.saturating_sub(self.behind_since_ms.unwrap_or(since_boot_ms));
        if is_reader || behind_ms >= ASK_PEERS_MS {
            FollowAction::ReadStore
        } else {
            FollowAction::AskPeer
        }
    }

    /// The log position to gossip. `None` while this instance has not applied all changes it knows
    /// of, or does not know where the last change is.
    pub fn position(&self, since_boot_ms: u64, is_reader: bool) -> Option<LogPosition> {
        if self.is_behind() || self.part_reads.is_pending() {
            return None;
        }
        let last_change = match self.pending_full_read {
            None => self.last_known_change,
            // If no peer gossips it, a reader takes the end of its read as the last change.
            Some(full_read)
                if is_reader && since_boot_ms >= full_read.as_of_ms + FULL_READ_SETTLE_MS =>
            {
                self.last_applied
            }
            Some(_) => return None,
        };
        Some(LogPosition {
            read_id: self.read_id,
            end: self.end,
            last_change,
            age_ms: self.age_ms(since_boot_ms).min(u32::MAX.into()) as u32,
        })
    }
}

/// The latest entry of each upstream in the list, regardless of what this instance has observed by
/// itself.
///
/// Whether a record is a change must not depend on its reader: a reader that has already observed
/// that an upstream is gone would otherwise not pass on the record from which its peers learn it.
#[derive(Debug, Default)]
pub struct ListedEntries {
    entries: HashMap<String, UpstreamEntry>,
}

impl ListedEntries {
    /// Applies a change. Returns whether it does more than confirm that the upstream is alive.
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
                let previous = self.entries.insert(entry.id.clone(), entry.clone());
                previous.as_ref() != Some(&entry)
            }
        }
    }

    /// The latest entry of an upstream; its sequence number is not kept.
    pub fn get(&self, id: &str) -> Option<&UpstreamEntry> {
        self.entries.get(id)
    }

    /// Replaces all entries by the full list.
    pub fn replace(&mut self, entries: &[UpstreamEntry]) {
        self.entries.clear();
        for entry in entries {
            self.apply(&ListChange::Put(entry.clone()));
        }
    }
}
