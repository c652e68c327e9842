//! The datagrams that an instance sends, and their receivers.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use super::{GossipState, Hub, Loads, LocalState};
use crate::hubs::HubRanking;
use crate::{
    GossipMessage, InstanceKey, Load, Member, MessageKind, ServiceDemand, ServiceHeard, ServiceKey,
    Unreached, UpstreamKey, demand, hubs,
};

/// Periods per full datagram, which has all loads, the live instances and the demand. The others
/// have only changes, and an idle instance sends none. So a lost datagram shows for a fifth of a
/// second, at half of the bytes.
const FULL_DATAGRAM_PERIODS: u64 = 4;

/// Periods per list of live instances between hubs. With a tenth of all datagrams lost, no live
/// instance counts as gone for want of a list.
const ALIVE_LIST_PERIODS: u64 = 2;

/// Time without a datagram from the hub after which another one is chosen, in ms: several
/// datagrams.
const HUB_LOST_MS: u64 = 400;

/// Time for which a hub that fell silent is avoided, in ms.
const AVOID_HUB_MS: u64 = 3_000;

/// Most prompt parts, and most role changes, in one datagram: twice the prompt parts that two
/// hundred engines get in a period at peak load.
const MAX_ITEMS: usize = 400;

/// How long the heartbeat record of an instance is resent, in ms.
const RESEND_MEMBER_MS: u64 = 500;

impl GossipState {
    /// Returns the datagrams of this period with their receivers.
    pub fn tick(
        &mut self,
        now_ms: u64,
        own: LocalState,
        ranks: &HubRanking,
    ) -> Vec<(SocketAddr, GossipMessage)> {
        self.ticks += 1;
        // The first empty datagram clears the load that peers count for this instance. Further ones
        // would only show that it is alive.
        let has_changes = own.loads != self.last_own_loads
            || !own.prefilled_parts.is_empty()
            || !own.role_changes.is_empty();
        let has_changes =
            has_changes || !self.up_evidence.is_empty() || !self.down_evidence.is_empty();
        let has_changes =
            has_changes || !self.up_part_evidence.is_empty() || !self.down_part_evidence.is_empty();
        let has_changes = has_changes || !self.up_trials.is_empty() || !self.down_trials.is_empty();
        let has_changes = has_changes || !self.up_limits.is_empty() || !self.down_limits.is_empty();
        let has_receivers = self
            .senders
            .values()
            .any(|sender| sender.kind != MessageKind::Digest);
        let is_hub = ranks.is_hub() || has_receivers;
        let has_changes = has_changes || self.paces.has_changed(is_hub);
        let has_changes = has_changes || own.unreached != self.last_own_unreached;
        let must_send = has_changes || self.ticks.is_multiple_of(FULL_DATAGRAM_PERIODS);
        self.last_own_loads.clone_from(&own.loads);
        self.last_own_unreached.clone_from(&own.unreached);
        self.recent_members
            .retain(|(at_ms, _)| now_ms < at_ms + RESEND_MEMBER_MS);
        if is_hub {
            self.hub = None;
            self.aggregate(now_ms, &own, ranks, must_send)
        } else {
            self.report(now_ms, own, ranks, must_send)
        }
    }

