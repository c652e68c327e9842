//! What an instance tells now, and whom.

use std::collections::HashSet;
use std::net::SocketAddr;

use super::{GossipState, Hub, Loads, LocalState};
use crate::hubs::HubRanking;
use crate::{
    GossipMessage, InstanceKey, Load, Member, MessageKind, RequestKey, ServiceDemand, UpstreamKey,
    demand, hubs,
};

/// Periods for each datagram that says all there is, who lives and what is asked; the others say what
/// changed, and an instance to which nothing happens sends none. So a lost one shows for a fifth of a
/// second, at half of the bytes.
const WHOLE_PERIODS: u64 = 4;

/// Periods for each list of those that live in what hubs tell each other: with a tenth of all datagrams lost
/// nobody who lives is taken for gone for want of one.
const SUM_ALIVE_PERIODS: u64 = 2;

/// Time without word from a hub after which another one is told, in ms: several of its datagrams.
const HUB_LOST_MS: u64 = 400;

/// Time for which a hub that fell silent is not chosen again, in ms.
const AVOIDED_MS: u64 = 3_000;

/// Most reads of parts in one datagram: twice what two hundred engines have in a period in a rush.
const MOST_READS: usize = 400;

/// Time for which an instance's own record is told on, in ms.
const JOINED_MS: u64 = 500;

impl GossipState {
    /// What goes out now, and where to.
    pub fn tick(
        &mut self,
        now_ms: u64,
        own: LocalState,
        ranks: &HubRanking,
    ) -> Vec<(SocketAddr, GossipMessage)> {
        self.ticks += 1;
        // The first empty datagram clears what others hold against this instance; further ones only say
        // that it lives.
        let is_news = own.loads != self.last_own
            || !own.prefilled_parts.is_empty()
            || !own.role_changes.is_empty();
        let is_news = is_news || !self.up_fates.is_empty() || !self.down_fates.is_empty();
        let is_news = is_news || !self.up_limits.is_empty() || !self.down_limits.is_empty();
        let tells = is_news || self.ticks.is_multiple_of(WHOLE_PERIODS);
        self.last_own.clone_from(&own.loads);
        self.joined.retain(|(at_ms, _)| now_ms < at_ms + JOINED_MS);
        let is_told = self
            .senders
            .values()
            .any(|it| it.kind != MessageKind::Digest);
        if ranks.is_hub() || is_told {
            self.hub = None;
            self.gather(now_ms, &own, ranks, tells)
        } else {
            self.report(now_ms, own, ranks, tells)
        }
    }

    fn report(
        &mut self,
        now_ms: u64,
        own: LocalState,
        ranks: &HubRanking,
        tells: bool,
    ) -> Vec<(SocketAddr, GossipMessage)> {
        let Some(hub) = self.chosen(now_ms, &own.member, &ranks.hubs) else {
            return Vec::new();
        };
        self.up.clear();
        self.down.clear();
        self.up_turning.clear();
        self.down_turning.clear();
        self.down_fates.clear();
        self.down_limits.clear();
        let is_new = self.hub.is_some_and(|hub| hub.since_ms == now_ms);
        if !tells && !is_new {
            return Vec::new();
        }
        let told = GossipMessage {
            members: self.members_told(),
            alive: ready_key(&own.member).into_iter().collect(),
            loads: own.loads,
            prefilled_parts: own.prefilled_parts,
            role_changes: own.role_changes,
            demand: own.demand,
            last_order_token: own.last_order_token,
            clock_ms: own.clock_ms,
            evidence: self.up_fates.told(),
            limits: self.up_limits.told(),
            poison: self.poisonous_told(&own.poison),
            ..GossipMessage::new(InstanceKey::of(&own.member.name), MessageKind::Report)
        };
        vec![(hub, told)]
    }

    /// The hub that this instance reports to: the one that it has while that answers, else the nearest
    /// of those that did not fall silent lately.
    fn chosen(&mut self, now_ms: u64, own: &Member, hubs: &[Member]) -> Option<SocketAddr> {
        self.avoided.retain(|_, until_ms| now_ms < *until_ms);
        if let Some(hub) = self.hub {
            let heard_ms = self.senders.get(&hub.key).map_or(0, |sender| sender.at_ms);
            let is_there = hubs.iter().find(|it| InstanceKey::of(&it.name) == hub.key);
            let is_lost = now_ms > heard_ms.max(hub.since_ms) + HUB_LOST_MS;
            match is_there {
                Some(member) if !is_lost => return member.gossip_address,
                _ => self.avoided.insert(hub.key, now_ms + AVOIDED_MS),
            };
        }
        let is_avoided = |hub: &Member| self.avoided.contains_key(&InstanceKey::of(&hub.name));
        let others: Vec<&Member> = hubs.iter().filter(|hub| !is_avoided(hub)).collect();
        let nearest = hubs::nearest(&own.name, &own.zone, &others)?;
        self.hub = Some(Hub {
            key: InstanceKey::of(&nearest.name),
            since_ms: now_ms,
        });
        nearest.gossip_address
    }

    fn gather(
        &mut self,
        now_ms: u64,
        own: &LocalState,
        ranks: &HubRanking,
        tells: bool,
    ) -> Vec<(SocketAddr, GossipMessage)> {
        let key = InstanceKey::of(&own.member.name);
        let reporters: Vec<(InstanceKey, SocketAddr)> = self
            .of_kind(MessageKind::Report)
            .map(|(key, sender)| (*key, sender.peer))
            .collect();
        if !tells && reporters.is_empty() {
            return Vec::new();
        }
        let hubs = self.other_hubs(key, &ranks.hubs);
        let (sum, digest) = self.sum_and_digest(now_ms, own, key);
        let mut out: Vec<(SocketAddr, GossipMessage)> =
            hubs.into_iter().map(|peer| (peer, sum.clone())).collect();
        for (reporter, peer) in reporters {
            out.push((peer, self.without(&digest, reporter)));
        }
        out
    }

