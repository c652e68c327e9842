//! Gossip that this instance has received, and what it sends.
//!
//! An instance either reports to a hub or is one. A hub adds up what its reporters send, sends the
//! sum to the other hubs, and returns to each reporter the load of the whole fleet without the
//! reporter's own. There is no agreement on who is a hub: an instance that receives reports acts as
//! one, and an instance that receives nothing from its hub switches to the next. Received load
//! counts for [`STALE_AFTER_MS`], so the share of an instance that goes away disappears with it.
//! See docs/design/views.md.

mod outgoing;
mod pace;
mod resend;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

pub use self::pace::MAX_PACES;
use self::pace::PaceGossip;
use self::resend::ResendQueue;
use crate::{
    FailureEvidence, GossipMessage, GossipedChange, InstanceKey, Load, LogPosition, Member,
    MessageKind, PartEvidence, PendingRoleChange, PrefilledPart, RecentChanges, RequestKey,
    ServiceDemand, ServiceHeard, ServiceKey, TrialNews, Unreached, UpstreamKey, UpstreamLimit,
    demand,
};

/// Gossip period, in ms. All instances know the load of one instance within three periods, a
/// fraction of the shortest latency objective.
pub const PERIOD_MS: u64 = 50;

/// Age at which received load no longer counts, in ms: two datagrams of an idle instance.
pub const STALE_AFTER_MS: u64 = 700;

/// What this instance gossips about itself.
#[derive(Debug, Clone)]
pub struct LocalState {
    /// Its heartbeat record.
    pub member: Member,
    /// Its outstanding load by upstream.
    pub loads: Vec<(UpstreamKey, Load)>,
    /// Prompt parts that it sent to prefill since the last period.
    pub prefilled_parts: Vec<PrefilledPart>,
    /// Engines that it has ordered to another stage.
    pub role_changes: Vec<PendingRoleChange>,
    /// The demand of its callers.
    pub demand: Vec<ServiceDemand>,
    /// Fencing token of the last order that it gave; `None` if it could not give one now.
    pub last_order_token: Option<u64>,
    /// Fencing token of its last call as fleet leader; `None` if it could not make one now.
    pub last_task_token: Option<u64>,
    /// Wall-clock time by its own clock, in ms since 1970.
    pub clock_ms: u64,
    /// Its estimate of the fleet's wall-clock time, in ms since 1970.
    pub fleet_clock_ms: u64,
    /// Its position in the log of the list of upstreams.
    pub list_position: Option<LogPosition>,
    /// Its position in the log of the configuration.
    pub config_position: Option<LogPosition>,
    /// Poison requests, which must not be sent to any upstream.
    pub poison: Vec<RequestKey>,
    /// Numbers of trials of those that were tried.
    pub trial_counts: Vec<(RequestKey, u8)>,
    /// Services of which it reaches no upstream.
    pub unreached: Vec<ServiceKey>,
    /// When it last heard upstreams.
    pub heard: Vec<ServiceHeard>,
}

/// The effect of a datagram, or of expiry, on the load of peers.
#[derive(Debug, Default)]
pub struct ChangedLoads {
    /// Upstreams at which the load of peers has changed.
    pub upstreams: Vec<UpstreamKey>,
}

type Loads = HashMap<UpstreamKey, Load>;

#[derive(Debug)]
struct Sender {
    peer: SocketAddr,
    at_ms: u64,
    kind: MessageKind,
    /// Whether it has been sent a full datagram since it appeared.
    got_full_datagram: bool,
    loads: Loads,
    demand: Vec<ServiceDemand>,
    alive: Vec<InstanceKey>,
    unreached: Vec<Unreached>,
    /// When the instances that it speaks for last heard upstreams.
    heard_ms: HashMap<ServiceKey, u64>,
    last_order_token: Option<u64>,
    last_task_token: Option<u64>,
}

#[derive(Debug, Clone, Copy)]
struct Hub {
    key: InstanceKey,
    since_ms: u64,
}