    fn report(
        &mut self,
        now_ms: u64,
        own: LocalState,
        ranks: &HubRanking,
        must_send: bool,
    ) -> Vec<(SocketAddr, GossipMessage)> {
        let Some(hub) = self.choose_hub(now_ms, &own.member, &ranks.hubs) else {
            return Vec::new();
        };
        self.up_parts.clear();
        self.down_parts.clear();
        self.up_role_changes.clear();
        self.down_role_changes.clear();
        self.down_evidence.clear();
        self.down_part_evidence.clear();
        self.down_trials.clear();
        self.down_limits.clear();
        self.paces.clear_down();
        let is_new = self.hub.is_some_and(|hub| hub.since_ms == now_ms);
        if !must_send && !is_new {
            return Vec::new();
        }
        let message = GossipMessage {
            members: self.members_to_send(),
            alive: ready_key(&own.member).into_iter().collect(),
            unreached: own_unreached(&own).collect(),
            heard: own.heard,
            loads: own.loads,
            prefilled_parts: own.prefilled_parts,
            role_changes: own.role_changes,
            demand: own.demand,
            last_order_token: own.last_order_token,
            clock_ms: own.clock_ms,
            evidence: self.up_evidence.next_batch(),
            part_evidence: self.up_part_evidence.next_batch(),
            limits: self.up_limits.next_batch(),
            paces: self.paces.next_up(now_ms),
            poison: self.poison_to_send(&own.poison),
            trial_counts: self.poison_to_send(&own.trial_counts),
            trials: self.up_trials.next_batch(),
            ..GossipMessage::new(InstanceKey::of(&own.member.name), MessageKind::Report)
        };
        vec![(hub, message)]
    }

    /// The hub to which this instance reports: the present one while it answers, otherwise the
    /// nearest hub that has not fallen silent lately.
    fn choose_hub(&mut self, now_ms: u64, own: &Member, hubs: &[Member]) -> Option<SocketAddr> {
        self.avoided_hubs.retain(|_, until_ms| now_ms < *until_ms);
        if let Some(hub) = self.hub {
            let last_received_ms = self.senders.get(&hub.key).map_or(0, |sender| sender.at_ms);
            let hub_member = hubs.iter().find(|it| InstanceKey::of(&it.name) == hub.key);
            let is_lost = now_ms > last_received_ms.max(hub.since_ms) + HUB_LOST_MS;
            match hub_member {
                Some(member) if !is_lost => return member.gossip_address,
                _ => self.avoided_hubs.insert(hub.key, now_ms + AVOID_HUB_MS),
            };
        }
        let is_avoided = |hub: &Member| self.avoided_hubs.contains_key(&InstanceKey::of(&hub.name));
        let candidates: Vec<&Member> = hubs.iter().filter(|hub| !is_avoided(hub)).collect();
        let nearest = hubs::nearest(&own.name, &own.zone, &candidates)?;
        self.hub = Some(Hub {
            key: InstanceKey::of(&nearest.name),
            since_ms: now_ms,
        });
        nearest.gossip_address
    }

    fn aggregate(
        &mut self,
        now_ms: u64,
        own: &LocalState,
        ranks: &HubRanking,
        must_send: bool,
    ) -> Vec<(SocketAddr, GossipMessage)> {
        let key = InstanceKey::of(&own.member.name);
        let reporters: Vec<(InstanceKey, SocketAddr)> = self
            .of_kind(MessageKind::Report)
            .map(|(key, sender)| (*key, sender.peer))
            .collect();
        if !must_send && reporters.is_empty() {
            return Vec::new();
        }
        let hubs = self.other_hubs(key, &ranks.hubs);
        let (sum, digest) = self.sum_and_digest(now_ms, own, key);
        let mut out: Vec<(SocketAddr, GossipMessage)> =
            hubs.into_iter().map(|peer| (peer, sum.clone())).collect();
        for (reporter, peer) in reporters {
            out.push((peer, self.digest_for(&digest, reporter)));
        }
        out
    }

    /// Addresses of the other hubs: those that rank as hubs here, and those that send sums.
    fn other_hubs(&self, own: InstanceKey, hubs: &[Member]) -> HashSet<SocketAddr> {
        let known = hubs.iter().filter(|hub| InstanceKey::of(&hub.name) != own);
        let acting = self
            .of_kind(MessageKind::Sum)
            .map(|(_, sender)| sender.peer);
        known
            .filter_map(|hub| hub.gossip_address)
            .chain(acting)
            .collect()
    }

