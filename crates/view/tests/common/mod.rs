//! A fleet of instances that tell each other what they have, in virtual time.

#![allow(dead_code, reason = "each test file uses a part of this")]

pub mod log;

use std::collections::HashMap;
use std::net::SocketAddr;

use view::gossip::{GossipState, LocalState, PERIOD_MS};
use view::hubs::HubRanking;
use view::{
    FailureEvidence, GossipMessage, GossipedChange, InstanceKey, Load, LogPosition, Member,
    Members, PoisonTracker, PrefillQueue, UpstreamKey, UpstreamLimit, decode, encode,
};

/// Time of a datagram on its way, in ms.
const TRANSIT_MS: u64 = 2;

/// Time of one step, in ms.
pub const STEP_MS: u64 = 10;

/// Zones of the fleet.
const ZONES: usize = 5;

/// An instance.
pub struct Instance {
    pub member: Member,
    pub members: Members,
    pub shared: GossipState,
    pub own: Vec<(UpstreamKey, Load)>,
    pub list: Option<LogPosition>,
    pub marks: Vec<LogPosition>,
    pub news: Vec<GossipedChange>,
    pub suspects: PoisonTracker,
    pub limits: HashMap<UpstreamKey, UpstreamLimit>,
    pub runs: bool,
    pub sent: usize,
    pub sent_bytes: usize,
}

/// A fleet whose datagrams take some ms, and get lost as a test says.
pub struct Fleet {
    pub now_ms: u64,
    pub all: Vec<Instance>,
    at: HashMap<SocketAddr, usize>,
    under_way: Vec<(u64, usize, usize, Vec<u8>)>,
}

/// Address of an instance.
pub fn address(index: usize) -> SocketAddr {
    let (high, low) = (index / 200, index % 200);
    format!("10.0.{high}.{low}:9000").parse().unwrap()
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
    /// A fleet in which all know all, and have told nothing yet.
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
                shared: GossipState::default(),
                own: Vec::new(),
                list: None,
                marks: Vec::new(),
                news: Vec::new(),
                suspects: PoisonTracker::default(),
                limits: HashMap::new(),
                runs: true,
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
            under_way: Vec::new(),
        }
    }

    /// Lets some time pass; `is_lost` says of each datagram whether it gets lost, by its sender and
    /// receiver.
    pub fn run(&mut self, for_ms: u64, mut is_lost: impl FnMut(usize, usize) -> bool) {
        let until_ms = self.now_ms + for_ms;
        while self.now_ms < until_ms {
            self.now_ms += STEP_MS;
            self.deliver();
            for index in 0..self.all.len() {
                let phase_ms = index as u64 * 7 * STEP_MS;
                if (self.now_ms + phase_ms).is_multiple_of(PERIOD_MS) && self.all[index].runs {
                    self.tell(index, &mut is_lost);
                }
            }
        }
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let (due, rest) = std::mem::take(&mut self.under_way)
            .into_iter()
            .partition(|(at_ms, ..)| *at_ms <= now_ms);
        self.under_way = rest;
        let due: Vec<(u64, usize, usize, Vec<u8>)> = due;
        for (_, from, to, bytes) in due {
            let told = decode(&bytes).unwrap();
            if self.all[to].runs {
                self.all[to].hears(now_ms, &told, address(from));
            }
        }
    }

    fn tell(&mut self, index: usize, is_lost: &mut impl FnMut(usize, usize) -> bool) {
        let now_ms = self.now_ms;
        let instances = self.all.len();
        let each = &mut self.all[index];
        let own = LocalState {
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
            poison: each.suspects.recent_poison(now_ms),
        };
        each.members
            .record_self_alive(now_ms, InstanceKey::of(&each.member.name));
        if each.members.take_unknown_member(now_ms) {
            // It asks another instance, which knows all.
            for other in (0..instances).map(member) {
                each.members.receive_heartbeat(now_ms, &other);
            }
        }
        each.shared.expire(now_ms);
        let ranks = HubRanking::of(&each.member.name, &each.members);
        for (to, told) in each.shared.tick(now_ms, own, &ranks) {
            let bytes = encode(told).unwrap();
            each.sent += 1;
            each.sent_bytes += bytes.len();
            let to = self.at[&to];
            if !is_lost(index, to) {
                self.under_way.push((now_ms + TRANSIT_MS, index, to, bytes));
            }
        }
    }

    /// Instances that run.
    pub fn running(&self) -> impl Iterator<Item = &Instance> {
        self.all.iter().filter(|each| each.runs)
    }

    /// What all that run have at an upstream.
    pub fn truth(&self, upstream: UpstreamKey) -> u32 {
        let own = self.running().flat_map(|each| &each.own);
        let there = own.filter(|(key, _)| *key == upstream);
        there.map(|(_, load)| load.requests).sum()
    }
}

impl Instance {
    fn hears(&mut self, now_ms: u64, told: &GossipMessage, from: SocketAddr) {
        for member in &told.members {
            if self.members.receive_heartbeat(now_ms, member) {
                self.shared.add_member(now_ms, member.clone());
            }
        }
        for key in &told.alive {
            self.members.record_alive(now_ms, *key);
        }
        self.shared.receive(now_ms, told, from);
        for fate in &told.evidence {
            if self.suspects.receive(now_ms, *fate) {
                self.shared.forward_evidence(*fate, told.kind);
            }
        }
        for request in &told.poison {
            self.suspects.mark_poison(now_ms, *request);
        }
        for limit in &told.limits {
            if self.takes(*limit) {
                self.shared.forward_limit(*limit, told.kind);
            }
        }
        self.news.extend(told.list_changes.iter().cloned());
        self.marks.extend(told.list_position);
    }

    /// It saw something of a request.
    pub fn saw(&mut self, now_ms: u64, fate: FailureEvidence) {
        if self.suspects.observe(now_ms, fate) {
            self.shared.add_evidence(fate);
        }
    }

    /// An upstream named its limit to it.
    pub fn is_told(&mut self, limit: UpstreamLimit) {
        if self.takes(limit) {
            self.shared.add_limit(limit);
        }
    }

    fn takes(&mut self, limit: UpstreamLimit) -> bool {
        let known = self.limits.get(&limit.upstream);
        let is_news = known.is_none_or(|known| known.at_ms < limit.at_ms);
        if is_news {
            self.limits.insert(limit.upstream, limit);
        }
        is_news
    }

    /// What it believes that all have at an upstream.
    pub fn believes(&self, upstream: UpstreamKey) -> u32 {
        let own = self.own.iter().filter(|(key, _)| *key == upstream);
        let own: u32 = own.map(|(_, load)| load.requests).sum();
        own + self.shared.load(upstream).requests
    }

    /// Whether it hands out another one.
    pub fn names(&self, other: &str) -> bool {
        self.members.reachable().any(|each| each.name == other)
    }
}

/// Draws that are true one time in ten, always the same.
pub fn one_in_ten() -> impl FnMut() -> bool {
    let mut draw = 0_u32;
    move || {
        draw = draw.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        draw >> 16 < u32::from(u16::MAX) / 10
    }
}

/// An upstream.
pub fn upstream(index: usize) -> UpstreamKey {
    UpstreamKey::of(&format!("i-{index}"), 0)
}

/// Requests and a prompt's work at an upstream.
pub fn load(requests: u32) -> Load {
    let mut queue = PrefillQueue::default();
    queue.add(1, f64::from(requests) * 4_000.0);
    Load {
        requests,
        queue,
        context: requests * 900,
    }
}
