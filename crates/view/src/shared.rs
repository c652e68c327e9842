//! What this instance was told by others, and what it tells them in turn.
//!
//! One instance reports to its hub, or is one: a hub adds up what those around it report, tells the sum
//! to the other hubs, and gives back to each what all but it have. Nobody agrees on who is a hub. Who is
//! reported to acts as one, and who hears nothing from its hub goes to the next. What was told counts for
//! [`STALE_MS`], so an instance that goes takes its share along. See docs/design/views.md.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use crate::{
    InstanceKey, Kind, Load, Mark, Member, Members, News, PartRead, RecentNews, ServiceDemand,
    Told, Turning, UpstreamKey, demand, hubs,
};

/// Time between two datagrams to one receiver, in ms: a tenth of the shortest objective's order, so that
/// a view is younger than the queue that it describes.
pub const PERIOD_MS: u64 = 100;

/// Periods for each datagram of an instance that has nothing to tell.
const IDLE_PERIODS: u64 = 3;

/// Periods for each list of all that live, in what a hub gives back.
const ALIVE_PERIODS: u64 = 3;

/// Age at which what was told is no longer counted, in ms: two datagrams of an idle instance.
pub const STALE_MS: u64 = 700;

/// Time without word from a hub after which another one is told, in ms: several of its datagrams.
const HUB_LOST_MS: u64 = 400;

/// Time for which a hub that fell silent is not chosen again, in ms.
const AVOIDED_MS: u64 = 3_000;

/// Most reads of parts in one datagram: twice what two hundred engines have in a period in a rush.
const MOST_READS: usize = 400;

/// Time for which an instance's own record is told on, in ms.
const JOINED_MS: u64 = 1_000;

/// What this instance has to tell of itself.
#[derive(Debug, Clone)]
pub struct Own {
    /// Itself.
    pub member: Member,
    /// What it has outstanding.
    pub loads: Vec<(UpstreamKey, Load)>,
    /// Parts that it had read since it was last asked.
    pub reads: Vec<PartRead>,
    /// Engines that it has ordered to another stage.
    pub turning: Vec<Turning>,
    /// What callers ask of it.
    pub demand: Vec<ServiceDemand>,
    /// Fencing token of the last order that it gave, if it could give one now.
    pub gives_after: Option<u64>,
    /// Where the list of upstreams stands.
    pub list: Option<Mark>,
    /// Time for which it takes an entry that goes for one that lapsed with the store, in ms.
    pub doubt_ms: u32,
    /// Where the configuration stands.
    pub config: Option<Mark>,
}

impl Own {
    fn is_busy(&self) -> bool {
        !self.loads.is_empty() || !self.reads.is_empty() || !self.turning.is_empty()
    }
}

/// What a datagram changed.
#[derive(Debug, Default)]
pub struct Heard {
    /// Upstreams at which others have something else outstanding than before.
    pub loads: Vec<UpstreamKey>,
}

#[derive(Debug)]
struct Sender {
    peer: SocketAddr,
    at_ms: u64,
    kind: Kind,
    loads: Vec<(UpstreamKey, Load)>,
    demand: Vec<ServiceDemand>,
    alive: Vec<InstanceKey>,
    gives_after: Option<u64>,
}

#[derive(Debug, Clone, Copy)]
struct Hub {
    key: InstanceKey,
    since_ms: u64,
}

/// What others told, and what goes on to whom.
#[derive(Debug, Default)]
pub struct Shared {
    senders: HashMap<InstanceKey, Sender>,
    totals: HashMap<UpstreamKey, Load>,
    /// Reads of those that report here, for the other hubs.
    up: Vec<PartRead>,
    /// Reads of other hubs, for those that report here.
    down: Vec<PartRead>,
    up_turning: Vec<Turning>,
    down_turning: Vec<Turning>,
    joined: Vec<(u64, Member)>,
    news: RecentNews,
    hub: Option<Hub>,
    avoided: HashMap<InstanceKey, u64>,
    ticks: u64,
    was_busy: bool,
}