/// Received gossip, and what waits to be sent or passed on.
#[derive(Debug, Default)]
pub struct GossipState {
    senders: HashMap<InstanceKey, Sender>,
    totals: Loads,
    /// The loads of the whole fleet (`last_fleet_loads`), and of this instance and its reporters
    /// (`last_sum_loads`), as of the last period.
    last_fleet_loads: Loads,
    last_sum_loads: Loads,
    /// Prompt parts from reporters, for the other hubs.
    up_parts: Vec<PrefilledPart>,
    /// Prompt parts from other hubs, for the reporters.
    down_parts: Vec<PrefilledPart>,
    up_role_changes: Vec<PendingRoleChange>,
    down_role_changes: Vec<PendingRoleChange>,
    /// Evidence observed by this instance or its reporters, for all instances.
    up_evidence: ResendQueue<FailureEvidence>,
    /// Evidence from other hubs, for the reporters.
    down_evidence: ResendQueue<FailureEvidence>,
    /// Evidence on prompt parts of this instance or its reporters, for all instances.
    up_part_evidence: ResendQueue<PartEvidence>,
    /// Evidence on prompt parts from other hubs, for the reporters.
    down_part_evidence: ResendQueue<PartEvidence>,
    /// Trials of requests by this instance or its reporters, for all instances.
    up_trials: ResendQueue<TrialNews>,
    /// Trials by instances of other hubs, for the reporters.
    down_trials: ResendQueue<TrialNews>,
    /// Limits that upstreams named to this instance or its reporters, for all instances.
    up_limits: ResendQueue<UpstreamLimit>,
    /// Limits from other hubs, for the reporters.
    down_limits: ResendQueue<UpstreamLimit>,
    /// Paces of upstreams.
    paces: PaceGossip,
    recent_members: Vec<(u64, Member)>,
    list_changes: RecentChanges,
    hub: Option<Hub>,
    avoided_hubs: HashMap<InstanceKey, u64>,
    ticks: u64,
    last_own_loads: Vec<(UpstreamKey, Load)>,
    last_own_unreached: Vec<ServiceKey>,
}

impl Sender {
    fn note_heard(&mut self, now_ms: u64, heard: &[ServiceHeard]) {
        for each in heard {
            let heard_ms = now_ms.saturating_sub(each.age_ms.into());
            let known_ms = self.heard_ms.entry(each.service).or_default();
            *known_ms = heard_ms.max(*known_ms);
        }
    }
}

impl GossipState {
    /// Processes a datagram. The caller must process its prompt parts, members and list changes as
    /// well.
    pub fn receive(
        &mut self,
        now_ms: u64,
        message: &GossipMessage,
        peer: SocketAddr,
    ) -> ChangedLoads {
        let is_hub = self.hub.is_some_and(|hub| hub.key == message.from);
        if message.kind == MessageKind::Digest && !is_hub {
            return ChangedLoads::default();
        }
        let mut changed = Vec::new();
        if message.kind == MessageKind::Digest {
            self.drop_other_digests(message.from, &mut changed);
        }
        let (parts, role_changes) = match message.kind {
            MessageKind::Report => (Some(&mut self.up_parts), Some(&mut self.up_role_changes)),
            MessageKind::Sum => (
                Some(&mut self.down_parts),
                Some(&mut self.down_role_changes),
            ),
            MessageKind::Digest => (None, None),
        };
        if let Some(parts) = parts {
            parts.extend(&message.prefilled_parts);
        }
        if let Some(role_changes) = role_changes {
            role_changes.extend(&message.role_changes);
        }
        let before = self.senders.remove(&message.from);
        let mut sender = Sender {
            peer,
            at_ms: now_ms,
            kind: message.kind,
            got_full_datagram: before
                .as_ref()
                .is_some_and(|before| before.got_full_datagram),
            last_order_token: message.last_order_token,
            last_task_token: message.last_task_token,
            loads: Loads::new(),
            demand: Vec::new(),
            alive: Vec::new(),
            unreached: Vec::new(),
            heard_ms: HashMap::new(),
        };
        if let Some(before) = before {
            sender.loads = before.loads;
            sender.demand = before.demand;
            sender.alive = before.alive;
            sender.unreached = before.unreached;
            sender.heard_ms = before.heard_ms;
        }
        // Not every datagram has these; the last values received stay valid until the next.
        if !message.alive.is_empty() {
            sender.alive.clone_from(&message.alive);
            sender.demand.clone_from(&message.demand);
            sender.unreached.clone_from(&message.unreached);
            sender.note_heard(now_ms, &message.heard);
        }
        self.update_loads(&mut sender.loads, message, &mut changed);
        self.senders.insert(message.from, sender);
        ChangedLoads { upstreams: changed }
    }