    /// The load of this instance and its reporters, for the other hubs, and that of the whole
    /// fleet, from which each receiver's own load is still to be subtracted.
    fn sum_and_digest(
        &mut self,
        now_ms: u64,
        own: &LocalState,
        key: InstanceKey,
    ) -> (GossipMessage, GossipMessage) {
        let is_full = self.ticks.is_multiple_of(FULL_DATAGRAM_PERIODS);
        let mut loads: Loads = own.loads.iter().copied().collect();
        let mut all = self.totals.clone();
        add_all(&mut all, &loads);
        for (_, sender) in self.of_kind(MessageKind::Report) {
            add_all(&mut loads, &sender.loads);
        }
        let message = GossipMessage {
            is_full,
            members: self.members_to_send(),
            last_order_token: own.last_order_token,
            last_task_token: own.last_task_token,
            clock_ms: own.clock_ms,
            list_position: own.list_position,
            config_position: own.config_position,
            list_changes: self.list_changes.to_send(now_ms),
            evidence: self.up_evidence.next_batch(),
            part_evidence: self.up_part_evidence.next_batch(),
            limits: self.up_limits.next_batch(),
            poison: self.poison_to_send(&own.poison),
            trial_counts: self.poison_to_send(&own.trial_counts),
            trials: self.up_trials.next_batch(),
            ..GossipMessage::new(key, MessageKind::Sum)
        };
        let mut sum = GossipMessage {
            loads: changed_loads(&loads, &mut self.last_sum_loads, is_full),
            prefilled_parts: drain_with(&mut self.up_parts, &own.prefilled_parts),
            role_changes: drain_with(&mut self.up_role_changes, &own.role_changes),
            paces: self.paces.next_up(now_ms),
            ..message.clone()
        };
        let mut digest = GossipMessage {
            kind: MessageKind::Digest,
            clock_ms: own.fleet_clock_ms,
            last_task_token: None,
            loads: changed_loads(&all, &mut self.last_fleet_loads, is_full),
            prefilled_parts: drain_with(&mut self.down_parts, &sum.prefilled_parts),
            role_changes: drain_with(&mut self.down_role_changes, &sum.role_changes),
            paces: self.paces.next_down(now_ms),
            ..message
        };
        digest.evidence.extend(self.down_evidence.next_batch());
        let part_evidence = self.down_part_evidence.next_batch();
        digest.part_evidence.extend(part_evidence);
        digest.trials.extend(self.down_trials.next_batch());
        digest.limits.extend(self.down_limits.next_batch());
        let (alive, demand) = self.alive(own, MessageKind::Report);
        if is_full {
            (digest.alive, digest.demand) = self.alive(own, MessageKind::Sum);
            digest.alive.extend(&alive);
            digest.unreached = own_unreached(own).chain(self.unreached()).collect();
            digest.heard = self.heard(now_ms, own, |_| true);
            demand::add(&mut digest.demand, &demand);
            demand::subtract(&mut digest.demand, &own.demand);
        }
        if self.ticks.is_multiple_of(ALIVE_LIST_PERIODS) {
            // A hub that missed the sum of another hub learns from the others that it is alive.
            let hubs = self.of_kind(MessageKind::Sum);
            let hubs = hubs.filter_map(|(_, hub)| hub.alive.first());
            sum.alive = alive.into_iter().chain(hubs.copied()).collect();
            sum.demand = demand;
            let reporters = self.of_kind(MessageKind::Report);
            let theirs = reporters.flat_map(|(_, sender)| sender.unreached.iter().copied());
            sum.unreached = own_unreached(own).chain(theirs).collect();
            sum.heard = self.heard(now_ms, own, |kind| kind == MessageKind::Report);
        }
        (sum, digest)
    }