impl Shared {
    /// A datagram came; its reads, members and news are the caller's to take in as well.
    pub fn heard(&mut self, now_ms: u64, told: &Told, peer: SocketAddr) -> Heard {
        let is_hub = self.hub.is_some_and(|hub| hub.key == told.from);
        if told.kind == Kind::Digest && !is_hub {
            return Heard::default();
        }
        let mut changed = Vec::new();
        if told.kind == Kind::Digest {
            self.drop_other_digests(told.from, &mut changed);
        }
        let (reads, turning) = match told.kind {
            Kind::Report => (Some(&mut self.up), Some(&mut self.up_turning)),
            Kind::Sum => (Some(&mut self.down), Some(&mut self.down_turning)),
            Kind::Digest => (None, None),
        };
        if let Some(reads) = reads {
            reads.extend(&told.reads);
        }
        if let Some(turning) = turning {
            turning.extend(&told.turning);
        }
        let alive = self.senders.get(&told.from).map(|sender| &sender.alive);
        // A list of all that live comes seldom, and holds until the next.
        let alive = match alive {
            Some(known) if told.alive.is_empty() && told.kind == Kind::Digest => known.clone(),
            _ => told.alive.clone(),
        };
        let sender = Sender {
            peer,
            at_ms: now_ms,
            kind: told.kind,
            loads: told.loads.clone(),
            demand: told.demand.clone(),
            alive,
            gives_after: told.gives_after,
        };
        self.replace(told.from, Some(sender), &mut changed);
        Heard { loads: changed }
    }

    /// Drops what is too old to count.
    pub fn expire(&mut self, now_ms: u64) -> Heard {
        let is_old = |sender: &Sender| sender.at_ms + STALE_MS < now_ms;
        let old: Vec<InstanceKey> = self
            .senders
            .iter()
            .filter(|(_, sender)| is_old(sender))
            .map(|(key, _)| *key)
            .collect();
        let mut changed = Vec::new();
        for key in old {
            self.replace(key, None, &mut changed);
        }
        Heard { loads: changed }
    }

    fn replace(
        &mut self,
        key: InstanceKey,
        sender: Option<Sender>,
        changed: &mut Vec<UpstreamKey>,
    ) {
        let old = match sender {
            Some(sender) => {
                for (upstream, load) in &sender.loads {
                    self.totals.entry(*upstream).or_default().add(load);
                    changed.push(*upstream);
                }
                self.senders.insert(key, sender)
            }
            None => self.senders.remove(&key),
        };
        for (upstream, load) in old.iter().flat_map(|old| &old.loads) {
            if let Some(total) = self.totals.get_mut(upstream) {
                total.take(load);
                changed.push(*upstream);
                if total.is_none() {
                    self.totals.remove(upstream);
                }
            }
        }
    }

    /// What a former hub told would be counted beside what the present one does.
    fn drop_other_digests(&mut self, hub: InstanceKey, changed: &mut Vec<UpstreamKey>) {
        let others: Vec<InstanceKey> = self
            .of_kind(Kind::Digest)
            .map(|(key, _)| *key)
            .filter(|key| *key != hub)
            .collect();
        for key in others {
            self.replace(key, None, changed);
        }
    }

    /// What others have outstanding at an upstream.
    pub fn load(&self, upstream: UpstreamKey) -> Load {
        self.totals.get(&upstream).copied().unwrap_or_default()
    }

    /// Whether somebody speaks for the others.
    pub fn hears(&self) -> bool {
        !self.senders.is_empty()
    }

    /// What callers ask of the others.
    pub fn demand(&self) -> Vec<ServiceDemand> {
        let mut sum = Vec::new();
        for sender in self.senders.values() {
            demand::add(&mut sum, &sender.demand);
        }
        sum
    }

    /// Other hubs that could give orders now, each with the token of the last that it gave.
    pub fn givers(&self) -> impl Iterator<Item = (InstanceKey, u64)> {
        self.senders
            .iter()
            .filter_map(|(key, sender)| Some((*key, sender.gives_after?)))
    }

    /// Instances that know what the others tell, nearest first.
    pub fn informed(&self) -> Option<SocketAddr> {
        let hub = self.hub.and_then(|hub| self.senders.get(&hub.key));
        let hubs = self
            .senders
            .values()
            .filter(|sender| sender.kind == Kind::Sum);
        hub.or_else(|| hubs.max_by_key(|sender| sender.at_ms))
            .map(|sender| sender.peer)
    }

