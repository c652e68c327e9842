//! What an instance tells others of itself, and takes in of what they tell.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::SystemTime;

use tick::since_boot_ms;
use view::cadence::{Bounds, Duty, duty};
use view::hubs::Ranks;
use view::shared::{Heard, Own};
use view::{Change, Entry, Followed, InstanceKey, Mark, Member, News, Told};

use super::{Origin, Relay, changed_id};
use crate::orders;

/// Time after which the order of instances is looked at again without a new record, in ms: a fraction of
/// the time in which one counts as silent.
const RANKS_MS: u64 = 200;

impl Relay {
    /// How this instance follows the store's logs.
    pub fn duty(&self) -> Duty {
        // One that knows nobody yet has read everything itself just now, and soon hears from others.
        if !self.members.borrow().is_known() {
            return Duty::Other;
        }
        self.look_at_ranks();
        let ranks = self.ranks.borrow();
        duty(ranks.rank, ranks.instances, ranks.hubs.len())
    }

    /// Sees to it that the ranks are those of the moment.
    fn look_at_ranks(&self) {
        let members = self.members.borrow();
        let now_ms = self.now_ms();
        let seen = (members.version(), now_ms / RANKS_MS);
        if self.ranks_seen.replace(seen) != seen {
            let own = &self.settings.borrow().name;
            *self.ranks.borrow_mut() = Ranks::of(own, &members);
        }
    }

    /// The heartbeat to be written now, which other instances are told of too.
    pub fn heartbeat(&self) -> Member {
        // A process that starts anew must not seem older than it was before, or its word would be
        // passed over; the time of day may have been set back meanwhile.
        let own = self.settings.borrow().name.clone();
        let before = self.members.borrow().beat_of(&own).unwrap_or_default();
        let beat = unix_ms().max(before + 1).max(self.beat.get() + 1);
        self.beat.set(beat);
        let member = self.heartbeat_view();
        let now_ms = self.now_ms();
        self.shared.borrow_mut().joined(now_ms, member.clone());
        member
    }

    /// A heartbeat of this instance stands in the store.
    ///
    /// It does not count as knowing the instances: one that has read nobody else's yet would take itself
    /// for the only one.
    pub fn wrote(&self, member: Member) {
        let mut members = self.members.borrow_mut();
        if members.is_known() {
            members.heard(self.now_ms(), member);
        }
    }

    /// What the instance would say of itself now.
    pub fn heartbeat_view(&self) -> Member {
        let settings = self.settings.borrow();
        Member {
            name: settings.name.clone(),
            address: settings.address,
            peer: settings.peer,
            zone: settings.zone.clone(),
            ready: self.is_ready(),
            beat: self.beat.get(),
            link_mbps: settings.link_mbps,
        }
    }

    /// What other instances are to be told now, and where they are.
    pub fn told_now(&self) -> Vec<(SocketAddr, Told)> {
        let now_ms = self.now_ms();
        let expired = self.shared.borrow_mut().expire(now_ms);
        self.take_loads(&expired);
        self.settle();
        self.note_poisonous();
        let own = self.own();
        let key = InstanceKey::of(&own.member.name);
        if own.member.ready && self.members.borrow().is_known() {
            self.members.borrow_mut().lives(now_ms, key);
        }
        self.look_at_ranks();
        self.shared
            .borrow_mut()
            .tick(now_ms, own, &self.ranks.borrow())
    }

    fn own(&self) -> Own {
        let now_ms = self.now_ms();
        let since_boot_ms = since_boot_ms();
        let duty = self.duty();
        let reads_for_others = duty.is_reader();
        let upstreams = self.upstreams.borrow();
        let mark = |log: &RefCell<Followed>| log.borrow().mark(since_boot_ms, reads_for_others);
        Own {
            member: self.heartbeat_view(),
            loads: upstreams.iter().filter_map(|it| it.outstanding()).collect(),
            reads: self.reads.take(),
            turning: upstreams
                .iter()
                .filter_map(|each| each.turning_told(now_ms))
                .collect(),
            demand: self.orders.demand(now_ms),
            gives_after: orders::gives_after(self, duty),
            list: mark(&self.list),
            config: mark(&self.configs),
            poisonous: self.poisonous(),
        }
    }

    /// Another instance told something.
    pub fn heard(&self, told: &Told, peer: SocketAddr) {
        let now_ms = self.now_ms();
        self.take_members(now_ms, told);
        let heard = self.shared.borrow_mut().heard(now_ms, told, peer);
        self.take_loads(&heard);
        self.take_news(now_ms, told);
        self.take_fates(now_ms, told);
        let upstreams = self.upstreams.borrow();
        for turning in &told.turning {
            if let Some(upstream) = upstreams.get_by_key(turning.upstream) {
                upstream.turns_to(now_ms, turning.stage, turning.left_ms.into(), false);
            }
        }
        for read in &told.reads {
            if let Some(upstream) = upstreams.get_by_key(read.upstream) {
                let kv_tokens = self.engine_limits(&upstream.service).kv_tokens;
                let tokens = f64::from(read.tokens);
                upstream.keeps(read.part, tokens, read.reading, kv_tokens as f64);
            }
        }
    }

