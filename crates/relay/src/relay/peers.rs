//! What an instance tells others of itself, and takes in of what they tell.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::SystemTime;

use tick::since_boot_ms;
use view::gossip::{ChangedLoads, LocalState};
use view::hubs::HubRanking;
use view::polling::{ReaderRole, reader_role};
use view::{GossipMessage, InstanceKey, LogFollower, Member};

use super::Relay;
use crate::{role_orders, singleton_tasks};

/// Time after which the order of instances is looked at again without a new record, in ms: a fraction of
/// the time in which one counts as silent.
const RANKS_MS: u64 = 200;

impl Relay {
    /// How this instance follows the store's logs.
    pub fn reader_role(&self) -> ReaderRole {
        // One that knows nobody yet has read everything itself just now, and soon hears from others.
        if !self.members.borrow().has_members() {
            return ReaderRole::Other;
        }
        self.look_at_ranks();
        let ranks = self.ranks.borrow();
        reader_role(ranks.rank, ranks.instances, ranks.hubs.len())
    }

    /// Sees to it that the ranks are those of the moment.
    pub(super) fn look_at_ranks(&self) {
        let members = self.members.borrow();
        let now_ms = self.now_ms();
        let seen = (members.version(), now_ms / RANKS_MS);
        if self.ranks_seen.replace(seen) != seen {
            let own = &self.settings.borrow().name;
            *self.ranks.borrow_mut() = HubRanking::of(own, &members);
        }
    }

    /// The heartbeat to be written now, which other instances are told of too.
    pub fn heartbeat(&self) -> Member {
        // A process that starts anew must not seem older than it was before, or its word would be
        // passed over; the time of day may have been set back meanwhile.
        let own = self.settings.borrow().name.clone();
        let before = self
            .members
            .borrow()
            .heartbeat_seq(&own)
            .unwrap_or_default();
        let beat = unix_ms().max(before + 1).max(self.beat.get() + 1);
        self.beat.set(beat);
        let member = self.own_member();
        let now_ms = self.now_ms();
        self.gossip.borrow_mut().add_member(now_ms, member.clone());
        member
    }

    /// A heartbeat of this instance stands in the store.
    ///
    /// It does not count as knowing the instances: one that has read nobody else's yet would take itself
    /// for the only one.
    pub fn heartbeat_stored(&self, member: Member) {
        let mut members = self.members.borrow_mut();
        if members.has_members() {
            members.record_heartbeat(self.now_ms(), member);
        }
    }

    /// What the instance would say of itself now.
    pub fn own_member(&self) -> Member {
        let settings = self.settings.borrow();
        Member {
            name: settings.name.clone(),
            address: settings.address,
            gossip_address: settings.peer,
            zone: settings.zone.clone(),
            ready: self.is_ready(),
            heartbeat_seq: self.beat.get(),
            link_mbps: settings.link_mbps,
        }
    }

    /// What other instances are to be told now, and where they are.
    pub fn due_gossip(&self) -> Vec<(SocketAddr, GossipMessage)> {
        let now_ms = self.now_ms();
        let expired = self.gossip.borrow_mut().expire(now_ms);
        self.take_loads(&expired);
        self.remove_lapsed();
        self.note_poisonous();
        let own = self.own();
        let key = InstanceKey::of(&own.member.name);
        if own.member.ready && self.members.borrow().has_members() {
            self.members.borrow_mut().record_self_alive(now_ms, key);
        }
        self.look_at_ranks();
        let ranks = self.ranks.borrow();
        let mut out = self.gossip.borrow_mut().tick(now_ms, own, &ranks);
        let keepers = ranks.hubs.iter().take(singleton_tasks::LEADER_CANDIDATES);
        let keepers: Vec<SocketAddr> = keepers.filter_map(|keeper| keeper.gossip_address).collect();
        self.singleton_tasks.add_tallies(now_ms, &mut out, &keepers);
        out
    }

