//! Gossip with peers: what this instance announces, and how it applies what peers announce.

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

/// Interval at which instances are ranked again although no member record changed, in ms. It is a fraction
/// of the time after which an instance counts as silent.
const RANKS_MAX_AGE_MS: u64 = 200;

impl Relay {
    /// The reader role in which this instance follows the store's logs.
    pub fn reader_role(&self) -> ReaderRole {
        // An instance that knows no member yet has just read everything itself, and soon receives gossip.
        if !self.members.borrow().has_members() {
            return ReaderRole::Other;
        }
        self.update_ranks();
        let ranks = self.ranks.borrow();
        reader_role(ranks.rank, ranks.instances, ranks.hubs.len())
    }

    /// Ranks the instances again if a member changed or the ranks are too old.
    pub(super) fn update_ranks(&self) {
        let members = self.members.borrow();
        let now_ms = self.now_ms();
        let seen = (members.version(), now_ms / RANKS_MAX_AGE_MS);
        if self.ranks_seen.replace(seen) != seen {
            let own = &self.settings.borrow().name;
            *self.ranks.borrow_mut() = HubRanking::of(own, &members);
        }
    }

    /// The heartbeat to write to the store now; it is gossiped too.
    pub fn heartbeat(&self) -> Member {
        let member = self.sign_of_life();
        let now_ms = self.now_ms();
        self.gossip.borrow_mut().add_member(now_ms, member.clone());
        member
    }

    /// The same, for those that read the store since they hear no gossip; no one else has to learn of it.
    pub fn sign_of_life(&self) -> Member {
        // Peers ignore a heartbeat number below one they know. The wall clock may have been set back
        // since the previous process wrote its last one.
        let own = self.settings.borrow().name.clone();
        let before = self
            .members
            .borrow()
            .heartbeat_seq(&own)
            .unwrap_or_default();
        let heartbeat_seq = unix_ms().max(before + 1).max(self.heartbeat_seq.get() + 1);
        self.heartbeat_seq.set(heartbeat_seq);
        self.own_member()
    }

    /// Records that a heartbeat of this instance is in the store.
    ///
    /// It is ignored while no member is known: an instance that has not read the others' heartbeats yet would
    /// consider itself the only one.
    pub fn heartbeat_stored(&self, member: Member) {
        let mut members = self.members.borrow_mut();
        if members.has_members() {
            members.record_heartbeat(self.now_ms(), member);
        }
    }

    /// The member record of this instance as of now, with the number of its last heartbeat.
    pub fn own_member(&self) -> Member {
        let settings = self.settings.borrow();
        Member {
            name: settings.name.clone(),
            address: settings.address,
            gossip_address: settings.peer,
            zone: settings.zone.clone(),
            ready: self.is_ready(),
            heartbeat_seq: self.heartbeat_seq.get(),
            link_mbps: settings.link_mbps,
        }
    }

    /// The gossip datagrams to send now, each with the address of its receiver.
    ///
    /// Also drops gossip from silent peers and removes unconfirmed upstreams whose time has expired.
    pub fn due_gossip(&self) -> Vec<(SocketAddr, GossipMessage)> {
        let now_ms = self.now_ms();
        let expired = self.gossip.borrow_mut().expire(now_ms);
        self.apply_loads(&expired);
        self.remove_lapsed();
        self.note_list_age();
        self.log_new_poison_requests();
        self.gossip_paces(now_ms);
        let own = self.local_state();
        let key = InstanceKey::of(&own.member.name);
        if own.member.ready && self.members.borrow().has_members() {
            self.members.borrow_mut().record_self_alive(now_ms, key);
        }
        self.update_ranks();
        let ranks = self.ranks.borrow();
        let mut out = self.gossip.borrow_mut().tick(now_ms, own, &ranks);
        let candidates = ranks.hubs.iter().take(singleton_tasks::LEADER_CANDIDATES);
        let candidates: Vec<SocketAddr> = candidates.filter_map(|hub| hub.gossip_address).collect();
        self.singleton_tasks
            .add_tallies(now_ms, &mut out, &candidates);
        if self.shares_engine_time() {
            let fleet_ms = self.singleton_tasks.fleet_ms();
            self.shares.add_tallies(now_ms, fleet_ms, &mut out);
            self.update_shares();
        }
        out
    }

    /// Rank of this instance, 0 first: low ranks are hubs, log readers and leader candidates.
    pub fn rank(&self) -> usize {
        self.update_ranks();
        self.ranks.borrow().rank
    }

