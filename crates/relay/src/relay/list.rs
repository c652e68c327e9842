//! Updates of the list of upstreams.
//!
//! Updates come from records and whole lists read from the store, from gossip and from snapshots of peers, and
//! may arrive out of order. Each carries its log position and is applied only beyond the position reached
//! before; otherwise an older update would bring back an upstream that left. See docs/design/views.md.

use std::net::SocketAddr;

use view::polling::{FreshnessBounds, ReaderRole};
use view::{GossipedChange, ListChange, LogPosition, UpstreamEntry, UpstreamKey};

use super::{Relay, age_ms};
use crate::upstream::Upstream;
use crate::upstreams::{Effect, Unconfirmed};

/// Source of a change to the list of upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// A log record that this instance read.
    Read,
    /// The whole list, read from the store.
    Whole,
    /// A log record that a peer read and gossiped.
    Told,
    /// The snapshot of a peer.
    Asked,
    /// An unconfirmed entry that did not come back in time.
    Lapse,
}

/// Result of reading records of the list.
#[derive(Debug, Clone)]
pub struct ChangesRead {
    /// Changes in log order, each with the offset of its record.
    pub changes: Vec<(u64, ListChange)>,
    /// Offset after the last record.
    pub next: u64,
    /// End of the log at the time of the read; beyond `next` if one response could not hold all records.
    pub end: u64,
}

impl Relay {
    /// Time for which a change of the list of upstreams may have gone unnoticed, in ms; none if the
    /// list was never read.
    pub fn list_age_ms(&self) -> Option<u64> {
        age_ms(&self.list_position.borrow())
    }

    /// Applies one change to the list of upstreams and logs its effect.
    pub fn apply_change(&self, change: ListChange, origin: Origin) {
        let id = changed_id(&change);
        let effect = self.upstreams.borrow_mut().apply(self.now_ms(), change);
        self.note_effect(&id, effect, origin);
    }

    /// Replaces the list of upstreams: those missing in `entries` are gone.
    pub fn replace_list(&self, entries: Vec<UpstreamEntry>, origin: Origin) {
        let effects = self.upstreams.borrow_mut().replace(self.now_ms(), entries);
        for (id, effect) in effects {
            self.note_effect(&id, effect, origin);
        }
        self.watch_versions();
    }

    /// Entries of the upstreams in use, each in the state that the list has, and those of them that have only announced
    /// their leaving in answers.
    ///
    /// A peer must not take an announcement for a record. It would count the record of the leaving as no change, and not
    /// pass it on to instances that had no answer of that upstream.
    pub(super) fn listed_upstreams(&self) -> (Vec<UpstreamEntry>, Vec<UpstreamKey>) {
        let listed = self.last_listed.borrow();
        let mut announced = Vec::new();
        let mut entries = self.upstreams.borrow().entries(self.now_ms());
        for entry in &mut entries {
            let Some(listed) = listed.get(&entry.id) else {
                continue;
            };
            if listed.state != entry.state && listed.started_ms == entry.started_ms {
                announced.push(UpstreamKey::of(&entry.id, entry.started_ms));
                entry.state = listed.state;
            }
        }
        (entries, announced)
    }

    /// Takes upstreams out of use that announced to a peer that they are leaving.
    pub fn apply_announced(&self, announced: &[UpstreamKey]) {
        let mut upstreams = self.upstreams.borrow_mut();
        for key in announced {
            let Some(upstream) = upstreams.get_by_key(*key).cloned() else {
                continue;
            };
            if upstreams.announce_leaving(&upstream) {
                log::info!(upstream = upstream.id; "upstream announced to a peer that it is leaving");
            }
        }
    }

    /// Marks the entries that a peer's snapshot names as unconfirmed.
    pub fn mark_unconfirmed(&self, unconfirmed: &[Unconfirmed]) {
        self.upstreams
            .borrow_mut()
            .mark_unconfirmed(self.now_ms(), unconfirmed);
    }

