//! An instance's view of the list of upstreams equals the list as it was at the offset up to which
//! the instance has applied it, in whatever order reads, answers of peers and datagrams arrive.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use common::{TestDialect, settings};
use proptest::prelude::*;
use relay::Relay;
use relay::members::Member;
use relay::relay::ChangesRead;
use relay::snapshot::Snapshot;
use relay::upstream::{Stage, UpstreamEntry, UpstreamState};
use tick::{Clock, since_boot_ms};
use view::log_follower::ListedEntries;
use view::{GossipMessage, ListChange};

/// Number of instances; each sends gossip to each.
const INSTANCES: usize = 5;

/// Of this many gossip periods one sends a full message.
const FULL_MESSAGE_PERIODS: usize = 4;

/// Number of upstream ids.
const UPSTREAMS: usize = 4;

/// The list as the store keeps it.
#[derive(Default)]
struct List {
    records: Vec<ListChange>,
    seqs: BTreeMap<String, u64>,
    /// Upstreams that said in an answer that they leave, before their entries or after.
    announced: BTreeSet<String>,
}

impl List {
    fn write(&mut self, upstream: usize, state: Option<UpstreamState>) {
        let id = format!("i-{upstream}");
        let previous = self
            .states_before(self.records.len() as u64)
            .get(&id)
            .copied();
        // An upstream that leaves stays so until its entry is removed, and its id isn't used again.
        let is_removed = previous.is_none() && self.seqs.contains_key(&id);
        let is_leaving = previous == Some(UpstreamState::Leaving) || self.announced.contains(&id);
        if is_removed || is_leaving && state == Some(UpstreamState::Ready) {
            return;
        }
        let change = match state {
            None if previous.is_none() => return,
            None => ListChange::Gone(id),
            Some(state) => {
                let seq = self.seqs.entry(id.clone()).or_default();
                *seq += 1;
                ListChange::Put(entry(id, state, *seq))
            }
        };
        self.records.push(change);
    }

    /// The state of each listed upstream before offset `next`.
    fn states_before(&self, next: u64) -> BTreeMap<String, UpstreamState> {
        let mut all = BTreeMap::new();
        for change in &self.records[..next as usize] {
            match change {
                ListChange::Put(entry) => all.insert(entry.id.clone(), entry.state),
                ListChange::Gone(id) => all.remove(id),
            };
        }
        all
    }

    /// Offset after the last record before `end` that does more than confirm an entry.
    fn last_change_before(&self, end: u64) -> u64 {
        let mut listed = ListedEntries::default();
        let mut last = 0;
        for (offset, change) in self.records[..end as usize].iter().enumerate() {
            if listed.apply(change) {
                last = offset as u64 + 1;
            }
        }
        last
    }

    fn newest(&self) -> Vec<UpstreamEntry> {
        let mut all = BTreeMap::new();
        for change in &self.records {
            match change {
                ListChange::Put(entry) => all.insert(entry.id.clone(), entry.clone()),
                ListChange::Gone(id) => all.remove(id),
            };
        }
        all.into_values().collect()
    }

    fn read(&self, from: Option<u64>) -> PendingRead {
        let end = self.records.len() as u64;
        let Some(from) = from else {
            return PendingRead::Whole(end, self.newest());
        };
        let unread = self.records.iter().enumerate().skip(from as usize);
        PendingRead::Changes(ChangesRead {
            changes: unread
                .map(|(offset, change)| (offset as u64, change.clone()))
                .collect(),
            next: end,
            end,
        })
    }
}

/// A response of the store that has not arrived yet.
enum PendingRead {
    Whole(u64, Vec<UpstreamEntry>),
    Changes(ChangesRead),
}

fn entry(id: String, state: UpstreamState, seq: u64) -> UpstreamEntry {
    UpstreamEntry {
        id,
        started_ms: 0,
        service: "llm".to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "here".to_owned(),
        slots: 4,
        state,
        stage: Stage::Prefill,
        seq,
        version: String::new(),
        is_spot: false,
    }
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16))
}

