//! A simulated fleet of instances that gossip in virtual time.

#![allow(dead_code, reason = "each test file uses a part of this")]

pub mod log;
pub mod old_versions;
pub mod part_storm;
pub mod request_storm;
pub mod version_storm;

use std::collections::HashMap;
use std::net::SocketAddr;

use view::gossip::{GossipState, LocalState, PERIOD_MS};
use view::hubs::HubRanking;
use view::{
    EngineTimeLedger, FailureEvidence, GossipMessage, GossipedChange, InstanceKey, Load,
    LogPosition, Member, Members, PaceReport, PartEvidence, PartTracker, PoisonTracker,
    PrefillQueue, ServiceHeard, ServiceKey, UpstreamKey, UpstreamLimit, decode, encode,
    engine_time,
};

/// Transit time of a datagram, in ms.
const TRANSIT_MS: u64 = 2;

/// Length of a simulation step, in ms.
pub const STEP_MS: u64 = 10;

/// Number of zones.
const ZONES: usize = 5;

/// A simulated instance.
pub struct Instance {
    pub member: Member,
    pub members: Members,
    pub gossip: GossipState,
    pub own: Vec<(UpstreamKey, Load)>,
    pub unreached: Vec<ServiceKey>,
    /// Services that it hears all the time.
    pub hears: Vec<ServiceKey>,
    pub list: Option<LogPosition>,
    pub positions: Vec<(SocketAddr, LogPosition)>,
    pub list_changes: Vec<GossipedChange>,
    pub poison: PoisonTracker,
    pub parts: PartTracker,
    pub limits: HashMap<UpstreamKey, UpstreamLimit>,
    pub engine_time: EngineTimeLedger,
    /// The last pace received of each upstream, and the most in one datagram.
    pub paces: HashMap<UpstreamKey, PaceReport>,
    pub max_paces: usize,
    pub is_running: bool,
    pub sent: usize,
    pub sent_bytes: usize,
}

/// A fleet whose datagrams have a transit time, and are lost as the test decides.
pub struct Fleet {
    pub now_ms: u64,
    pub all: Vec<Instance>,
    at: HashMap<SocketAddr, usize>,
    in_transit: Vec<(u64, usize, usize, Vec<u8>)>,
}

/// Gossip address of an instance.
pub fn address(index: usize) -> SocketAddr {
    let (high, low) = (index / 200, index % 200);
    format!("10.0.{high}.{low}:9000").parse().unwrap()
}

fn just_heard(service: ServiceKey) -> ServiceHeard {
    ServiceHeard { service, age_ms: 0 }
}

fn member(index: usize) -> Member {
    Member {
        name: format!("entry-{index}"),
        address: address(index),
        gossip_address: Some(address(index)),
        zone: format!("zone-{}", index % ZONES),
        ready: true,
        heartbeat_seq: 1,
        link_mbps: if index.is_multiple_of(20) { 200 } else { 20 },
    }
}

impl Fleet {
    /// A fleet in which all instances know all members and have not gossiped yet.
    pub fn new(instances: usize) -> Self {
        let members: Vec<Member> = (0..instances).map(member).collect();
        let all = members.iter().map(|own| {
            let mut known = Members::default();
            for each in &members {
                known.record_heartbeat(0, each.clone());
            }
            Instance {
                member: own.clone(),
                members: known,
                gossip: GossipState::default(),
                own: Vec::new(),
                unreached: Vec::new(),
                hears: Vec::new(),
                list: None,
                positions: Vec::new(),
                list_changes: Vec::new(),
                poison: PoisonTracker::default(),
                parts: PartTracker::default(),
                limits: HashMap::new(),
                engine_time: EngineTimeLedger::new(InstanceKey::of(&own.name).0),
                paces: HashMap::new(),
                max_paces: 0,
                is_running: true,
                sent: 0,
                sent_bytes: 0,
            }
        });
        Self {
            now_ms: 0,
            all: all.collect(),
            at: (0..instances)
                .map(|index| (address(index), index))
                .collect(),
            in_transit: Vec::new(),
        }
    }

    /// Runs the fleet for some time. `is_lost` decides for each datagram whether it is lost, by the
    /// index of its sender and its receiver.
    pub fn run(&mut self, for_ms: u64, mut is_lost: impl FnMut(usize, usize) -> bool) {
        let until_ms = self.now_ms + for_ms;
        while self.now_ms < until_ms {
            self.now_ms += STEP_MS;
            self.deliver();
            for index in 0..self.all.len() {
                let phase_ms = index as u64 * 7 * STEP_MS;
                if (self.now_ms + phase_ms).is_multiple_of(PERIOD_MS) && self.all[index].is_running
                {
                    self.send(index, &mut is_lost);
                }
            }
        }
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let (due, rest) = std::mem::take(&mut self.in_transit)
            .into_iter()
            .partition(|(at_ms, ..)| *at_ms <= now_ms);
        self.in_transit = rest;
        let due: Vec<(u64, usize, usize, Vec<u8>)> = due;
        for (_, from, to, bytes) in due {
            let message = decode(&bytes).unwrap();
            if self.all[to].is_running {
                self.all[to].receive(now_ms, &message, address(from));
            }
        }
    }

