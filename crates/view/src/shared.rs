//! What this instance was told by others, and what it tells them in turn.
//!
//! One instance reports to its hub, or is one: a hub adds up what those around it report, tells the sum
//! to the other hubs, and gives back to each what all but it have. Nobody agrees on who is a hub. Who is
//! reported to acts as one, and who hears nothing from its hub goes to the next. What was told counts for
//! [`STALE_MS`], so an instance that goes takes its share along. See docs/design/views.md.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use crate::hubs::Ranks;
use crate::{
    InstanceKey, Kind, Load, Mark, Member, News, PartRead, RecentNews, ServiceDemand, Told,
    Turning, UpstreamKey, demand, hubs,
};

/// Time between two datagrams to one receiver, in ms: what one instance has is known to all within three,
/// and that is a fraction of the shortest objective.
pub const PERIOD_MS: u64 = 50;

/// Periods for each datagram that says all there is, who lives and what is asked; the others say what
/// changed, and an instance to which nothing happens sends none. So a lost one shows for a fifth of a
/// second, at half of the bytes.
const WHOLE_PERIODS: u64 = 4;

/// Periods for each list of those that live in what hubs tell each other: with a tenth of all datagrams lost
/// nobody who lives is taken for gone for want of one.
const SUM_ALIVE_PERIODS: u64 = 2;

/// Age at which what was told is no longer counted, in ms: two datagrams of an idle instance.
pub const STALE_MS: u64 = 700;

/// Time without word from a hub after which another one is told, in ms: several of its datagrams.
const HUB_LOST_MS: u64 = 400;

/// Time for which a hub that fell silent is not chosen again, in ms.
const AVOIDED_MS: u64 = 3_000;

/// Most reads of parts in one datagram: twice what two hundred engines have in a period in a rush.
const MOST_READS: usize = 400;

/// Time for which an instance's own record is told on, in ms.
const JOINED_MS: u64 = 500;

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
    /// Where the configuration stands.
    pub config: Option<Mark>,
}

/// What a datagram changed.
#[derive(Debug, Default)]
pub struct Heard {
    /// Upstreams at which others have something else outstanding than before.
    pub loads: Vec<UpstreamKey>,
}

type Loads = HashMap<UpstreamKey, Load>;