fn start_instance(index: usize) -> Rc<Relay> {
    let mut own = settings();
    own.name = format!("entry-{index}");
    own.peer = Some(address(index));
    let relay = Relay::new(own, Rc::new(TestDialect), Clock::default());
    for other in 0..INSTANCES {
        let member = Member {
            name: format!("entry-{other}"),
            address: address(other),
            gossip_address: Some(address(other)),
            zone: "here".to_owned(),
            ready: true,
            heartbeat_seq: 1,
            link_mbps: 20,
        };
        relay
            .members
            .borrow_mut()
            .record_heartbeat(relay.now_ms(), member);
    }
    relay
}

/// Instances, and the messages that have not reached them yet.
struct Simulation {
    list: List,
    instances: Vec<Rc<Relay>>,
    pending_reads: Vec<Option<PendingRead>>,
    pending_answers: Vec<Option<(usize, Snapshot)>>,
    datagrams: Vec<(usize, usize, GossipMessage)>,
}

impl Simulation {
    fn new() -> Self {
        Self {
            list: List::default(),
            instances: (0..INSTANCES).map(start_instance).collect(),
            pending_reads: (0..INSTANCES).map(|_| None).collect(),
            pending_answers: (0..INSTANCES).map(|_| None).collect(),
            datagrams: Vec::new(),
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Write(upstream, state) => self.list.write(upstream, state),
            Step::Read(instance) => {
                let next = self.instances[instance]
                    .list_position
                    .borrow()
                    .next_offset();
                self.pending_reads[instance].get_or_insert_with(|| self.list.read(next));
            }
            Step::ApplyRead(instance) => self.apply_read(instance),
            Step::QueryPeer(instance, other) => {
                let answer = (other, self.instances[other].snapshot());
                self.pending_answers[instance].get_or_insert(answer);
            }
            Step::MergeAnswer(instance) => {
                if let Some((other, answer)) = self.pending_answers[instance].take() {
                    relay::snapshot::merge(&self.instances[instance], &answer, address(other));
                }
            }
            Step::SendGossip(instance) => {
                // One period in `FULL_MESSAGE_PERIODS` sends a full message; the others send none
                // where nothing changed.
                let mut out =
                    (0..FULL_MESSAGE_PERIODS).map(|_| self.instances[instance].due_gossip());
                let messages = out
                    .find(|messages| !messages.is_empty())
                    .unwrap_or_default()
                    .into_iter();
                let to = |peer: SocketAddr| usize::from(peer.port() - 1_000);
                let messages = messages.map(|(peer, message)| (instance, to(peer), message));
                self.datagrams.extend(messages);
            }
            Step::Deliver(which) | Step::Drop(which) if self.datagrams.is_empty() => {
                let _ = which;
            }
            Step::Deliver(which) => {
                let (from, to, message) = self.datagrams.remove(which % self.datagrams.len());
                self.instances[to].receive_gossip(&message, address(from));
            }
            Step::Drop(which) => {
                self.datagrams.remove(which % self.datagrams.len());
            }
            Step::Announce(instance, upstream) => self.announce(instance, upstream),
            Step::LoseStore(instance) => {
                let now_ms = self.instances[instance].now_ms();
                self.instances[instance]
                    .upstreams
                    .borrow_mut()
                    .store_unreachable(now_ms);
            }
            Step::RequireFullRead(instance) => {
                self.pending_reads[instance] = None;
                self.instances[instance]
                    .list_position
                    .borrow_mut()
                    .require_full_read();
            }
            Step::Restart(instance) => {
                self.instances[instance] = start_instance(instance);
                self.pending_reads[instance] = None;
                self.pending_answers[instance] = None;
            }
        }
    }

    fn apply_read(&mut self, instance: usize) {
        let now_ms = since_boot_ms();
        match self.pending_reads[instance].take() {
            None => {}
            Some(PendingRead::Whole(next, entries)) => {
                self.instances[instance].take_whole_list(now_ms, next, entries);
            }
            Some(PendingRead::Changes(read)) => self.instances[instance].take_changes(now_ms, read),
        }
    }

    /// An upstream answers an instance that it leaves.
    fn announce(&mut self, instance: usize, upstream: usize) {
        let id = format!("i-{upstream}");
        let relay = &self.instances[instance];
        let known = relay.upstreams.borrow().get(&id).cloned();
        if let Some(known) = known {
            relay.upstreams.borrow_mut().announce_leaving(&known);
            self.list.announced.insert(id);
        }
    }