    /// Applies a change that a peer gossiped, unless it is already known or an earlier change is missing
    /// here.
    pub(super) fn apply_gossiped_change(&self, now_ms: u64, gossiped: &GossipedChange) {
        if !self.list_position.borrow_mut().apply_change(gossiped) {
            return;
        }
        self.last_listed.borrow_mut().apply(&gossiped.change);
        let (change, may_have_lapsed_ms) =
            (gossiped.change.clone(), gossiped.unconfirmed_ms.into());
        let id = changed_id(&change);
        let effect =
            self.upstreams
                .borrow_mut()
                .apply_from_peer(now_ms, change, may_have_lapsed_ms);
        self.note_effect(&id, effect, Origin::Told);
        self.gossip
            .borrow_mut()
            .add_list_change(now_ms, gossiped.clone());
    }

    /// Records the log position that a peer gossiped for the list.
    pub(super) fn apply_list_position(
        &self,
        since_boot_ms: u64,
        position: &LogPosition,
        peer: SocketAddr,
    ) {
        let mut list = self.list_position.borrow_mut();
        let knew_last_change = list.knows_last_change();
        let was_behind = list.is_behind();
        list.receive_position_of(since_boot_ms, position, peer);
        if !was_behind && list.is_behind() {
            log::info!(
                peer:%, changed = position.last_change, list_next = list.next_offset().unwrap_or_default(),
                list_age_ms = age_ms(&list).unwrap_or(u64::MAX), mark_age_ms = position.age_ms,
                reader:? = position.read_id.reader;
                "change of the list of upstreams missed"
            );
        }
        if !knew_last_change && list.knows_last_change() {
            log::info!(
                changed = position.last_change, taken = list.last_applied_change(), mark_age_ms = position.age_ms,
                reader:? = position.read_id.reader;
                "latest change of the list of upstreams learned from a peer"
            );
        }
    }

    /// Handles a failed read of the list of upstreams.
    ///
    /// While peers confirm a recent list, the store is available and rejects only this instance. Nothing can
    /// have lapsed then, and treating removed entries as unconfirmed would keep leaving upstreams in use.
    pub fn list_read_failed(&self, bounds: &FreshnessBounds) {
        let max_age_ms = bounds.max_list_age_ms(ReaderRole::Other);
        if self.list_age_ms().is_none_or(|age_ms| age_ms >= max_age_ms) {
            self.upstreams.borrow_mut().store_unreachable(self.now_ms());
        }
    }

    /// Handles a store that was restored from an older copy of the list.
    ///
    /// An upstream that joined after the copy is missing from it until its next heartbeat. Its entry becomes
    /// unconfirmed, so that it is not dropped for that time.
    pub fn list_rolled_back(&self) {
        self.upstreams.borrow_mut().store_unreachable(self.now_ms());
    }

    /// Applies the whole list as of `as_of_ms`, up to the offset `next`.
    ///
    /// Gossip may have brought later changes while the response was on its way. The response is dropped then:
    /// it could restore an upstream whose entry was removed, and the record of the removal would not be read
    /// again.
    pub fn take_whole_list(&self, as_of_ms: u64, next: u64, entries: Vec<UpstreamEntry>) {
        if self.replace_older_list(as_of_ms, next, entries) {
            let mut position = self.list_position.borrow_mut();
            position.record_snapshot(as_of_ms, next);
        }
    }

    /// Applies a list like [`Relay::take_whole_list`] of which entries are missing; it will be read again.
    pub fn take_part_of_list(&self, as_of_ms: u64, next: u64, entries: Vec<UpstreamEntry>) {
        if self.replace_older_list(as_of_ms, next, entries) {
            self.list_position.borrow_mut().record_part(as_of_ms, next);
        }
    }

    /// Replaces the list unless it is as new as this one; returns whether it did.
    fn replace_older_list(&self, as_of_ms: u64, next: u64, entries: Vec<UpstreamEntry>) -> bool {
        let mut position = self.list_position.borrow_mut();
        if position.covers(next) {
            position.record_failed_read(as_of_ms);
            return false;
        }
        drop(position);
        let may_be_used = |entry: &UpstreamEntry| !self.waits_for_store(entry);
        let entries: Vec<UpstreamEntry> = entries.into_iter().filter(may_be_used).collect();
        self.last_listed.borrow_mut().replace(&entries);
        self.replace_list(entries, Origin::Whole);
        true
    }