    fn take_members(&self, now_ms: u64, told: &Told) {
        let mut members = self.members.borrow_mut();
        for member in &told.members {
            if members.heard_from_another(now_ms, member) {
                self.shared.borrow_mut().joined(now_ms, member.clone());
            }
        }
        for key in &told.alive {
            members.told(now_ms, *key);
        }
    }

    fn take_loads(&self, heard: &Heard) {
        let shared = self.shared.borrow();
        let upstreams = self.upstreams.borrow();
        if !shared.hears() {
            upstreams.iter().for_each(|each| each.others_have(None));
            return;
        }
        for upstream in heard
            .loads
            .iter()
            .filter_map(|key| upstreams.get_by_key(*key))
        {
            upstream.others_have(Some(shared.load(upstream.key)));
        }
    }

    fn take_news(&self, now_ms: u64, told: &Told) {
        let since_boot_ms = since_boot_ms();
        for news in &told.news {
            if self.list.borrow_mut().heard_news(news) {
                self.said.borrow_mut().is_news(&news.change);
                let (change, doubt_ms) = (news.change.clone(), news.doubt_ms.into());
                let id = changed_id(&change);
                let effect = self
                    .upstreams
                    .borrow_mut()
                    .apply_told(now_ms, change, doubt_ms);
                self.note_effect(&id, effect, Origin::Told);
                self.shared.borrow_mut().add_news(now_ms, news.clone());
            }
        }
        if let Some(mark) = &told.list {
            self.take_mark(since_boot_ms, mark);
        }
        if let Some(mark) = &told.config {
            self.configs.borrow_mut().heard(since_boot_ms, mark);
        }
    }

    fn take_mark(&self, since_boot_ms: u64, mark: &Mark) {
        let mut list = self.list.borrow_mut();
        let was_sure = list.is_sure();
        list.heard(since_boot_ms, mark);
        if !was_sure && list.is_sure() {
            log::info!(
                changed = mark.changed, taken = list.taken(), mark_age_ms = mark.age_ms,
                reader:? = mark.source.reader;
                "last change of the list heard of"
            );
        }
    }

    /// The list of upstreams could not be read.
    ///
    /// While others vouch for it, the store is there and only turns this instance away: nothing can have
    /// lapsed with it, and doubting that entries have left would keep leaving upstreams in use.
    pub fn could_not_read_list(&self, bounds: &Bounds) {
        let most_ms = bounds.list_age_ms(Duty::Other);
        if self.list_age_ms().is_none_or(|age_ms| age_ms >= most_ms) {
            self.upstreams.borrow_mut().unreachable(self.now_ms());
        }
    }

    /// The store holds an older copy of the list, and what upstreams wrote lately is written again.
    ///
    /// An upstream that came lately is missing in the copy though it lives. Dropped at once, it would be out of
    /// use until its next heartbeat.
    pub fn list_lacks_the_latest(&self) {
        self.upstreams.borrow_mut().unreachable(self.now_ms());
    }

    /// The whole list was read, as it stood at `as_of_ms` up to the offset `next`.
    ///
    /// Another instance may have told more while the answer was on its way. The entries in it are older
    /// then, and would bring back an upstream whose entry went; the record that says so would not be read again.
    pub fn read_whole_list(&self, as_of_ms: u64, next: u64, entries: Vec<Entry>) {
        let is_older = self.list.borrow().next().is_some_and(|own| own >= next);
        if is_older {
            return;
        }
        self.said.borrow_mut().replace(&entries);
        self.replace(entries, Origin::Whole);
        self.list.borrow_mut().read_whole(as_of_ms, next);
    }

    /// Records of the list were read, as it stood at `as_of_ms`. What another instance told while they were on
    /// their way is passed over, as with the whole list.
    pub fn read_changes(&self, as_of_ms: u64, read: ChangesRead) {
        let (from, mut before) = {
            let list = self.list.borrow();
            (list.next().unwrap_or_default(), list.taken())
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
        self.list.borrow_mut().read(as_of_ms, read.next, changed);
    }

    /// Takes in a change that was read at an offset, `before` being the one after the last change before it;
    /// gives the offset after it if it says something new.
    fn read_change(&self, before: u64, offset: u64, change: Change) -> Option<u64> {
        let is_news = self.said.borrow_mut().is_news(&change);
        let doubt_ms = self.upstreams.borrow().doubt_ms(self.now_ms());
        self.apply(change.clone(), Origin::Read);
        let after = offset + 1;
        let news = News {
            before,
            after,
            change,
            doubt_ms: doubt_ms as u32,
        };
        is_news.then(|| {
            self.shared.borrow_mut().add_news(self.now_ms(), news);
            after
        })
    }
}

/// What a read of the list brought.
#[derive(Debug, Clone)]
pub struct ChangesRead {
    /// Changes, each with the offset of its record.
    pub changes: Vec<(u64, Change)>,
    /// Offset after the last record.
    pub next: u64,
    /// Offset at which the log ended; beyond `next` if one answer could not bring all.
    pub end: u64,
}

/// Time of day; a clock set before 1970 counts as 0, and the caller goes by what it knows of its own
/// earlier records instead.
pub(super) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