    /// How long ago this instance, or senders of the kinds that count, heard upstreams of each service.
    fn heard(
        &self,
        now_ms: u64,
        own: &LocalState,
        counts: impl Fn(MessageKind) -> bool,
    ) -> Vec<ServiceHeard> {
        let mut ages: HashMap<ServiceKey, u32> = HashMap::new();
        let own_ages = own.heard.iter().map(|each| (each.service, each.age_ms));
        let senders = self.senders.values().filter(|sender| counts(sender.kind));
        let theirs = senders.flat_map(|sender| &sender.heard_ms);
        let theirs =
            theirs.map(|(service, at_ms)| (*service, now_ms.saturating_sub(*at_ms) as u32));
        for (service, age_ms) in own_ages.chain(theirs) {
            let least_ms = ages.entry(service).or_insert(age_ms);
            *least_ms = age_ms.min(*least_ms);
        }
        let heard = |(service, age_ms)| ServiceHeard { service, age_ms };
        ages.into_iter().map(heard).collect()
    }

    /// Live instances and their demand, as senders of one kind and this instance see them.
    fn alive(&self, own: &LocalState, kind: MessageKind) -> (Vec<InstanceKey>, Vec<ServiceDemand>) {
        let mut alive: Vec<InstanceKey> = ready_key(&own.member).into_iter().collect();
        let mut demand = own.demand.clone();
        for (_, sender) in self.of_kind(kind) {
            alive.extend(&sender.alive);
            demand::add(&mut demand, &sender.demand);
        }
        (alive, demand)
    }

    /// The digest for one reporter, without its own load; a full one if the reporter is new.
    fn digest_for(&mut self, digest: &GossipMessage, receiver: InstanceKey) -> GossipMessage {
        let mut message = digest.clone();
        let Some(sender) = self.senders.get_mut(&receiver) else {
            return message;
        };
        if !std::mem::replace(&mut sender.got_full_datagram, true) {
            message.is_full = true;
            message.loads = self
                .last_fleet_loads
                .iter()
                .map(|(key, load)| (*key, *load))
                .collect();
        }
        for (upstream, load) in &mut message.loads {
            if let Some(part) = sender.loads.get(upstream) {
                load.subtract(part);
            }
        }
        demand::subtract(&mut message.demand, &sender.demand);
        message
    }

    /// Poison requests or the numbers of their trials, which only full datagrams carry.
    fn poison_to_send<T: Copy>(&self, own: &[T]) -> Vec<T> {
        let is_full = self.ticks.is_multiple_of(FULL_DATAGRAM_PERIODS);
        own.iter().filter(|_| is_full).copied().collect()
    }

    fn members_to_send(&self) -> Vec<Member> {
        self.recent_members
            .iter()
            .map(|(_, member)| member.clone())
            .collect()
    }
}

fn add_all(sum: &mut Loads, other: &Loads) {
    for (upstream, load) in other {
        sum.entry(*upstream).or_default().add(load);
    }
}

/// All loads, or those that differ from `last`. Replaces `last`.
fn changed_loads(now: &Loads, last: &mut Loads, is_full: bool) -> Vec<(UpstreamKey, Load)> {
    let is_changed = |(key, load): &(&UpstreamKey, &Load)| is_full || last.get(key) != Some(load);
    let mut changed: Vec<(UpstreamKey, Load)> = now
        .iter()
        .filter(is_changed)
        .map(|(key, load)| (*key, *load))
        .collect();
    if !is_full {
        let gone = last.keys().filter(|key| !now.contains_key(key));
        changed.extend(gone.map(|key| (*key, Load::default())));
    }
    last.clone_from(now);
    changed
}

/// Drains what waits to be passed on, and appends this instance's own.
fn drain_with<T: Copy>(waiting: &mut Vec<T>, own: &[T]) -> Vec<T> {
    let mut items = std::mem::take(waiting);
    items.extend(own);
    items.truncate(MAX_ITEMS);
    items
}

/// The services of which this instance reaches no upstream, as it tells them.
fn own_unreached(own: &LocalState) -> impl Iterator<Item = Unreached> {
    let instance = InstanceKey::of(&own.member.name);
    let unreached = move |service: &ServiceKey| Unreached {
        instance,
        service: *service,
    };
    own.unreached.iter().map(unreached)
}

fn ready_key(member: &Member) -> Option<InstanceKey> {
    member.ready.then(|| InstanceKey::of(&member.name))
}
