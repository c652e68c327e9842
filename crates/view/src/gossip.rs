//! What this instance was told by others, and what it tells them in turn.
//!
//! One instance reports to its hub, or is one: a hub adds up what those around it report, tells the sum
//! to the other hubs, and gives back to each what all but it have. Nobody agrees on who is a hub. Who is
//! reported to acts as one, and who hears nothing from its hub goes to the next. What was told counts for
//! [`STALE_AFTER_MS`], so an instance that goes takes its share along. See docs/design/views.md.

mod outgoing;
mod resend;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use self::resend::Repeated;
use crate::{
    FailureEvidence, GossipMessage, GossipedChange, InstanceKey, Load, LogPosition, Member,
    MessageKind, PendingRoleChange, PrefilledPart, RecentChanges, RequestKey, ServiceDemand,
    UpstreamKey, UpstreamLimit, demand,
};

/// Time between two datagrams to one receiver, in ms: what one instance has is known to all within three,
/// and that is a fraction of the shortest objective.
pub const PERIOD_MS: u64 = 50;

/// Age at which what was told is no longer counted, in ms: two datagrams of an idle instance.
pub const STALE_AFTER_MS: u64 = 700;

/// What this instance has to tell of itself.
#[derive(Debug, Clone)]
pub struct LocalState {
    /// Itself.
    pub member: Member,
    /// What it has outstanding.
    pub loads: Vec<(UpstreamKey, Load)>,
    /// Parts that it had read since it was last asked.
    pub prefilled_parts: Vec<PrefilledPart>,
    /// Engines that it has ordered to another stage.
    pub role_changes: Vec<PendingRoleChange>,
    /// What callers ask of it.
    pub demand: Vec<ServiceDemand>,
    /// Fencing token of the last order that it gave, if it could give one now.
    pub last_order_token: Option<u64>,
    /// Fencing token of its last call for the fleet, if it could make one now.
    pub last_task_token: Option<u64>,
    /// Time of day by its own clock, in ms since 1970.
    pub clock_ms: u64,
    /// Time of day that it takes for the fleet's, in ms since 1970.
    pub fleet_clock_ms: u64,
    /// Where the list of upstreams stands.
    pub list_position: Option<LogPosition>,
    /// Where the configuration stands.
    pub config_position: Option<LogPosition>,
    /// Requests that no upstream is to get any more.
    pub poison: Vec<RequestKey>,
}

/// What a datagram changed.
#[derive(Debug, Default)]
pub struct ChangedLoads {
    /// Upstreams at which others have something else outstanding than before.
    pub upstreams: Vec<UpstreamKey>,
}

type Loads = HashMap<UpstreamKey, Load>;

#[derive(Debug)]
struct Sender {
    peer: SocketAddr,
    at_ms: u64,
    kind: MessageKind,
    /// Whether it was told all there is since it came.
    is_greeted: bool,
    loads: Loads,
    demand: Vec<ServiceDemand>,
    alive: Vec<InstanceKey>,
    gives_after: Option<u64>,
    holds_after: Option<u64>,
}

#[derive(Debug, Clone, Copy)]
struct Hub {
    key: InstanceKey,
    since_ms: u64,
}

/// What others told, and what goes on to whom.
#[derive(Debug, Default)]
pub struct GossipState {
    senders: HashMap<InstanceKey, Sender>,
    totals: Loads,
    /// What all, and what those that report here and this instance had at the last period.
    last_all: Loads,
    last_sum: Loads,
    /// Reads of those that report here, for the other hubs.
    up: Vec<PrefilledPart>,
    /// Reads of other hubs, for those that report here.
    down: Vec<PrefilledPart>,
    up_turning: Vec<PendingRoleChange>,
    down_turning: Vec<PendingRoleChange>,
    /// Fates that were seen here or by those that report here, for all.
    up_fates: Repeated<FailureEvidence>,
    /// Those that other hubs told of, for those that report here.
    down_fates: Repeated<FailureEvidence>,
    /// Limits of upstreams that were named here or to those that report here, for all.
    up_limits: Repeated<UpstreamLimit>,
    /// Those that other hubs told of, for those that report here.
    down_limits: Repeated<UpstreamLimit>,
    joined: Vec<(u64, Member)>,
    news: RecentChanges,
    hub: Option<Hub>,
    avoided: HashMap<InstanceKey, u64>,
    ticks: u64,
    last_own: Vec<(UpstreamKey, Load)>,
}

