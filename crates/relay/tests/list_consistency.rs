//! What an instance holds of the list of upstreams is what the list said at the place up to which it has
//! taken it in, in whatever order reads, answers and datagrams come.

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
use view::{GossipMessage, ListChange};

/// Instances, each of which tells each.
const INSTANCES: usize = 5;

/// Periods of which one says all there is.
const WHOLE_PERIODS: usize = 4;

/// Upstreams that come and go.
const UPSTREAMS: usize = 4;

/// The list as its store keeps it.
#[derive(Default)]
struct List {
    records: Vec<ListChange>,
    seqs: BTreeMap<String, u64>,
}

impl List {
    fn write(&mut self, upstream: usize, standing: Option<UpstreamState>) {
        let id = format!("i-{upstream}");
        let stood = self.at(self.records.len() as u64).get(&id).copied();
        // One that leaves says so until its entry goes, and does not come back under its id.
        let is_over = stood.is_none() && self.seqs.contains_key(&id);
        if is_over
            || stood == Some(UpstreamState::Leaving) && standing == Some(UpstreamState::Ready)
        {
            return;
        }
        let change = match standing {
            None if stood.is_none() => return,
            None => ListChange::Gone(id),
            Some(standing) => {
                let seq = self.seqs.entry(id.clone()).or_default();
                *seq += 1;
                ListChange::Put(entry(id, standing, *seq))
            }
        };
        self.records.push(change);
    }

    /// Standings up to an offset.
    fn at(&self, next: u64) -> BTreeMap<String, UpstreamState> {
        let mut all = BTreeMap::new();
        for change in &self.records[..next as usize] {
            match change {
                ListChange::Put(entry) => all.insert(entry.id.clone(), entry.state),
                ListChange::Gone(id) => all.remove(id),
            };
        }
        all
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

    fn read(&self, from: Option<u64>) -> Reading {
        let end = self.records.len() as u64;
        let Some(from) = from else {
            return Reading::Whole(end, self.newest());
        };
        let unread = self.records.iter().enumerate().skip(from as usize);
        Reading::Changes(ChangesRead {
            changes: unread
                .map(|(at, change)| (at as u64, change.clone()))
                .collect(),
            next: end,
            end,
        })
    }
}

/// An answer of the store on its way.
enum Reading {
    Whole(u64, Vec<UpstreamEntry>),
    Changes(ChangesRead),
}

fn entry(id: String, standing: UpstreamState, seq: u64) -> UpstreamEntry {
    UpstreamEntry {
        id,
        started_ms: 0,
        service: "llm".to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "here".to_owned(),
        slots: 4,
        state: standing,
        stage: Stage::Prefill,
        seq,
        is_spot: false,
    }
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16))
}