    fn send(&mut self, index: usize, is_lost: &mut impl FnMut(usize, usize) -> bool) {
        let now_ms = self.now_ms;
        let instances = self.all.len();
        let each = &mut self.all[index];
        let own = LocalState {
            unreached: each.unreached.clone(),
            heard: each
                .hears
                .iter()
                .map(|&service| just_heard(service))
                .collect(),
            last_task_token: None,
            clock_ms: 0,
            fleet_clock_ms: 0,
            member: each.member.clone(),
            loads: each.own.clone(),
            prefilled_parts: Vec::new(),
            role_changes: Vec::new(),
            demand: Vec::new(),
            last_order_token: None,
            list_position: each.list,
            config_position: None,
            poison: each.poison.recent_poison(now_ms),
            trial_counts: each
                .poison
                .trial_counts(now_ms, &each.poison.recent_poison(now_ms)),
        };
        each.members
            .record_self_alive(now_ms, InstanceKey::of(&each.member.name));
        if each.members.take_unknown_member(now_ms) {
            // Simulates a query to a peer that knows all members.
            for other in (0..instances).map(member) {
                each.members.receive_heartbeat(now_ms, &other);
            }
        }
        each.gossip.expire(now_ms);
        let ranks = HubRanking::of(&each.member.name, &each.members);
        let mut out = each.gossip.tick(now_ms, own, &ranks);
        let window = now_ms / engine_time::WINDOW_MS;
        each.engine_time.add_tallies(now_ms, window, &mut out);
        for (to, message) in out {
            let bytes = encode(message).unwrap();
            each.sent += 1;
            each.sent_bytes += bytes.len();
            let to = self.at[&to];
            if !is_lost(index, to) {
                self.in_transit
                    .push((now_ms + TRANSIT_MS, index, to, bytes));
            }
        }
    }

    /// Instances that are running.
    pub fn running(&self) -> impl Iterator<Item = &Instance> {
        self.all.iter().filter(|each| each.is_running)
    }

    /// Requests that all running instances have at an upstream.
    pub fn total_requests(&self, upstream: UpstreamKey) -> u32 {
        let own = self.running().flat_map(|each| &each.own);
        let at_upstream = own.filter(|(key, _)| *key == upstream);
        at_upstream.map(|(_, load)| load.requests).sum()
    }
}

impl Instance {
    fn receive(&mut self, now_ms: u64, message: &GossipMessage, from: SocketAddr) {
        for member in &message.members {
            if self.members.receive_heartbeat(now_ms, member) {
                self.gossip.add_member(now_ms, member.clone());
            }
        }
        for key in &message.alive {
            self.members.record_alive(now_ms, *key);
        }
        self.gossip.receive(now_ms, message, from);
        let window = now_ms / engine_time::WINDOW_MS;
        self.engine_time.receive(window, message);
        for evidence in &message.evidence {
            if self.poison.receive(now_ms, *evidence) {
                self.gossip.forward_evidence(*evidence, message.kind);
            }
        }
        for request in &message.poison {
            self.poison.mark_poison(now_ms, *request);
        }
        for (request, number) in &message.trial_counts {
            self.poison.learn_trials(now_ms, *request, *number);
        }
        for news in &message.trials {
            if self.poison.receive_trial(now_ms, *news) {
                self.gossip.forward_trial(*news, message.kind);
            }
        }
        for evidence in &message.part_evidence {
            let effect = self.parts.receive(now_ms, *evidence);
            if effect.is_new {
                self.gossip.forward_part_evidence(*evidence, message.kind);
            }
            self.tell_of_parts(effect.reply);
        }
        for limit in &message.limits {
            if self.accept_limit(*limit) {
                self.gossip.forward_limit(*limit, message.kind);
            }
        }
        self.max_paces = self.max_paces.max(message.paces.len());
        for report in &message.paces {
            self.paces.insert(report.upstream, *report);
            self.gossip.forward_pace(now_ms, *report, message.kind);
        }
        self.list_changes
            .extend(message.list_changes.iter().cloned());
        let position = message.list_position.map(|position| (from, position));
        self.positions.extend(position);
    }

    /// Records evidence that the instance itself has observed.
    pub fn observe(&mut self, now_ms: u64, evidence: FailureEvidence) {
        if self.poison.observe(now_ms, evidence) {
            self.gossip.add_evidence(evidence);
        }
    }

    /// Gossips evidence on prompt parts.
    pub fn tell_of_parts(&mut self, evidence: impl IntoIterator<Item = PartEvidence>) {
        for each in evidence {
            self.gossip.add_part_evidence(each);
        }
    }

    /// Records a limit that an upstream named to the instance.
    pub fn receive_limit(&mut self, limit: UpstreamLimit) {
        if self.accept_limit(limit) {
            self.gossip.add_limit(limit);
        }
    }

    fn accept_limit(&mut self, limit: UpstreamLimit) -> bool {
        let known = self.limits.get(&limit.upstream);
        let is_new = known.is_none_or(|known| known.at_ms < limit.at_ms);
        if is_new {
            self.limits.insert(limit.upstream, limit);
        }
        is_new
    }

    /// Requests at an upstream, of all instances, as this one believes.
    pub fn believed_requests(&self, upstream: UpstreamKey) -> u32 {
        let own = self.own.iter().filter(|(key, _)| *key == upstream);
        let own: u32 = own.map(|(_, load)| load.requests).sum();
        own + self.gossip.load(upstream).requests
    }

    /// Whether it would name the instance of this name to callers.
    pub fn can_reach(&self, other: &str) -> bool {
        self.members.reachable().any(|each| each.name == other)
    }
}

/// A reproducible sequence that is true one time in ten.
pub fn one_in_ten() -> impl FnMut() -> bool {
    let mut draw = 0_u32;
    move || {
        draw = draw.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        draw >> 16 < u32::from(u16::MAX) / 10
    }
}

/// Key of an upstream.
pub fn upstream(index: usize) -> UpstreamKey {
    UpstreamKey::of(&format!("i-{index}"), 0)
}

/// Load of some requests with their prompts.
pub fn load(requests: u32) -> Load {
    let mut queue = PrefillQueue::default();
    queue.add(1, f64::from(requests) * 4_000.0);
    Load {
        requests,
        queue,
        context: requests * 900,
    }
}