    /// Describes an instance that tells its peers of no change where the list has one.
    fn untold_change(&self) -> Option<String> {
        let settled_ms = since_boot_ms() + 10_000;
        self.instances.iter().find_map(|relay| {
            let position = relay.list_position.borrow().position(settled_ms, true)?;
            let last_change = self.list.last_change_before(position.end);
            (last_change > position.last_change).then(|| {
                let name = relay.settings.borrow().name.clone();
                format!("{name} tells {position:?}, the list's last change is {last_change}")
            })
        })
    }

    /// Describes an instance whose ready upstreams differ from those of the list at its offset, but for those that
    /// announced their leaving.
    fn inconsistency(&self) -> Option<String> {
        self.instances.iter().find_map(|relay| {
            let next = relay.list_position.borrow().next_offset()?;
            let now_ms = relay.now_ms();
            let upstreams = relay.upstreams.borrow();
            let unconfirmed = upstreams.unconfirmed_entries(now_ms);
            let is_unconfirmed = |id: &str| unconfirmed.iter().any(|entry| entry.id == id);
            let ready = upstreams.ready("llm", now_ms).map(|each| each.id.clone());
            let ready: BTreeSet<String> = ready.filter(|id| !is_unconfirmed(id)).collect();
            let listed = self.list.states_before(next).into_iter();
            let listed = listed.filter(|(_, state)| *state == UpstreamState::Ready);
            let listed: BTreeSet<String> = listed.map(|(id, _)| id).collect();
            let is_announced = |id: &String| self.list.announced.contains(id);
            let is_right = ready.is_subset(&listed) && listed.difference(&ready).all(is_announced);
            (!is_right).then(|| {
                let name = relay.settings.borrow().name.clone();
                format!("{name} at offset {next} holds {ready:?}, the list has {listed:?}")
            })
        })
    }
}

#[derive(Debug, Clone)]
enum Step {
    Write(usize, Option<UpstreamState>),
    Read(usize),
    ApplyRead(usize),
    QueryPeer(usize, usize),
    MergeAnswer(usize),
    SendGossip(usize),
    Deliver(usize),
    Drop(usize),
    Announce(usize, usize),
    LoseStore(usize),
    RequireFullRead(usize),
    Restart(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let instance = 0..INSTANCES;
    let state = prop_oneof![
        4 => Just(Some(UpstreamState::Ready)),
        1 => Just(Some(UpstreamState::Leaving)),
        1 => Just(None),
    ];
    let step = prop_oneof![
        6 => (0..UPSTREAMS, state).prop_map(|(upstream, state)| Step::Write(upstream, state)),
        4 => instance.clone().prop_map(Step::Read),
        4 => instance.clone().prop_map(Step::ApplyRead),
        2 => (instance.clone(), instance.clone()).prop_map(|(instance, other)| Step::QueryPeer(instance, other)),
        2 => instance.clone().prop_map(Step::MergeAnswer),
        3 => instance.clone().prop_map(Step::SendGossip),
        9 => (0..64_usize).prop_map(Step::Deliver),
        3 => (0..64_usize).prop_map(Step::Drop),
        1 => (instance.clone(), 0..UPSTREAMS).prop_map(|(instance, upstream)| Step::Announce(instance, upstream)),
        1 => instance.clone().prop_map(Step::LoseStore),
        1 => instance.clone().prop_map(Step::RequireFullRead),
        1 => instance.prop_map(Step::Restart),
    ];
    prop::collection::vec(step, 1..200)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3_000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20),
        ..ProptestConfig::default()
    })]

    /// Reads and queries are answered at one moment and applied at a later one, datagrams are
    /// delayed or lost, and instances lose the store, need a full read or restart. An older answer
    /// must not restore an upstream that left, and no change may be skipped: either would send
    /// requests to that upstream for as long as it responds.
    #[test]
    fn an_instance_holds_the_list_at_its_offset(steps in steps()) {
        let mut simulation = Simulation::new();
        for step in &steps {
            simulation.step(step);
            let inconsistency = simulation.inconsistency();
            prop_assert!(inconsistency.is_none(), "after {step:?}: {}", inconsistency.unwrap_or_default());
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3_000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20),
        ..ProptestConfig::default()
    })]

    /// Guards against a change that no peer is told of: whoever missed its record takes itself for up to date, and sends
    /// requests to an upstream that left.
    #[test]
    fn every_change_is_told(steps in steps()) {
        let mut simulation = Simulation::new();
        for step in &steps {
            simulation.step(step);
            let untold = simulation.untold_change();
            prop_assert!(untold.is_none(), "after {step:?}: {}", untold.unwrap_or_default());
        }
    }
}