fn instance(index: usize) -> Rc<Relay> {
    let mut told = settings();
    told.name = format!("entry-{index}");
    told.peer = Some(address(index));
    let relay = Relay::new(told, Rc::new(TestDialect), Clock::default());
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

/// Instances, and what is on its way to them.
struct World {
    list: List,
    all: Vec<Rc<Relay>>,
    readings: Vec<Option<Reading>>,
    answers: Vec<Option<(usize, Snapshot)>>,
    datagrams: Vec<(usize, usize, GossipMessage)>,
}

impl World {
    fn new() -> Self {
        Self {
            list: List::default(),
            all: (0..INSTANCES).map(instance).collect(),
            readings: (0..INSTANCES).map(|_| None).collect(),
            answers: (0..INSTANCES).map(|_| None).collect(),
            datagrams: Vec::new(),
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Write(upstream, standing) => self.list.write(upstream, standing),
            Step::Read(who) => {
                let next = self.all[who].list_position.borrow().next_offset();
                self.readings[who].get_or_insert_with(|| self.list.read(next));
            }
            Step::TakeReading(who) => self.take_reading(who),
            Step::Ask(who, other) => {
                let answer = (other, self.all[other].snapshot());
                self.answers[who].get_or_insert(answer);
            }
            Step::TakeAnswer(who) => {
                if let Some((other, answer)) = self.answers[who].take() {
                    relay::snapshot::merge(&self.all[who], &answer, address(other));
                }
            }
            Step::Tell(who) => {
                // One in some datagrams says all there is; the others are left out where nothing changed.
                let mut out = (0..WHOLE_PERIODS).map(|_| self.all[who].due_gossip());
                let told = out
                    .find(|told| !told.is_empty())
                    .unwrap_or_default()
                    .into_iter();
                let to = |peer: SocketAddr| usize::from(peer.port() - 1_000);
                let told = told.map(|(peer, told)| (who, to(peer), told));
                self.datagrams.extend(told);
            }
            Step::Deliver(which) | Step::Lose(which) if self.datagrams.is_empty() => {
                let _ = which;
            }
            Step::Deliver(which) => {
                let (from, to, told) = self.datagrams.remove(which % self.datagrams.len());
                self.all[to].receive_gossip(&told, address(from));
            }
            Step::Lose(which) => {
                self.datagrams.remove(which % self.datagrams.len());
            }
            Step::Cut(who) => {
                let now_ms = self.all[who].now_ms();
                self.all[who]
                    .upstreams
                    .borrow_mut()
                    .store_unreachable(now_ms);
            }
            Step::LoseHistory(who) => {
                self.readings[who] = None;
                self.all[who].list_position.borrow_mut().require_full_read();
            }
            Step::Restart(who) => {
                self.all[who] = instance(who);
                self.readings[who] = None;
                self.answers[who] = None;
            }
        }
    }

    fn take_reading(&mut self, who: usize) {
        let now_ms = since_boot_ms();
        match self.readings[who].take() {
            None => {}
            Some(Reading::Whole(next, entries)) => {
                self.all[who].take_whole_list(now_ms, next, entries);
            }
            Some(Reading::Changes(read)) => self.all[who].take_changes(now_ms, read),
        }
    }

    /// An instance that holds something else than the list said at its place.
    fn wrong(&self) -> Option<String> {
        self.all.iter().find_map(|relay| {
            let next = relay.list_position.borrow().next_offset()?;
            let now_ms = relay.now_ms();
            let upstreams = relay.upstreams.borrow();
            let doubts = upstreams.unconfirmed_entries(now_ms);
            let is_doubted = |id: &str| doubts.iter().any(|doubt| doubt.id == id);
            let ready = upstreams.ready("llm", now_ms).map(|each| each.id.clone());
            let ready: BTreeSet<String> = ready.filter(|id| !is_doubted(id)).collect();
            let said = self.list.at(next).into_iter();
            let said = said.filter(|(_, standing)| *standing == UpstreamState::Ready);
            let said: BTreeSet<String> = said.map(|(id, _)| id).collect();
            (ready != said).then(|| {
                let name = relay.settings.borrow().name.clone();
                format!("{name} at {next} holds {ready:?}, the list said {said:?}")
            })
        })
    }
}

#[derive(Debug, Clone)]
enum Step {
    Write(usize, Option<UpstreamState>),
    Read(usize),
    TakeReading(usize),
    Ask(usize, usize),
    TakeAnswer(usize),
    Tell(usize),
    Deliver(usize),
    Lose(usize),
    Cut(usize),
    LoseHistory(usize),
    Restart(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let who = 0..INSTANCES;
    let standing = prop_oneof![
        4 => Just(Some(UpstreamState::Ready)),
        1 => Just(Some(UpstreamState::Leaving)),
        1 => Just(None),
    ];
    let step = prop_oneof![
        6 => (0..UPSTREAMS, standing).prop_map(|(upstream, standing)| Step::Write(upstream, standing)),
        4 => who.clone().prop_map(Step::Read),
        4 => who.clone().prop_map(Step::TakeReading),
        2 => (who.clone(), who.clone()).prop_map(|(who, other)| Step::Ask(who, other)),
        2 => who.clone().prop_map(Step::TakeAnswer),
        3 => who.clone().prop_map(Step::Tell),
        9 => (0..64_usize).prop_map(Step::Deliver),
        3 => (0..64_usize).prop_map(Step::Lose),
        1 => who.clone().prop_map(Step::Cut),
        1 => who.clone().prop_map(Step::LoseHistory),
        1 => who.prop_map(Step::Restart),
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

    /// Reads and questions are answered at one moment and taken in at a later one, datagrams come late or never,
    /// instances are cut off, lose their place or start anew. An older answer must not bring back an upstream that
    /// left, and none may be passed over: both would get it requests for as long as it answers.
    #[test]
    fn an_instance_holds_what_the_list_said_at_its_place(steps in steps()) {
        let mut world = World::new();
        for step in &steps {
            world.step(step);
            let wrong = world.wrong();
            prop_assert!(wrong.is_none(), "after {step:?}: {}", wrong.unwrap_or_default());
        }
    }
}

/// An instance whose place was dropped by the store asks one that is further behind than it was itself.
#[test]
fn one_that_lost_its_place_does_not_go_back() {
    let mut world = World::new();
    let steps = [
        Step::Write(0, Some(UpstreamState::Ready)),
        Step::Read(0),
        Step::TakeReading(0),
        Step::Read(1),
        Step::TakeReading(1),
        Step::Write(0, Some(UpstreamState::Ready)),
        Step::Write(0, None),
        Step::Read(0),
        Step::TakeReading(0),
        Step::LoseHistory(0),
        Step::Ask(0, 1),
        Step::TakeAnswer(0),
    ];
    for step in &steps {
        world.step(step);
    }
    assert_eq!(world.all[0].upstreams.borrow().len(), 0);
}

/// An instance that has read an empty list, or whose first reading is on its way, asks one whose place was dropped. What
/// that one holds still has a place: without it the answer would be taken for what the list said at another one.
#[test]
fn one_that_lost_its_place_still_tells_where_it_stood() {
    let mut world = World::new();
    let steps = [
        Step::Read(0),
        Step::TakeReading(0),
        Step::Write(0, Some(UpstreamState::Ready)),
        Step::Read(2),
        Step::Write(0, Some(UpstreamState::Leaving)),
        Step::Read(1),
        Step::TakeReading(1),
        Step::LoseHistory(1),
        Step::Ask(0, 1),
        Step::TakeAnswer(0),
        Step::Ask(2, 1),
        Step::TakeAnswer(2),
        Step::TakeReading(2),
    ];
    for step in &steps {
        world.step(step);
        assert_eq!(world.wrong(), None, "{step:?}");
    }
}
