//! How an instance takes in the list of upstreams, from whomever it comes.
//!
//! Records are read, the whole list is read, changes are told, and other instances are asked for theirs. Answers
//! overtake each other, so whatever comes has its place in the log, and counts only beyond what was taken in
//! before: else an older one would bring back an upstream that left. See docs/design/views.md.

use view::polling::{FreshnessBounds, ReaderRole};
use view::{GossipedChange, ListChange, LogPosition, UpstreamEntry};

use super::{Relay, age_ms};
use crate::upstream::Upstream;
use crate::upstreams::{Effect, Unconfirmed};

/// Where a change of the list of upstreams came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// A record of the log that this instance read.
    Read,
    /// The whole list, read at once.
    Whole,
    /// A record that another instance read, and told.
    Told,
    /// The list of another instance that was asked.
    Asked,
    /// An entry that lapsed with the store and did not come back in time.
    Lapse,
}

/// What a read of the list brought.
#[derive(Debug, Clone)]
pub struct ChangesRead {
    /// Changes, each with the offset of its record.
    pub changes: Vec<(u64, ListChange)>,
    /// Offset after the last record.
    pub next: u64,
    /// Offset at which the log ended; beyond `next` if one answer could not bring all.
    pub end: u64,
}

impl Relay {
    /// Time for which a change of the list of upstreams may have gone unnoticed; nothing if the list
    /// was never read.
    pub fn list_age_ms(&self) -> Option<u64> {
        age_ms(&self.list_position.borrow())
    }

    /// Takes in a change of the list of upstreams.
    pub fn apply_change(&self, change: ListChange, origin: Origin) {
        let id = changed_id(&change);
        let effect = self.upstreams.borrow_mut().apply(self.now_ms(), change);
        self.note_effect(&id, effect, origin);
    }

    /// Takes in the whole list of upstreams.
    pub fn replace_list(&self, entries: Vec<UpstreamEntry>, origin: Origin) {
        let effects = self.upstreams.borrow_mut().replace(self.now_ms(), entries);
        for (id, effect) in effects {
            self.note_effect(&id, effect, origin);
        }
    }

    /// Takes over what another instance doubts of the list that it told.
    pub fn mark_unconfirmed(&self, doubts: &[Unconfirmed]) {
        self.upstreams
            .borrow_mut()
            .mark_unconfirmed(self.now_ms(), doubts);
    }

    /// Another instance told a change, which counts if nothing before it was missed.
    pub(super) fn take_change(&self, now_ms: u64, news: &GossipedChange) {
        if !self.list_position.borrow_mut().apply_change(news) {
            return;
        }
        self.last_listed.borrow_mut().apply(&news.change);
        let (change, doubt_ms) = (news.change.clone(), news.unconfirmed_ms.into());
        let id = changed_id(&change);
        let effect = self
            .upstreams
            .borrow_mut()
            .apply_from_peer(now_ms, change, doubt_ms);
        self.note_effect(&id, effect, Origin::Told);
        self.gossip
            .borrow_mut()
            .add_list_change(now_ms, news.clone());
    }

    /// Another instance told where the list stands.
    pub(super) fn take_mark(&self, since_boot_ms: u64, mark: &LogPosition) {
        let mut list = self.list_position.borrow_mut();
        let was_sure = list.knows_last_change();
        list.receive_position(since_boot_ms, mark);
        if !was_sure && list.knows_last_change() {
            log::info!(
                changed = mark.last_change, taken = list.last_applied_change(), mark_age_ms = mark.age_ms,
                reader:? = mark.read_id.reader;
                "last change of the list heard of"
            );
        }
    }

    /// The list of upstreams could not be read.
    ///
    /// While others vouch for it, the store is there and only turns this instance away: nothing can have
    /// lapsed with it, and doubting that entries have left would keep leaving upstreams in use.
    pub fn list_read_failed(&self, bounds: &FreshnessBounds) {
        let most_ms = bounds.max_list_age_ms(ReaderRole::Other);
        if self.list_age_ms().is_none_or(|age_ms| age_ms >= most_ms) {
            self.upstreams.borrow_mut().store_unreachable(self.now_ms());
        }
    }