#[derive(Debug)]
struct Sender {
    peer: SocketAddr,
    at_ms: u64,
    kind: Kind,
    /// Whether it was told all there is since it came.
    is_greeted: bool,
    loads: Loads,
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
    totals: Loads,
    /// What all, and what those that report here and this instance had at the last period.
    last_all: Loads,
    last_sum: Loads,
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
    last_own: Vec<(UpstreamKey, Load)>,
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
        let before = self.senders.remove(&told.from);
        let mut sender = Sender {
            peer,
            at_ms: now_ms,
            kind: told.kind,
            is_greeted: before.as_ref().is_some_and(|before| before.is_greeted),
            gives_after: told.gives_after,
            loads: Loads::new(),
            demand: Vec::new(),
            alive: Vec::new(),
        };
        if let Some(before) = before {
            sender.loads = before.loads;
            sender.demand = before.demand;
            sender.alive = before.alive;
        }
        // Those that live and what is asked come with each few datagrams only, and hold until then.
        if !told.alive.is_empty() {
            sender.alive.clone_from(&told.alive);
            sender.demand.clone_from(&told.demand);
        }
        self.take_loads(&mut sender.loads, told, &mut changed);
        self.senders.insert(told.from, sender);
        Heard { loads: changed }
    }

    /// Takes over what a sender has now, in its own loads and in the totals.
    fn take_loads(&mut self, loads: &mut Loads, told: &Told, changed: &mut Vec<UpstreamKey>) {
        if told.is_whole {
            let named: HashSet<UpstreamKey> = told.loads.iter().map(|(key, _)| *key).collect();
            let gone: Vec<UpstreamKey> = loads
                .keys()
                .filter(|key| !named.contains(key))
                .copied()
                .collect();
            for key in gone {
                let old = loads.remove(&key).unwrap_or_default();
                self.change_total(key, &old, &Load::default());
                changed.push(key);
            }
        }
        for (key, load) in &told.loads {
            let old = if load.is_none() {
                loads.remove(key)
            } else {
                loads.insert(*key, *load)
            };
            self.change_total(*key, &old.unwrap_or_default(), load);
            changed.push(*key);
        }
    }

    fn change_total(&mut self, key: UpstreamKey, old: &Load, new: &Load) {
        let total = self.totals.entry(key).or_default();
        total.add(new);
        total.take(old);
        if total.is_none() {
            self.totals.remove(&key);
        }
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
            self.drop_sender(key, &mut changed);
        }
        Heard { loads: changed }
    }

    fn drop_sender(&mut self, key: InstanceKey, changed: &mut Vec<UpstreamKey>) {
        let Some(sender) = self.senders.remove(&key) else {
            return;
        };
        for (upstream, load) in &sender.loads {
            self.change_total(*upstream, load, &Load::default());
            changed.push(*upstream);
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
            self.drop_sender(key, changed);
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
    pub fn tick(&mut self, now_ms: u64, own: Own, ranks: &Ranks) -> Vec<(SocketAddr, Told)> {
        self.ticks += 1;
        // The first empty datagram clears what others hold against this instance; further ones only say
        // that it lives.
        let is_news =
            own.loads != self.last_own || !own.reads.is_empty() || !own.turning.is_empty();
        let tells = is_news || self.ticks.is_multiple_of(WHOLE_PERIODS);
        self.last_own.clone_from(&own.loads);
        self.joined.retain(|(at_ms, _)| now_ms < at_ms + JOINED_MS);
        let is_told = self.senders.values().any(|it| it.kind != Kind::Digest);
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
        own: Own,
        ranks: &Ranks,
        tells: bool,
    ) -> Vec<(SocketAddr, Told)> {
        let Some(hub) = self.chosen(now_ms, &own.member, &ranks.hubs) else {
            return Vec::new();
        };
        self.up.clear();
        self.down.clear();
        self.up_turning.clear();
        self.down_turning.clear();
        let is_new = self.hub.is_some_and(|hub| hub.since_ms == now_ms);
        if !tells && !is_new {
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
    fn chosen(&mut self, now_ms: u64, own: &Member, hubs: &[Member]) -> Option<SocketAddr> {
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
        let others: Vec<&Member> = hubs.iter().filter(|hub| !is_avoided(hub)).collect();
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
        own: &Own,
        ranks: &Ranks,
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
        let hubs = self.other_hubs(key, &ranks.hubs);
        let (sum, digest) = self.sum_and_digest(now_ms, own, key);
        let mut out: Vec<(SocketAddr, Told)> =
            hubs.into_iter().map(|peer| (peer, sum.clone())).collect();
        for (reporter, peer) in reporters {
            out.push((peer, self.without(&digest, reporter)));
        }
        out
    }

    fn of_kind(&self, kind: Kind) -> impl Iterator<Item = (&InstanceKey, &Sender)> {
        self.senders
            .iter()
            .filter(move |(_, sender)| sender.kind == kind)
    }

    /// Where the other hubs are: those that this instance takes for hubs, and those that act as such.
    fn other_hubs(&self, own: InstanceKey, hubs: &[Member]) -> HashSet<SocketAddr> {
        let known = hubs.iter().filter(|hub| InstanceKey::of(&hub.name) != own);
        let acting = self.of_kind(Kind::Sum).map(|(_, sender)| sender.peer);
        known.filter_map(|hub| hub.peer).chain(acting).collect()
    }

    /// What this instance and those that report to it have, for the other hubs, and what all have, from
    /// which the part of each receiver is still to be taken.
    fn sum_and_digest(&mut self, now_ms: u64, own: &Own, key: InstanceKey) -> (Told, Told) {
        let is_whole = self.ticks.is_multiple_of(WHOLE_PERIODS);
        let mut loads: Loads = own.loads.iter().copied().collect();
        let mut all = self.totals.clone();
        add_all(&mut all, &loads);
        for (_, sender) in self.of_kind(Kind::Report) {
            add_all(&mut loads, &sender.loads);
        }
        let told = Told {
            is_whole,
            members: self.members_told(),
            gives_after: own.gives_after,
            list: own.list,
            config: own.config,
            news: self.news.told(now_ms),
            ..Told::new(key, Kind::Sum)
        };
        let mut sum = Told {
            loads: changes(&loads, &mut self.last_sum, is_whole),
            reads: taken(&mut self.up, &own.reads),
            turning: taken(&mut self.up_turning, &own.turning),
            ..told.clone()
        };
        let mut digest = Told {
            kind: Kind::Digest,
            loads: changes(&all, &mut self.last_all, is_whole),
            reads: taken(&mut self.down, &sum.reads),
            turning: taken(&mut self.down_turning, &sum.turning),
            ..told
        };
        let (alive, demand) = self.alive(own, Kind::Report);
        if is_whole {
            (digest.alive, digest.demand) = self.alive(own, Kind::Sum);
            digest.alive.extend(&alive);
            demand::add(&mut digest.demand, &demand);
            demand::take(&mut digest.demand, &own.demand);
        }
        if self.ticks.is_multiple_of(SUM_ALIVE_PERIODS) {
            // Who missed another hub learns of it by those that hear it.
            let hubs = self.of_kind(Kind::Sum);
            let hubs = hubs.filter_map(|(_, hub)| hub.alive.first());
            sum.alive = alive.into_iter().chain(hubs.copied()).collect();
            sum.demand = demand;
        }
        (sum, digest)
    }

    /// Those that live, and what is asked of them, by the word of senders of one kind and of this instance.
    fn alive(&self, own: &Own, kind: Kind) -> (Vec<InstanceKey>, Vec<ServiceDemand>) {
        let mut alive: Vec<InstanceKey> = ready_key(&own.member).into_iter().collect();
        let mut demand = own.demand.clone();
        for (_, sender) in self.of_kind(kind) {
            alive.extend(&sender.alive);
            demand::add(&mut demand, &sender.demand);
        }
        (alive, demand)
    }

    /// A digest for one that reported, without its own part; all there is if it has just come.
    fn without(&mut self, digest: &Told, receiver: InstanceKey) -> Told {
        let mut told = digest.clone();
        let Some(sender) = self.senders.get_mut(&receiver) else {
            return told;
        };
        if !std::mem::replace(&mut sender.is_greeted, true) {
            told.is_whole = true;
            told.loads = self
                .last_all
                .iter()
                .map(|(key, load)| (*key, *load))
                .collect();
        }
        for (upstream, load) in &mut told.loads {
            if let Some(part) = sender.loads.get(upstream) {
                load.take(part);
            }
        }
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