    /// A change of the list of upstreams was read or heard of.
    pub fn add_news(&mut self, now_ms: u64, news: News) {
        self.news.add(now_ms, news);
    }

    /// An instance has come or changed.
    pub fn joined(&mut self, now_ms: u64, member: Member) {
        self.joined.retain(|(_, known)| known.name != member.name);
        self.joined.push((now_ms, member));
    }

    /// What goes out now, and where to.
    pub fn tick(&mut self, now_ms: u64, own: Own, members: &Members) -> Vec<(SocketAddr, Told)> {
        self.ticks += 1;
        // The first empty datagram clears what others hold against this instance; further ones only say
        // that it lives.
        let is_busy = own.is_busy();
        let tells = is_busy || self.was_busy || self.ticks.is_multiple_of(IDLE_PERIODS);
        self.was_busy = is_busy;
        self.joined.retain(|(at_ms, _)| now_ms < at_ms + JOINED_MS);
        let all = hubs::order(members.reachable());
        let hubs = &all[..hubs::count(all.len()).min(all.len())];
        let is_hub = hubs.iter().any(|hub| hub.name == own.member.name);
        let is_told = self.senders.values().any(|it| it.kind != Kind::Digest);
        if is_hub || is_told {
            self.hub = None;
            self.gather(now_ms, own, hubs, tells)
        } else {
            self.report(now_ms, own, hubs, tells)
        }
    }

    fn report(
        &mut self,
        now_ms: u64,
        own: Own,
        hubs: &[&Member],
        tells: bool,
    ) -> Vec<(SocketAddr, Told)> {
        let Some(hub) = self.chosen(now_ms, &own.member, hubs) else {
            return Vec::new();
        };
        self.up.clear();
        self.down.clear();
        self.up_turning.clear();
        self.down_turning.clear();
        if !tells {
            return Vec::new();
        }
        let told = Told {
            members: self.members_told(),
            alive: ready_key(&own.member).into_iter().collect(),
            loads: own.loads,
            reads: own.reads,
            turning: own.turning,
            demand: own.demand,
            gives_after: own.gives_after,
            ..Told::new(InstanceKey::of(&own.member.name), Kind::Report)
        };
        vec![(hub, told)]
    }

    /// The hub that this instance reports to: the one that it has while that answers, else the nearest
    /// of those that did not fall silent lately.
    fn chosen(&mut self, now_ms: u64, own: &Member, hubs: &[&Member]) -> Option<SocketAddr> {
        self.avoided.retain(|_, until_ms| now_ms < *until_ms);
        if let Some(hub) = self.hub {
            let heard_ms = self.senders.get(&hub.key).map_or(0, |sender| sender.at_ms);
            let is_there = hubs.iter().find(|it| InstanceKey::of(&it.name) == hub.key);
            let is_lost = now_ms > heard_ms.max(hub.since_ms) + HUB_LOST_MS;
            match is_there {
                Some(member) if !is_lost => return member.peer,
                _ => self.avoided.insert(hub.key, now_ms + AVOIDED_MS),
            };
        }
        let is_avoided = |hub: &Member| self.avoided.contains_key(&InstanceKey::of(&hub.name));
        let others: Vec<&Member> = hubs
            .iter()
            .copied()
            .filter(|hub| !is_avoided(hub))
            .collect();
        let nearest = hubs::nearest(&own.name, &own.zone, &others)?;
        self.hub = Some(Hub {
            key: InstanceKey::of(&nearest.name),
            since_ms: now_ms,
        });
        nearest.peer
    }

    fn gather(
        &mut self,
        now_ms: u64,
        own: Own,
        hubs: &[&Member],
        tells: bool,
    ) -> Vec<(SocketAddr, Told)> {
        let key = InstanceKey::of(&own.member.name);
        let reporters: Vec<(InstanceKey, SocketAddr)> = self
            .of_kind(Kind::Report)
            .map(|(key, sender)| (*key, sender.peer))
            .collect();
        if !tells && reporters.is_empty() {
            return Vec::new();
        }
        let sum = self.sum(now_ms, &own, key);
        let digest = self.digest(own, key, &sum);
        let mut out: Vec<(SocketAddr, Told)> = self
            .other_hubs(key, hubs)
            .into_iter()
            .map(|peer| (peer, sum.clone()))
            .collect();
        for (reporter, peer) in reporters {
            let told = self.without(&digest, reporter);
            out.push((peer, told));
        }
        out
    }