    /// The store holds an older copy of the list, and what upstreams wrote lately is written again.
    ///
    /// An upstream that came lately is missing in the copy though it lives. Dropped at once, it would be out of
    /// use until its next heartbeat.
    pub fn list_rolled_back(&self) {
        self.upstreams.borrow_mut().store_unreachable(self.now_ms());
    }

    /// The whole list was read, as it stood at `as_of_ms` up to the offset `next`.
    ///
    /// Another instance may have told more while the answer was on its way. The entries in it are older
    /// then, and would bring back an upstream whose entry went; the record that says so would not be read again.
    pub fn take_whole_list(&self, as_of_ms: u64, next: u64, entries: Vec<UpstreamEntry>) {
        let is_older = self
            .list_position
            .borrow()
            .next_offset()
            .is_some_and(|own| own >= next);
        if is_older {
            return;
        }
        self.last_listed.borrow_mut().replace(&entries);
        self.replace_list(entries, Origin::Whole);
        self.list_position
            .borrow_mut()
            .record_snapshot(as_of_ms, next);
    }

    /// Records of the list were read, as it stood at `as_of_ms`. What another instance told while they were on
    /// their way is passed over, as with the whole list.
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
            if offset < from {
                continue;
            }
            if let Some(after) = self.read_change(before, offset, change) {
                changed = Some(after);
                before = after;
            }
        }
        // What one answer could not bring may hold news, and is read at once.
        if read.next < read.end {
            changed = Some(read.end);
        }
        self.list_position
            .borrow_mut()
            .record_read(as_of_ms, read.next, changed);
    }

    /// Takes in a change that was read at an offset, `before` being the one after the last change before it;
    /// gives the offset after it if it says something new.
    fn read_change(&self, before: u64, offset: u64, change: ListChange) -> Option<u64> {
        let is_news = self.last_listed.borrow_mut().apply(&change);
        let doubt_ms = self.upstreams.borrow().may_have_lapsed_ms(self.now_ms());
        self.apply_change(change.clone(), Origin::Read);
        let after = offset + 1;
        let news = GossipedChange {
            previous_offset: before,
            offset: after,
            change,
            unconfirmed_ms: doubt_ms as u32,
        };
        is_news.then(|| {
            self.gossip
                .borrow_mut()
                .add_list_change(self.now_ms(), news);
            after
        })
    }

    /// Drops what lapsed from the list and did not come back.
    pub fn remove_lapsed(&self) {
        let left = self.upstreams.borrow_mut().remove_lapsed(self.now_ms());
        for id in left {
            self.note_effect(&id, Effect::Left, Origin::Lapse);
        }
    }

    /// Another incarnation answered at an upstream's address, so the one known is gone.
    pub fn remove_replaced(&self, upstream: &Upstream) {
        self.upstreams.borrow_mut().remove_replaced(&upstream.id);
        self.note_left(&upstream.id);
        log::info!(upstream = upstream.id; "upstream replaced by another incarnation");
    }

    /// Writes a line on what became of an upstream, and forgets what rested on one that ended.
    fn note_effect(&self, id: &str, effect: Effect, origin: Origin) {
        let what = match effect {
            Effect::Unchanged => return,
            Effect::Joined => "upstream joined",
            Effect::Changed => "upstream changed",
            Effect::Left => "upstream left",
            Effect::Unconfirmed => "upstream's entry lapsed with the store",
        };
        self.line_on_upstream(id, what, origin);
        // One that joins may do so under the id of one that has ended, if it was kept through a restart.
        if matches!(effect, Effect::Joined | Effect::Left) {
            self.note_left(id);
        }
    }

    /// Writes what became of an upstream, and what that rests on: where the change came from, how far the
    /// list was taken in before it, and as of when.
    fn line_on_upstream(&self, id: &str, what: &str, origin: Origin) {
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