    /// Updates a sender's loads and the totals from a datagram.
    fn update_loads(
        &mut self,
        loads: &mut Loads,
        message: &GossipMessage,
        changed: &mut Vec<UpstreamKey>,
    ) {
        if message.is_full {
            let listed: HashSet<UpstreamKey> = message.loads.iter().map(|(key, _)| *key).collect();
            let gone: Vec<UpstreamKey> = loads
                .keys()
                .filter(|key| !listed.contains(key))
                .copied()
                .collect();
            for key in gone {
                let old = loads.remove(&key).unwrap_or_default();
                self.change_total(key, &old, &Load::default());
                changed.push(key);
            }
        }
        for (key, load) in &message.loads {
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

    /// Drops senders whose load is too old to count.
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

    /// Drops the digests of former hubs, whose load would be counted twice.
    fn drop_other_digests(&mut self, hub: InstanceKey, changed: &mut Vec<UpstreamKey>) {
        let former_hubs: Vec<InstanceKey> = self
            .of_kind(MessageKind::Digest)
            .map(|(key, _)| *key)
            .filter(|key| *key != hub)
            .collect();
        for key in former_hubs {
            self.drop_sender(key, changed);
        }
    }

    /// Outstanding load of peers at an upstream.
    pub fn load(&self, upstream: UpstreamKey) -> Load {
        self.totals.get(&upstream).copied().unwrap_or_default()
    }

    /// Peers that reach no upstream of a service.
    pub fn unreached(&self) -> impl Iterator<Item = Unreached> {
        self.senders
            .values()
            .flat_map(|sender| sender.unreached.iter().copied())
    }

    /// When a peer last heard an upstream of a service.
    pub fn heard_ms(&self, service: ServiceKey) -> Option<u64> {
        let senders = self.senders.values();
        let heard = senders.filter_map(|sender| sender.heard_ms.get(&service).copied());
        heard.max()
    }

    /// Whether gossip has been received that is recent enough to count.
    pub fn has_senders(&self) -> bool {
        !self.senders.is_empty()
    }

    /// Demand of the callers of all peers.
    pub fn demand(&self) -> Vec<ServiceDemand> {
        let mut sum = Vec::new();
        for sender in self.senders.values() {
            demand::add(&mut sum, &sender.demand);
        }
        sum
    }

    /// Peers that could give orders to engines now, each with the fencing token of its last order.
    pub fn order_candidates(&self) -> impl Iterator<Item = (InstanceKey, u64)> {
        self.senders
            .iter()
            .filter_map(|(key, sender)| Some((*key, sender.last_order_token?)))
    }

    /// Peers that could act as fleet leader now, each with the fencing token of its last call as
    /// leader.
    pub fn task_candidates(&self) -> impl Iterator<Item = (InstanceKey, u64)> {
        self.senders
            .iter()
            .filter_map(|(key, sender)| Some((*key, sender.last_task_token?)))
    }

    /// Address of a peer that receives the gossip of the fleet: this instance's hub, or another
    /// hub.
    pub fn informed_peer(&self) -> Option<SocketAddr> {
        let hub = self.hub.and_then(|hub| self.senders.get(&hub.key));
        let hubs = self
            .senders
            .values()
            .filter(|sender| sender.kind == MessageKind::Sum);
        hub.or_else(|| hubs.max_by_key(|sender| sender.at_ms))
            .map(|sender| sender.peer)
    }

    /// Adds a change to the list of upstreams that was read or received.
    pub fn add_list_change(&mut self, now_ms: u64, change: GossipedChange) {
        self.list_changes.add(now_ms, change);
    }

    /// Adds evidence that this instance observed and that is new to peers.
    pub fn add_evidence(&mut self, evidence: FailureEvidence) {
        self.up_evidence.add(evidence);
    }

    /// Passes on evidence that was new here, to the instances that datagrams of its sender do not
    /// reach.
    pub fn forward_evidence(&mut self, evidence: FailureEvidence, sender_kind: MessageKind) {
        match sender_kind {
            MessageKind::Report => self.up_evidence.add(evidence),
            MessageKind::Sum => self.down_evidence.add(evidence),
            MessageKind::Digest => {}
        }
    }

    /// Adds evidence on a prompt part that is new to peers.
    pub fn add_part_evidence(&mut self, evidence: PartEvidence) {
        self.up_part_evidence.add(evidence);
    }

    /// Passes on evidence on a prompt part that was new here, to the instances that datagrams of its sender do not
    /// reach.
    pub fn forward_part_evidence(&mut self, evidence: PartEvidence, sender_kind: MessageKind) {
        match sender_kind {
            MessageKind::Report => self.up_part_evidence.add(evidence),
            MessageKind::Sum => self.down_part_evidence.add(evidence),
            MessageKind::Digest => {}
        }
    }

    /// Adds what this instance does about the trial of a request.
    pub fn add_trial(&mut self, news: TrialNews) {
        self.up_trials.add(news);
    }

    /// Passes on what was new here of a trial, to the instances that datagrams of its sender do not reach.
    pub fn forward_trial(&mut self, news: TrialNews, sender_kind: MessageKind) {
        match sender_kind {
            MessageKind::Report => self.up_trials.add(news),
            MessageKind::Sum => self.down_trials.add(news),
            MessageKind::Digest => {}
        }
    }

    /// Adds a limit that an upstream named to this instance, or its withdrawal.
    pub fn add_limit(&mut self, limit: UpstreamLimit) {
        self.up_limits.add(limit);
    }

    /// Passes on a limit that was new here, to the instances that datagrams of its sender do not
    /// reach.
    pub fn forward_limit(&mut self, limit: UpstreamLimit, sender_kind: MessageKind) {
        match sender_kind {
            MessageKind::Report => self.up_limits.add(limit),
            MessageKind::Sum => self.down_limits.add(limit),
            MessageKind::Digest => {}
        }
    }

    /// Adds the new or changed heartbeat record of an instance.
    pub fn add_member(&mut self, now_ms: u64, member: Member) {
        self.recent_members
            .retain(|(_, known)| known.name != member.name);
        self.recent_members.push((now_ms, member));
    }
}