    /// What this instance announces about itself.
    fn local_state(&self) -> LocalState {
        let now_ms = self.now_ms();
        let since_boot_ms = since_boot_ms();
        let reader_role = self.reader_role();
        let reads_for_others = reader_role.is_reader();
        let poison = self.poison_requests();
        let upstreams = self.upstreams.borrow();
        let position =
            |log: &RefCell<LogFollower>| log.borrow().position(since_boot_ms, reads_for_others);
        LocalState {
            member: self.own_member(),
            loads: upstreams
                .iter()
                // What hangs at upstreams that this instance does not reach is no load there.
                .filter(|it| !self.is_cut_off(&it.service))
                .filter_map(|it| it.outstanding())
                .collect(),
            prefilled_parts: self.unannounced_parts.take(),
            role_changes: upstreams
                .iter()
                .filter_map(|each| each.own_role_change(now_ms))
                .collect(),
            demand: self.role_orders.demand(now_ms),
            last_order_token: role_orders::leader_fence(self, reader_role),
            last_task_token: singleton_tasks::leader_fence(self),
            clock_ms: unix_ms(),
            fleet_clock_ms: self.singleton_tasks.fleet_ms(),
            list_position: position(&self.list_position),
            config_position: position(&self.config_position),
            trial_counts: self.trial_counts(&poison),
            poison,
            unreached: self.unreached_services(),
            heard: self.heard_services(),
        }
    }

    /// Applies a gossip datagram of a peer.
    pub fn receive_gossip(&self, message: &GossipMessage, peer: SocketAddr) {
        let now_ms = self.now_ms();
        self.apply_members(now_ms, message);
        let changed = self.gossip.borrow_mut().receive(now_ms, message, peer);
        self.apply_loads(&changed);
        self.apply_log_changes(now_ms, message, peer);
        self.apply_attributions(now_ms, message);
        self.apply_part_evidence(now_ms, message);
        self.apply_limits(now_ms, message);
        self.apply_paces(now_ms, message);
        self.singleton_tasks
            .receive_gossip(self.settings.borrow().singleton_tasks, message);
        if self.shares_engine_time() {
            let fleet_ms = self.singleton_tasks.fleet_ms();
            self.shares.receive_gossip(fleet_ms, message);
        }
        let upstreams = self.upstreams.borrow();
        for change in &message.role_changes {
            if let Some(upstream) = upstreams.get_by_key(change.upstream) {
                upstream.begin_role_change(now_ms, change.stage, change.remaining_ms.into(), false);
            }
        }
        for prefilled in &message.prefilled_parts {
            if let Some(upstream) = upstreams.get_by_key(prefilled.upstream) {
                let kv_tokens = self.engine_limits(&upstream.service).kv_tokens;
                let tokens = f64::from(prefilled.tokens);
                upstream.note_cached_part(
                    prefilled.part,
                    tokens,
                    prefilled.progress,
                    kv_tokens as f64,
                );
            }
        }
    }

    fn apply_members(&self, now_ms: u64, message: &GossipMessage) {
        let mut members = self.members.borrow_mut();
        for member in &message.members {
            if members.receive_heartbeat(now_ms, member) {
                self.gossip.borrow_mut().add_member(now_ms, member.clone());
            }
        }
        for key in &message.alive {
            members.record_alive(now_ms, *key);
        }
    }

    /// Updates what peers have outstanding at the upstreams in `changed`, or clears it if no gossip arrives.
    fn apply_loads(&self, changed: &ChangedLoads) {
        let gossip = self.gossip.borrow();
        let upstreams = self.upstreams.borrow();
        if !gossip.has_senders() {
            upstreams.iter().for_each(|each| each.set_peer_load(None));
            return;
        }
        for upstream in changed
            .upstreams
            .iter()
            .filter_map(|key| upstreams.get_by_key(*key))
        {
            upstream.set_peer_load(Some(gossip.load(upstream.key)));
        }
        self.room_waiters.wake();
    }

    fn apply_log_changes(&self, now_ms: u64, message: &GossipMessage, peer: SocketAddr) {
        let since_boot_ms = since_boot_ms();
        for change in &message.list_changes {
            self.apply_gossiped_change(now_ms, change);
        }
        if let Some(position) = &message.list_position {
            self.apply_list_position(since_boot_ms, position, peer);
        }
        if let Some(position) = &message.config_position {
            self.config_position
                .borrow_mut()
                .receive_position_of(since_boot_ms, position, peer);
        }
    }
}

/// Wall clock in ms since 1970, or 0 if it is set before that; callers that need an increasing value also
/// compare with their earlier records.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