    fn of_kind(&self, kind: Kind) -> impl Iterator<Item = (&InstanceKey, &Sender)> {
        self.senders
            .iter()
            .filter(move |(_, sender)| sender.kind == kind)
    }

    /// Where the other hubs are: those that this instance takes for hubs, and those that act as such.
    fn other_hubs(&self, own: InstanceKey, hubs: &[&Member]) -> HashSet<SocketAddr> {
        let known = hubs.iter().filter(|hub| InstanceKey::of(&hub.name) != own);
        let acting = self.of_kind(Kind::Sum).map(|(_, sender)| sender.peer);
        known.filter_map(|hub| hub.peer).chain(acting).collect()
    }

    /// What this instance and those that report to it have.
    fn sum(&mut self, now_ms: u64, own: &Own, key: InstanceKey) -> Told {
        let mut loads: HashMap<UpstreamKey, Load> = own.loads.iter().copied().collect();
        let mut demand = own.demand.clone();
        let mut alive: Vec<InstanceKey> = ready_key(&own.member).into_iter().collect();
        for (_, sender) in self.of_kind(Kind::Report) {
            for (upstream, load) in &sender.loads {
                loads.entry(*upstream).or_default().add(load);
            }
            demand::add(&mut demand, &sender.demand);
            alive.extend(&sender.alive);
        }
        // Who missed another hub learns of it by those that hear it.
        alive.extend(
            self.of_kind(Kind::Sum)
                .filter_map(|(_, hub)| hub.alive.first()),
        );
        let mut reads = std::mem::take(&mut self.up);
        reads.extend(&own.reads);
        reads.truncate(MOST_READS);
        let mut turning = std::mem::take(&mut self.up_turning);
        turning.extend(&own.turning);
        Told {
            loads: loads.into_iter().collect(),
            reads,
            turning,
            demand,
            alive,
            members: self.members_told(),
            gives_after: own.gives_after,
            list: own.list,
            doubt_ms: own.doubt_ms,
            config: own.config,
            news: self.news.told(now_ms),
            ..Told::new(key, Kind::Sum)
        }
    }

    /// What all have, from which the part of each receiver is still to be taken.
    fn digest(&mut self, own: Own, key: InstanceKey, sum: &Told) -> Told {
        let mut loads = self.totals.clone();
        for (upstream, load) in &own.loads {
            loads.entry(*upstream).or_default().add(load);
        }
        let mut reads = std::mem::take(&mut self.down);
        reads.extend(&sum.reads);
        reads.truncate(MOST_READS);
        let mut turning = std::mem::take(&mut self.down_turning);
        turning.extend(&sum.turning);
        let mut demand = own.demand;
        let mut alive = Vec::new();
        for sender in self.senders.values() {
            demand::add(&mut demand, &sender.demand);
        }
        if self.ticks.is_multiple_of(ALIVE_PERIODS) {
            alive.extend(ready_key(&own.member));
            alive.extend(self.senders.values().flat_map(|sender| &sender.alive));
        }
        Told {
            kind: Kind::Digest,
            from: key,
            loads: loads.into_iter().collect(),
            reads,
            turning,
            demand,
            alive,
            ..sum.clone()
        }
    }

    /// A digest for one that reported, without its own part.
    fn without(&self, digest: &Told, receiver: InstanceKey) -> Told {
        let mut told = digest.clone();
        let Some(sender) = self.senders.get(&receiver) else {
            return told;
        };
        let own: HashMap<UpstreamKey, Load> = sender.loads.iter().copied().collect();
        told.loads.retain_mut(|(upstream, load)| {
            if let Some(part) = own.get(upstream) {
                load.take(part);
            }
            !load.is_none()
        });
        demand::take(&mut told.demand, &sender.demand);
        told
    }

    fn members_told(&self) -> Vec<Member> {
        self.joined
            .iter()
            .map(|(_, member)| member.clone())
            .collect()
    }
}

fn ready_key(member: &Member) -> Option<InstanceKey> {
    member.ready.then(|| InstanceKey::of(&member.name))
}