/// Guards against reverting to an older list: an instance that needs a full read queries a peer
/// that is further behind than itself.
#[test]
fn an_instance_that_needs_a_full_read_does_not_go_back() {
    let mut simulation = Simulation::new();
    let steps = [
        Step::Write(0, Some(UpstreamState::Ready)),
        Step::Read(0),
        Step::ApplyRead(0),
        Step::Read(1),
        Step::ApplyRead(1),
        Step::Write(0, Some(UpstreamState::Ready)),
        Step::Write(0, None),
        Step::Read(0),
        Step::ApplyRead(0),
        Step::RequireFullRead(0),
        Step::QueryPeer(0, 1),
        Step::MergeAnswer(0),
    ];
    for step in &steps {
        simulation.step(step);
    }
    assert_eq!(simulation.instances[0].upstreams.borrow().len(), 0);
}

/// Guards against an answer without an offset, which would be taken for the list at another offset.
/// An instance that has read an empty list, and one whose first read is not complete, query a peer
/// that needs a full read; the entries that the peer holds still belong to an offset.
#[test]
fn an_instance_that_needs_a_full_read_still_reports_its_offset() {
    let mut simulation = Simulation::new();
    let steps = [
        Step::Read(0),
        Step::ApplyRead(0),
        Step::Write(0, Some(UpstreamState::Ready)),
        Step::Read(2),
        Step::Write(0, Some(UpstreamState::Leaving)),
        Step::Read(1),
        Step::ApplyRead(1),
        Step::RequireFullRead(1),
        Step::QueryPeer(0, 1),
        Step::MergeAnswer(0),
        Step::QueryPeer(2, 1),
        Step::MergeAnswer(2),
        Step::ApplyRead(2),
    ];
    for step in &steps {
        simulation.step(step);
        assert_eq!(simulation.inconsistency(), None, "{step:?}");
    }
}

/// Guards against a leaving that no peer is told of: the instance that reads it has the list from a peer to which the
/// upstream had announced it in an answer, so that the record seems to change nothing.
#[test]
fn a_leaving_that_a_peer_heard_of_before_is_told() {
    let mut simulation = Simulation::new();
    let steps = [
        Step::Write(0, Some(UpstreamState::Ready)),
        Step::Read(0),
        Step::ApplyRead(0),
        Step::Announce(0, 0),
        Step::QueryPeer(1, 0),
        Step::MergeAnswer(1),
        Step::Write(0, Some(UpstreamState::Leaving)),
        Step::Read(1),
        Step::ApplyRead(1),
    ];
    for step in &steps {
        simulation.step(step);
    }
    assert_eq!(simulation.untold_change(), None);
}

/// Guards against requests at a leaving upstream from an instance that has just asked a peer which knew of the leaving.
#[test]
fn whoever_asks_a_peer_learns_which_upstreams_announced_their_leaving() {
    let mut simulation = Simulation::new();
    let steps = [
        Step::Write(0, Some(UpstreamState::Ready)),
        Step::Read(0),
        Step::ApplyRead(0),
        Step::Announce(0, 0),
        Step::QueryPeer(1, 0),
        Step::MergeAnswer(1),
    ];
    for step in &steps {
        simulation.step(step);
    }
    let asker = &simulation.instances[1];
    assert_eq!(asker.upstreams.borrow().len(), 1);
    assert_eq!(
        asker
            .upstreams
            .borrow()
            .ready("llm", asker.now_ms())
            .count(),
        0
    );
}