    /// Instances before this one in the order in which they take parts for the others.
    pub fn rank(&self) -> usize {
        self.look_at_ranks();
        self.ranks.borrow().rank
    }

    fn own(&self) -> LocalState {
        let now_ms = self.now_ms();
        let since_boot_ms = since_boot_ms();
        let duty = self.reader_role();
        let reads_for_others = duty.is_reader();
        let upstreams = self.upstreams.borrow();
        let mark =
            |log: &RefCell<LogFollower>| log.borrow().position(since_boot_ms, reads_for_others);
        LocalState {
            member: self.own_member(),
            loads: upstreams.iter().filter_map(|it| it.outstanding()).collect(),
            prefilled_parts: self.prefix_news.take(),
            role_changes: upstreams
                .iter()
                .filter_map(|each| each.own_role_change(now_ms))
                .collect(),
            demand: self.role_orders.demand(now_ms),
            last_order_token: role_orders::leader_fence(self, duty),
            last_task_token: singleton_tasks::leader_fence(self),
            clock_ms: unix_ms(),
            fleet_clock_ms: self.singleton_tasks.fleet_ms(),
            list_position: mark(&self.list_position),
            config_position: mark(&self.config_position),
            poison: self.poison_requests(),
        }
    }

    /// Another instance told something.
    pub fn receive_gossip(&self, told: &GossipMessage, peer: SocketAddr) {
        let now_ms = self.now_ms();
        self.take_members(now_ms, told);
        let heard = self.gossip.borrow_mut().receive(now_ms, told, peer);
        self.take_loads(&heard);
        self.take_news(now_ms, told);
        self.take_fates(now_ms, told);
        self.take_limits(now_ms, told);
        self.singleton_tasks
            .receive_gossip(self.settings.borrow().singleton_tasks, told);
        let upstreams = self.upstreams.borrow();
        for turning in &told.role_changes {
            if let Some(upstream) = upstreams.get_by_key(turning.upstream) {
                upstream.begin_role_change(
                    now_ms,
                    turning.stage,
                    turning.remaining_ms.into(),
                    false,
                );
            }
        }
        for read in &told.prefilled_parts {
            if let Some(upstream) = upstreams.get_by_key(read.upstream) {
                let kv_tokens = self.engine_limits(&upstream.service).kv_tokens;
                let tokens = f64::from(read.tokens);
                upstream.note_cached_part(read.part, tokens, read.progress, kv_tokens as f64);
            }
        }
    }

    fn take_members(&self, now_ms: u64, told: &GossipMessage) {
        let mut members = self.members.borrow_mut();
        for member in &told.members {
            if members.receive_heartbeat(now_ms, member) {
                self.gossip.borrow_mut().add_member(now_ms, member.clone());
            }
        }
        for key in &told.alive {
            members.record_alive(now_ms, *key);
        }
    }

    fn take_loads(&self, heard: &ChangedLoads) {
        let shared = self.gossip.borrow();
        let upstreams = self.upstreams.borrow();
        if !shared.has_senders() {
            upstreams.iter().for_each(|each| each.set_peer_load(None));
            return;
        }
        for upstream in heard
            .upstreams
            .iter()
            .filter_map(|key| upstreams.get_by_key(*key))
        {
            upstream.set_peer_load(Some(shared.load(upstream.key)));
        }
    }

    fn take_news(&self, now_ms: u64, told: &GossipMessage) {
        let since_boot_ms = since_boot_ms();
        for news in &told.list_changes {
            self.take_change(now_ms, news);
        }
        if let Some(mark) = &told.list_position {
            self.take_mark(since_boot_ms, mark);
        }
        if let Some(mark) = &told.config_position {
            self.config_position
                .borrow_mut()
                .receive_position(since_boot_ms, mark);
        }
    }
}

/// Time of day; a clock set before 1970 counts as 0, and the caller goes by what it knows of its own
/// earlier records instead.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