impl GossipState {
    /// A datagram came; its reads, members and news are the caller's to take in as well.
    pub fn receive(&mut self, now_ms: u64, told: &GossipMessage, peer: SocketAddr) -> ChangedLoads {
        let is_hub = self.hub.is_some_and(|hub| hub.key == told.from);
        if told.kind == MessageKind::Digest && !is_hub {
            return ChangedLoads::default();
        }
        let mut changed = Vec::new();
        if told.kind == MessageKind::Digest {
            self.drop_other_digests(told.from, &mut changed);
        }
        let (reads, turning) = match told.kind {
            MessageKind::Report => (Some(&mut self.up), Some(&mut self.up_turning)),
            MessageKind::Sum => (Some(&mut self.down), Some(&mut self.down_turning)),
            MessageKind::Digest => (None, None),
        };
        if let Some(reads) = reads {
            reads.extend(&told.prefilled_parts);
        }
        if let Some(turning) = turning {
            turning.extend(&told.role_changes);
        }
        let before = self.senders.remove(&told.from);
        let mut sender = Sender {
            peer,
            at_ms: now_ms,
            kind: told.kind,
            is_greeted: before.as_ref().is_some_and(|before| before.is_greeted),
            gives_after: told.last_order_token,
            holds_after: told.last_task_token,
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
        ChangedLoads { upstreams: changed }
    }

    /// Takes over what a sender has now, in its own loads and in the totals.
    fn take_loads(
        &mut self,
        loads: &mut Loads,
        told: &GossipMessage,
        changed: &mut Vec<UpstreamKey>,
    ) {
        if told.is_full {
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
            let old = if load.is_empty() {
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
        total.subtract(old);
        if total.is_empty() {
            self.totals.remove(&key);
        }
    }

    /// Drops what is too old to count.
    pub fn expire(&mut self, now_ms: u64) -> ChangedLoads {
        let is_old = |sender: &Sender| sender.at_ms + STALE_AFTER_MS < now_ms;
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
        ChangedLoads { upstreams: changed }
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

    fn of_kind(&self, kind: MessageKind) -> impl Iterator<Item = (&InstanceKey, &Sender)> {
        self.senders
            .iter()
            .filter(move |(_, sender)| sender.kind == kind)
    }

    /// What a former hub told would be counted beside what the present one does.
    fn drop_other_digests(&mut self, hub: InstanceKey, changed: &mut Vec<UpstreamKey>) {
        let others: Vec<InstanceKey> = self
            .of_kind(MessageKind::Digest)
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
    pub fn has_senders(&self) -> bool {
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
    pub fn order_candidates(&self) -> impl Iterator<Item = (InstanceKey, u64)> {
        self.senders
            .iter()
            .filter_map(|(key, sender)| Some((*key, sender.gives_after?)))
    }

    /// Other instances that could make calls for the fleet now, each with the token of its last.
    pub fn task_candidates(&self) -> impl Iterator<Item = (InstanceKey, u64)> {
        self.senders
            .iter()
            .filter_map(|(key, sender)| Some((*key, sender.holds_after?)))
    }

    /// Where an instance is that knows what the others tell: the own hub, or another one.
    pub fn informed_peer(&self) -> Option<SocketAddr> {
        let hub = self.hub.and_then(|hub| self.senders.get(&hub.key));
        let hubs = self
            .senders
            .values()
            .filter(|sender| sender.kind == MessageKind::Sum);
        hub.or_else(|| hubs.max_by_key(|sender| sender.at_ms))
            .map(|sender| sender.peer)
    }

    /// A change of the list of upstreams was read or heard of.
    pub fn add_list_change(&mut self, now_ms: u64, news: GossipedChange) {
        self.news.add(now_ms, news);
    }

    /// Something became of a request here, which the others do not know.
    pub fn add_evidence(&mut self, fate: FailureEvidence) {
        self.up_fates.add(fate);
    }

    /// Something became of a request elsewhere that was not known here, and goes on to whom the sender's kind
    /// does not reach.
    pub fn forward_evidence(&mut self, fate: FailureEvidence, told_by: MessageKind) {
        match told_by {
            MessageKind::Report => self.up_fates.add(fate),
            MessageKind::Sum => self.down_fates.add(fate),
            MessageKind::Digest => {}
        }
    }

    /// An upstream named its limit here, or names none any more.
    pub fn add_limit(&mut self, limit: UpstreamLimit) {
        self.up_limits.add(limit);
    }

    /// A limit was told that was not known here, and goes on to whom the sender's kind does not reach.
    pub fn forward_limit(&mut self, limit: UpstreamLimit, told_by: MessageKind) {
        match told_by {
            MessageKind::Report => self.up_limits.add(limit),
            MessageKind::Sum => self.down_limits.add(limit),
            MessageKind::Digest => {}
        }
    }

    /// An instance has come or changed.
    pub fn add_member(&mut self, now_ms: u64, member: Member) {
        self.joined.retain(|(_, known)| known.name != member.name);
        self.joined.push((now_ms, member));
    }
}