    /// Applies records of the list read as of `as_of_ms`. Records that gossip has brought meanwhile are
    /// skipped, for the same reason as in [`Relay::take_whole_list`].
    pub fn take_changes(&self, as_of_ms: u64, read: ChangesRead) {
        let (from, mut before) = {
            let list = self.list_position.borrow();
            (
                list.next_offset().unwrap_or_default(),
                list.last_applied_change(),
            )
        };
        let mut changed = None;
        for (offset, change) in read.changes {
            // An upstream that has to wait tells of itself again with its next heartbeat.
            if offset < from || self.change_waits_for_store(&change) {
                continue;
            }
            if let Some(after) = self.apply_record(before, offset, change) {
                changed = Some(after);
                before = after;
            }
        }
        // Records that did not fit into the response may hold changes, so they are read at once.
        if read.next < read.end {
            changed = Some(read.end);
        }
        self.list_position
            .borrow_mut()
            .record_read(as_of_ms, read.next, changed);
    }

    /// Applies and gossips the change of the record at `offset`. `before` is the offset after the last
    /// record with a real change. Returns the offset after this one if it is a real change, not a heartbeat.
    fn apply_record(&self, before: u64, offset: u64, change: ListChange) -> Option<u64> {
        let is_real_change = self.last_listed.borrow_mut().apply(&change);
        let may_have_lapsed_ms = self.upstreams.borrow().may_have_lapsed_ms(self.now_ms());
        self.apply_change(change.clone(), Origin::Read);
        let after = offset + 1;
        let gossiped = GossipedChange {
            previous_offset: before,
            offset: after,
            change,
            unconfirmed_ms: may_have_lapsed_ms as u32,
        };
        is_real_change.then(|| {
            self.gossip
                .borrow_mut()
                .add_list_change(self.now_ms(), gossiped);
            after
        })
    }

    /// Removes unconfirmed upstreams whose entries did not come back in time.
    pub fn remove_lapsed(&self) {
        let removed = self.upstreams.borrow_mut().remove_lapsed(self.now_ms());
        for id in removed {
            self.note_effect(&id, Effect::Left, Origin::Lapse);
        }
    }

    /// Removes an upstream at whose address another incarnation answered.
    pub fn remove_replaced(&self, upstream: &Upstream) {
        self.upstreams.borrow_mut().remove_replaced(&upstream.id);
        self.record_upstream_ended(&upstream.id);
        log::info!(upstream = upstream.id; "upstream replaced by another incarnation");
    }

    /// Logs the effect of a change on an upstream, and reports an ended incarnation to the failure
    /// attribution.
    fn note_effect(&self, id: &str, effect: Effect, origin: Origin) {
        let what = match effect {
            Effect::Unchanged => return,
            Effect::Joined => "upstream joined",
            Effect::Changed => "upstream changed",
            Effect::Left => "upstream left",
            Effect::Unconfirmed => "upstream's entry is gone and may have lapsed with the store",
        };
        self.log_upstream(id, what, origin);
        self.room_waiters.wake();
        if effect == Effect::Joined {
            let is_told = matches!(origin, Origin::Told | Origin::Asked);
            self.note_version_came(id, is_told);
        }
        // The restart of an upstream under the same id appears only as `Joined`.
        if matches!(effect, Effect::Joined | Effect::Left) {
            self.record_upstream_ended(id);
        }
    }

    /// Logs a change of an upstream with its origin, and the log position and age of the list before it.
    fn log_upstream(&self, id: &str, what: &str, origin: Origin) {
        let upstreams = self.upstreams.borrow();
        let entry = upstreams.get(id).map(|upstream| upstream.entry());
        let list = self.list_position.borrow();
        log::info!(
            upstream = id, origin:? = origin,
            standing:? = entry.as_ref().map(|entry| entry.state),
            stage:? = entry.as_ref().map(|entry| entry.stage),
            seq = entry.as_ref().map_or(0, |entry| entry.seq),
            list_next = list.next_offset().unwrap_or_default(),
            list_taken = list.last_applied_change(),
            list_age_ms = age_ms(&list).unwrap_or(u64::MAX);
            "{what}"
        );
    }
}

fn changed_id(change: &ListChange) -> String {
    match change {
        ListChange::Put(entry) => entry.id.clone(),
        ListChange::Gone(id) => id.clone(),
    }
}