    /// Where the other hubs are: those that this instance takes for hubs, and those that act as such.
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

    /// What this instance and those that report to it have, for the other hubs, and what all have, from
    /// which the part of each receiver is still to be taken.
    fn sum_and_digest(
        &mut self,
        now_ms: u64,
        own: &LocalState,
        key: InstanceKey,
    ) -> (GossipMessage, GossipMessage) {
        let is_whole = self.ticks.is_multiple_of(WHOLE_PERIODS);
        let mut loads: Loads = own.loads.iter().copied().collect();
        let mut all = self.totals.clone();
        add_all(&mut all, &loads);
        for (_, sender) in self.of_kind(MessageKind::Report) {
            add_all(&mut loads, &sender.loads);
        }
        let told = GossipMessage {
            is_full: is_whole,
            members: self.members_told(),
            last_order_token: own.last_order_token,
            last_task_token: own.last_task_token,
            clock_ms: own.clock_ms,
            list_position: own.list_position,
            config_position: own.config_position,
            list_changes: self.news.to_send(now_ms),
            evidence: self.up_fates.told(),
            limits: self.up_limits.told(),
            poison: self.poisonous_told(&own.poison),
            ..GossipMessage::new(key, MessageKind::Sum)
        };
        let mut sum = GossipMessage {
            loads: changes(&loads, &mut self.last_sum, is_whole),
            prefilled_parts: taken(&mut self.up, &own.prefilled_parts),
            role_changes: taken(&mut self.up_turning, &own.role_changes),
            ..told.clone()
        };
        let mut digest = GossipMessage {
            kind: MessageKind::Digest,
            clock_ms: own.fleet_clock_ms,
            last_task_token: None,
            loads: changes(&all, &mut self.last_all, is_whole),
            prefilled_parts: taken(&mut self.down, &sum.prefilled_parts),
            role_changes: taken(&mut self.down_turning, &sum.role_changes),
            ..told
        };
        digest.evidence.extend(self.down_fates.told());
        digest.limits.extend(self.down_limits.told());
        let (alive, demand) = self.alive(own, MessageKind::Report);
        if is_whole {
            (digest.alive, digest.demand) = self.alive(own, MessageKind::Sum);
            digest.alive.extend(&alive);
            demand::add(&mut digest.demand, &demand);
            demand::take(&mut digest.demand, &own.demand);
        }
        if self.ticks.is_multiple_of(SUM_ALIVE_PERIODS) {
            // Who missed another hub learns of it by those that hear it.
            let hubs = self.of_kind(MessageKind::Sum);
            let hubs = hubs.filter_map(|(_, hub)| hub.alive.first());
            sum.alive = alive.into_iter().chain(hubs.copied()).collect();
            sum.demand = demand;
        }
        (sum, digest)
    }

    /// Those that live, and what is asked of them, by the word of senders of one kind and of this instance.
    fn alive(&self, own: &LocalState, kind: MessageKind) -> (Vec<InstanceKey>, Vec<ServiceDemand>) {
        let mut alive: Vec<InstanceKey> = ready_key(&own.member).into_iter().collect();
        let mut demand = own.demand.clone();
        for (_, sender) in self.of_kind(kind) {
            alive.extend(&sender.alive);
            demand::add(&mut demand, &sender.demand);
        }
        (alive, demand)
    }

    /// A digest for one that reported, without its own part; all there is if it has just come.
    fn without(&mut self, digest: &GossipMessage, receiver: InstanceKey) -> GossipMessage {
        let mut told = digest.clone();
        let Some(sender) = self.senders.get_mut(&receiver) else {
            return told;
        };
        if !std::mem::replace(&mut sender.is_greeted, true) {
            told.is_full = true;
            told.loads = self
                .last_all
                .iter()
                .map(|(key, load)| (*key, *load))
                .collect();
        }
        for (upstream, load) in &mut told.loads {
            if let Some(part) = sender.loads.get(upstream) {
                load.subtract(part);
            }
        }
        demand::take(&mut told.demand, &sender.demand);
        told
    }

    /// Poisonous requests, with the datagrams that say all there is.
    fn poisonous_told(&self, own: &[RequestKey]) -> Vec<RequestKey> {
        let is_told = self.ticks.is_multiple_of(WHOLE_PERIODS);
        own.iter().filter(|_| is_told).copied().collect()
    }

    fn members_told(&self) -> Vec<Member> {
        self.joined
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

/// All loads, or those that differ from what they were, which are then noted.
fn changes(now: &Loads, last: &mut Loads, is_whole: bool) -> Vec<(UpstreamKey, Load)> {
    let is_changed = |(key, load): &(&UpstreamKey, &Load)| is_whole || last.get(key) != Some(load);
    let mut told: Vec<(UpstreamKey, Load)> = now
        .iter()
        .filter(is_changed)
        .map(|(key, load)| (*key, *load))
        .collect();
    if !is_whole {
        let gone = last.keys().filter(|key| !now.contains_key(key));
        told.extend(gone.map(|key| (*key, Load::default())));
    }
    last.clone_from(now);
    told
}

/// What waits to be told on, and this instance's own.
fn taken<T: Copy>(waiting: &mut Vec<T>, own: &[T]) -> Vec<T> {
    let mut told = std::mem::take(waiting);
    told.extend(own);
    told.truncate(MOST_READS);
    told
}

fn ready_key(member: &Member) -> Option<InstanceKey> {
    member.ready.then(|| InstanceKey::of(&member.name))
}
