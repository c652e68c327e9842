//! A fleet that swaps versions while its instances are killed and callers take streams up, in virtual time.
//!
//! The store's set of versions and its log of streams are modelled as calls with a latency, an outage and an older copy;
//! what follows from them is decided by `plan`. See docs/design/stream-versions.md.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap};

use plan::{
    KnownSince, OriginEvidence, STREAM_AGE_MS, ServiceVersions, Unrecorded, origin_version,
};
use view::{InstanceKey, StreamKey};

use super::old_versions::{OldVersions, old_origin};

/// When streams begin to be begun, in ms.
const STREAMS_FROM_MS: u64 = 15_000;

/// When the instances are killed, in ms.
pub const KILL_MS: u64 = 20_000;

/// When the simulation ends, in ms: no stream of before the kill can be taken up later.
const END_MS: u64 = KILL_MS + STREAM_AGE_MS + 1_000;

/// How much the store loses when it comes back from an older copy, in ms.
const COPY_AGE_MS: u64 = 3_000;

/// Time within which living engines register anew after an outage of the store, in ms.
const SETTLE_MS: u64 = 2_600;

/// How long a caller tries, from the first try on, in ms.
const PATIENCE_MS: u64 = 2_000;

/// Time between tries of a caller, in ms.
const RETRY_MS: u64 = 500;

/// Time between batches of a recorder for each recorder, in ms.
const BATCH_MS: u64 = 12;

/// Datagrams lost, of 100.
const LOST_OF_100: u64 = 2;

/// Latency of a call to the store, in ms, when it is well.
const STORE_MS: u64 = 6;

/// Which rules decide.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rules {
    Old,
    New,
}

/// What the store does around the kill.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Store {
    There,
    Late,
    Away { from_ms: u64, to_ms: u64 },
    OlderCopy { from_ms: u64, to_ms: u64 },
}

/// How instances end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ends {
    Tenth,
    Most,
    All,
    AllTwice,
    OneAfterTheOther,
}

/// How versions change: when the first engine of each later version comes, how long the swap takes, and how many of the
/// engines, of 100, it takes.
#[derive(Debug, Clone, Copy)]
pub struct Swap {
    pub from_ms: u64,
    pub length_ms: u64,
    pub of_100: u64,
}

/// A case of the replay.
#[derive(Debug, Clone)]
pub struct Case {
    pub name: &'static str,
    pub instances: usize,
    pub seed: u64,
    pub swaps: Vec<Swap>,
    pub ends: Ends,
    pub store: Store,
}

/// What came of a case.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    pub streams: usize,
    pub taken_up: usize,
    /// Taken up while their version has two engines, and those of them that went on.
    pub possible: usize,
    pub went_on: usize,
    pub mixed: usize,
    /// Refused because their origin is not known.
    pub refused: usize,
    pub new_tried: usize,
    pub new_begun: usize,
}

impl Outcome {
    pub fn add(&mut self, other: &Self) {
        self.streams += other.streams;
        self.taken_up += other.taken_up;
        self.possible += other.possible;
        self.went_on += other.went_on;
        self.mixed += other.mixed;
        self.refused += other.refused;
        self.new_tried += other.new_tried;
        self.new_begun += other.new_begun;
    }

    /// Share of those whose version has two engines that went on.
    pub fn share(&self) -> f64 {
        self.went_on as f64 / self.possible.max(1) as f64
    }

    /// Share of new streams that began.
    pub fn new_share(&self) -> f64 {
        self.new_begun as f64 / self.new_tried.max(1) as f64
    }
}

struct Rng(u64);

impl Rng {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn within(&mut self, from: u64, to: u64) -> u64 {
        from + self.next() % (to.max(from + 1) - from)
    }

    fn is_lost(&mut self) -> bool {
        self.within(0, 100) < LOST_OF_100
    }
}

/// An incarnation of an engine.
struct Engine {
    version: u8,
    from_ms: u64,
    to_ms: u64,
}

impl Engine {
    fn is_up(&self, now_ms: u64) -> bool {
        self.from_ms <= now_ms && now_ms < self.to_ms
    }
}

struct Stream {
    version: u8,
    began_ms: u64,
    end_ms: u64,
    tries_until_ms: u64,
    is_counted: bool,
    is_possible: bool,
}

/// A change of the list of engines, by number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Change {
    number: usize,
    engine: usize,
    is_added: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    EngineRegisters(usize),
    EngineLapses(usize),
    StoreIsRestored,
    Kill(usize),
    Start(usize),
    ReadsAll(usize, u32),
    Settles(usize, u32),
    Seen(Change),
    Written(Change, usize, u32),
    Gossip(usize, u32, Change),
    BatchDone(usize, u32),
    ChecksForgettable,
    Begins,
    TriesNew(u64),
    TakesUp(usize),
    ReadsLog(usize, usize, u32),
}

/// What the store keeps.
#[derive(Debug, Clone, Default)]
struct Kept {
    listed: BTreeSet<usize>,
    /// The set of versions, and the era in which an instance that knows them all wrote it last.
    versions: BTreeSet<u8>,
    whole_in_era: u64,
}

#[derive(Default)]
struct Instance {
    key: InstanceKey,
    run: u32,
    is_up: bool,
    /// Starts and ends of its runs, in ms.
    runs: Vec<(u64, u64)>,
    is_ready: bool,
    era: u64,
    known: KnownSince,
    versions: ServiceVersions<u8>,
    old: OldVersions,
    recorded: Vec<u8>,
    listed: BTreeSet<usize>,
    applied: HashMap<usize, usize>,
    records: HashMap<StreamKey, u8>,
    running: Vec<usize>,
    was_mixed: bool,
    queue: Vec<(StreamKey, u8)>,
    in_flight: Vec<(StreamKey, u8)>,
}

/// The simulation of one case.
pub struct Storm {
    case: Case,
    rules: Rules,
    rng: Rng,
    now_ms: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_count: u64,
    engines: Vec<Engine>,
    instances: Vec<Instance>,
    streams: Vec<Stream>,
    kept: Kept,
    history: Vec<(u64, Kept)>,
    log: HashMap<StreamKey, (u8, u64)>,
    era: u64,
    changes: usize,
    outcome: Outcome,
    recorders: usize,
    /// For each pair of instances.
    sight_ms: Vec<u64>,
}

impl Storm {
    /// Runs a case.
    pub fn run(case: Case, rules: Rules) -> Outcome {
        let recorders = case.instances.div_ceil(100);
        let mut storm = Self {
            rng: Rng(case.seed),
            rules,
            now_ms: 0,
            events: BinaryHeap::new(),
            event_count: 0,
            engines: Vec::new(),
            instances: Vec::new(),
            streams: Vec::new(),
            kept: Kept::default(),
            history: Vec::new(),
            log: HashMap::new(),
            era: 1,
            changes: 0,
            outcome: Outcome::default(),
            recorders,
            sight_ms: Vec::new(),
            case,
        };
        storm.set_up();
        while let Some(Reverse((at_ms, _, event))) = storm.events.pop() {
            if at_ms > END_MS {
                break;
            }
            storm.now_ms = at_ms;
            storm.handle(event);
        }
        storm.outcome
    }

    fn after(&mut self, delay_ms: u64, event: Event) {
        self.at(self.now_ms + delay_ms, event);
    }

    fn at(&mut self, at_ms: u64, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at_ms, self.event_count, event)));
    }

    fn set_up(&mut self) {
        self.set_up_engines();
        self.kept.versions.insert(1);
        self.kept.whole_in_era = 1;
        self.history.push((0, self.kept.clone()));
        for number in 0..self.case.instances {
            let mut instance = Instance {
                key: InstanceKey::of(&format!("instance-{number}")),
                ..Instance::default()
            };
            instance.begin_run(0);
            instance.is_ready = true;
            instance.era = 1;
            instance.known = KnownSince::Always;
            instance.recorded = vec![1];
            for engine in &self.kept.listed {
                instance.listed.insert(*engine);
                instance.versions.join(0, 1);
                instance.old.join(0, 1);
            }
            instance.versions.load(0, &[1]);
            self.instances.push(instance);
        }
        for _ in 0..self.case.instances * self.case.instances {
            let sight_ms = self.rng.within(50, 400);
            self.sight_ms.push(sight_ms);
        }
        self.set_up_ends();
        if let Store::OlderCopy { to_ms, .. } = self.case.store {
            self.at(to_ms, Event::StoreIsRestored);
        }
        self.at(STREAMS_FROM_MS, Event::Begins);
        self.at(1_000, Event::ChecksForgettable);
    }

    fn set_up_engines(&mut self) {
        let slots = (self.case.instances / 4).clamp(8, 24);
        for slot in 0..slots {
            let first = self.engines.len();
            self.engines.push(Engine {
                version: 1,
                from_ms: 0,
                to_ms: u64::MAX,
            });
            self.kept.listed.insert(first);
            for (number, swap) in self.case.swaps.clone().into_iter().enumerate() {
                if slot as u64 * 100 >= swap.of_100 * slots as u64 {
                    continue;
                }
                let at_ms = swap.from_ms + swap.length_ms * slot as u64 / slots as u64;
                let back_ms = at_ms + self.rng.within(50, 700);
                let last = self.engines.len() - 1;
                if last >= first {
                    self.engines[last].to_ms = at_ms;
                }
                let lapses_ms = at_ms + self.rng_gap();
                self.at(lapses_ms, Event::EngineLapses(last));
                self.engines.push(Engine {
                    version: number as u8 + 2,
                    from_ms: back_ms,
                    to_ms: u64::MAX,
                });
                let registers_ms = back_ms + self.rng_gap();
                self.at(registers_ms, Event::EngineRegisters(last + 1));
            }
        }
    }

    fn rng_gap(&mut self) -> u64 {
        self.rng.within(10, 400)
    }

    fn set_up_ends(&mut self) {
        let count = self.case.instances;
        let ended = match self.case.ends {
            Ends::Tenth => count.div_ceil(10),
            Ends::Most => (count * 8 / 10).clamp(1, count - 1),
            Ends::All | Ends::AllTwice | Ends::OneAfterTheOther => count,
        };
        for number in 0..ended {
            let (kill_ms, down_ms) = match self.case.ends {
                Ends::OneAfterTheOther => {
                    (KILL_MS - 2_000 + 10_000 * number as u64 / count as u64, 400)
                }
                _ => (KILL_MS, self.rng.within(400, 2_000)),
            };
            self.at(kill_ms, Event::Kill(number));
            self.at(kill_ms + down_ms, Event::Start(number));
            if self.case.ends == Ends::AllTwice {
                let again_ms = KILL_MS + 3_000;
                self.at(again_ms, Event::Kill(number));
                let down_ms = self.rng.within(400, 2_000);
                self.at(again_ms + down_ms, Event::Start(number));
            }
        }
    }

    /// When a call to the store that begins now is answered, in ms from now; none while it is away.
    fn store_ms(&mut self) -> Option<u64> {
        match self.case.store {
            Store::There => Some(self.rng.within(STORE_MS / 2, STORE_MS * 2)),
            Store::Late => Some(700 + self.rng.within(0, STORE_MS)),
            Store::Away { from_ms, to_ms } | Store::OlderCopy { from_ms, to_ms } => {
                let is_away = (from_ms..to_ms).contains(&self.now_ms);
                (!is_away).then(|| self.rng.within(STORE_MS / 2, STORE_MS * 2))
            }
        }
    }

    /// When to try the store again, in ms from now.
    fn store_again_ms(&mut self) -> u64 {
        self.rng.within(100, 300)
    }

    fn note_kept(&mut self) {
        self.history.push((self.now_ms, self.kept.clone()));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::EngineRegisters(engine) => self.list(engine, true),
            Event::EngineLapses(engine) => self.list(engine, false),
            Event::StoreIsRestored => self.restore_store(),
            Event::Kill(number) => self.kill(number),
            Event::Start(number) => self.start(number),
            Event::ReadsAll(number, run) => self.read_all(number, run),
            Event::Settles(number, run) => self.settle(number, run),
            Event::Seen(change) => self.see(change),
            Event::Written(change, number, run) => self.spread_written(change, number, run),
            Event::Gossip(number, run, change) => self.hear(number, run, change),
            Event::BatchDone(number, run) => self.end_batch(number, run),
            Event::ChecksForgettable => self.forget_versions(),
            Event::Begins => self.begin_streams(),
            Event::TriesNew(until_ms) => self.try_new(until_ms),
            Event::TakesUp(stream) => self.take_up(stream),
            Event::ReadsLog(stream, number, run) => self.take_up_by_log(stream, number, run),
        }
    }
}

/// The store's list, set and eras.
impl Storm {
    fn list(&mut self, engine: usize, is_added: bool) {
        let is_up = self.engines[engine].is_up(self.now_ms);
        if is_added != is_up {
            return;
        }
        if self.store_ms().is_none() {
            let again_ms = self.rng.within(100, SETTLE_MS / 2);
            let event = if is_added {
                Event::EngineRegisters(engine)
            } else {
                Event::EngineLapses(engine)
            };
            self.after(again_ms, event);
            return;
        }
        let has_changed = if is_added {
            self.kept.listed.insert(engine)
        } else {
            self.kept.listed.remove(&engine)
        };
        if !has_changed {
            return;
        }
        self.note_kept();
        self.changes += 1;
        let change = Change {
            number: self.changes,
            engine,
            is_added,
        };
        let delay_ms = self.rng.within(20, 200);
        self.after(delay_ms, Event::Seen(change));
    }

    fn restore_store(&mut self) {
        let copy_ms = self.now_ms - COPY_AGE_MS;
        let is_older = |entry: &&(u64, Kept)| entry.0 <= copy_ms;
        if let Some((_, copy)) = self.history.iter().rev().find(is_older) {
            self.kept = copy.clone();
        }
        self.log.retain(|_, (_, at_ms)| *at_ms <= copy_ms);
        self.era += 1;
        for engine in 0..self.engines.len() {
            if self.engines[engine].is_up(self.now_ms) {
                let delay_ms = self.rng.within(0, SETTLE_MS);
                self.after(delay_ms, Event::EngineRegisters(engine));
            } else {
                let delay_ms = self.rng.within(SETTLE_MS, SETTLE_MS + 1_000);
                self.after(delay_ms, Event::EngineLapses(engine));
            }
        }
    }

    fn any_ready(&mut self) -> Option<usize> {
        let count = self.instances.len();
        let from = self.rng.within(0, count as u64) as usize;
        (0..count)
            .map(|each| (from + each) % count)
            .find(|each| self.instances[*each].is_up && self.instances[*each].is_ready)
    }

    /// A reader sees a change, and writes a version that the set does not name before it passes the change on.
    fn see(&mut self, change: Change) {
        let reader = self.any_ready();
        let (Some(reader), Some(call_ms)) = (reader, self.store_ms()) else {
            let again_ms = self.store_again_ms();
            self.after(again_ms, Event::Seen(change));
            return;
        };
        let version = self.engines[change.engine].version;
        let is_recorded = self.kept.versions.contains(&version);
        if self.rules == Rules::New && change.is_added && !is_recorded {
            let run = self.instances[reader].run;
            self.after(call_ms, Event::Written(change, reader, run));
        } else {
            self.spread(change);
        }
    }

    fn spread_written(&mut self, change: Change, number: usize, run: u32) {
        let version = self.engines[change.engine].version;
        if self.store_ms().is_none() || !self.instances[number].is_in_run(run) {
            self.see(change);
            return;
        }
        self.kept.versions.insert(version);
        self.note_kept();
        self.spread(change);
    }

    fn spread(&mut self, change: Change) {
        for number in 0..self.instances.len() {
            let run = self.instances[number].run;
            let delay_ms = self.rng.within(1, 300);
            self.after(delay_ms, Event::Gossip(number, run, change));
        }
    }

    fn hear(&mut self, number: usize, run: u32, change: Change) {
        if !self.instances[number].is_in_run(run) {
            return;
        }
        let version = self.engines[change.engine].version;
        let now_ms = self.now_ms;
        let instance = &mut self.instances[number];
        let applied = instance.applied.entry(change.engine).or_default();
        if *applied > change.number {
            return;
        }
        *applied = change.number;
        if change.is_added && instance.is_ready && !instance.recorded.contains(&version) {
            instance.recorded.push(version);
            instance.versions.load(now_ms, &instance.recorded);
        }
        instance.apply(now_ms, change.engine, version, change.is_added);
        self.tell_running(number);
    }

    /// An instance that knows all recent versions writes them again once the store has lost some.
    fn forget_versions(&mut self) {
        self.after(500, Event::ChecksForgettable);
        if self.store_ms().is_none() || self.rules == Rules::Old {
            return;
        }
        let Some(number) = self.any_ready() else {
            return;
        };
        let (now_ms, era) = (self.now_ms, self.era);
        let instance = &mut self.instances[number];
        if instance.known != KnownSince::Always {
            return;
        }
        if instance.era != era || self.kept.whole_in_era != era {
            instance.era = era;
            self.kept.versions.extend(instance.versions.recent(now_ms));
            self.kept.whole_in_era = era;
        }
        for version in instance.versions.forgettable(now_ms) {
            self.kept.versions.remove(&version);
            instance.recorded.retain(|each| *each != version);
            instance.versions.load(now_ms, &instance.recorded);
        }
        self.note_kept();
    }
}

impl Instance {
    fn begin_run(&mut self, now_ms: u64) {
        let (key, run) = (self.key, self.run + 1);
        let mut runs = std::mem::take(&mut self.runs);
        runs.push((now_ms, u64::MAX));
        *self = Self {
            key,
            run,
            runs,
            is_up: true,
            ..Self::default()
        };
    }

    fn is_in_run(&self, run: u32) -> bool {
        self.is_up && self.run == run
    }

    fn apply(&mut self, now_ms: u64, engine: usize, version: u8, is_added: bool) {
        if is_added && self.listed.insert(engine) {
            self.versions.join(now_ms, version);
            self.old.join(now_ms, version);
        } else if !is_added && self.listed.remove(&engine) {
            self.versions.leave(now_ms, version);
            self.old.leave(now_ms, version);
        }
    }

    fn was_up(&self, at_ms: u64) -> bool {
        let mut runs = self.runs.iter();
        runs.any(|run| run.0 <= at_ms && at_ms < run.1)
    }

    fn are_mixed(&self, now_ms: u64, rules: Rules) -> bool {
        match rules {
            Rules::Old => self.old.are_mixed(now_ms),
            Rules::New => self.versions.are_mixed(now_ms, self.known),
        }
    }
}

/// Kills, starts, and what instances see of each other.
impl Storm {
    fn kill(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let instance = &mut self.instances[number];
        if !instance.is_up {
            return;
        }
        instance.is_up = false;
        if let Some(run) = instance.runs.last_mut() {
            run.1 = now_ms;
        }
        for stream in std::mem::take(&mut instance.running) {
            let (began_ms, end_ms) = (self.streams[stream].began_ms, self.streams[stream].end_ms);
            if end_ms <= now_ms {
                continue;
            }
            let delay_ms = match self.rng.within(0, 3) {
                0 => self.rng.within(100, 1_000),
                1 => self.rng.within(400, 4_000),
                _ => self.rng.within(100, STREAM_AGE_MS),
            };
            let at_ms = now_ms + delay_ms;
            if at_ms < began_ms + STREAM_AGE_MS {
                self.at(at_ms, Event::TakesUp(stream));
            }
        }
    }

    fn start(&mut self, number: usize) {
        let now_ms = self.now_ms;
        if self.instances[number].is_up {
            return;
        }
        self.instances[number].begin_run(now_ms);
        let run = self.instances[number].run;
        self.after(20, Event::ReadsAll(number, run));
    }

    /// A started instance reads the list and the set.
    fn read_all(&mut self, number: usize, run: u32) {
        let Some(call_ms) = self.store_ms() else {
            let again_ms = self.store_again_ms();
            self.after(again_ms, Event::ReadsAll(number, run));
            return;
        };
        let kept = self.kept.clone();
        let (era, now_ms) = (self.era, self.now_ms + call_ms);
        let instance = &mut self.instances[number];
        if !instance.is_in_run(run) {
            return;
        }
        instance.era = era;
        let is_whole = kept.whole_in_era == era;
        for engine in &kept.listed {
            let is_late = instance.applied.contains_key(engine);
            let version = self.engines[*engine].version;
            let is_usable = self.rules == Rules::Old || kept.versions.contains(&version);
            if !is_late && is_usable {
                instance.apply(now_ms, *engine, version, true);
            } else if !is_late {
                // It writes the version first.
                self.changes += 1;
                let change = Change {
                    number: self.changes,
                    engine: *engine,
                    is_added: true,
                };
                self.event_count += 1;
                self.events
                    .push(Reverse((now_ms, self.event_count, Event::Seen(change))));
            }
        }
        if is_whole {
            instance.recorded = kept.versions.iter().copied().collect();
            instance.versions.load(now_ms, &instance.recorded);
            instance.known = KnownSince::Always;
        } else {
            self.after(SETTLE_MS, Event::Settles(number, run));
        }
        self.instances[number].is_ready = true;
    }

    /// After the store lost what was written lately, all that is listed once engines have registered anew served before.
    fn settle(&mut self, number: usize, run: u32) {
        let Some(_) = self.store_ms() else {
            self.after(SETTLE_MS, Event::Settles(number, run));
            return;
        };
        let now_ms = self.now_ms;
        let (versions, listed) = (self.kept.versions.clone(), self.kept.listed.clone());
        let instance = &mut self.instances[number];
        if !instance.is_in_run(run) {
            return;
        }
        let listed = listed.iter().map(|engine| self.engines[*engine].version);
        let all: BTreeSet<u8> = versions.into_iter().chain(listed).collect();
        instance.recorded = all.iter().copied().collect();
        instance.versions.reload();
        instance.versions.load(now_ms, &instance.recorded);
        instance.known = KnownSince::Always;
        self.kept.versions = all;
        self.kept.whole_in_era = self.era;
        self.note_kept();
    }

    /// Time after which an instance sees what became of another one, in ms.
    fn sight_ms(&self, from: usize, of: usize) -> u64 {
        self.sight_ms[from * self.instances.len() + of]
    }

    fn sees(&self, from: usize, of: usize) -> bool {
        let seen_ms = self.now_ms.saturating_sub(self.sight_ms(from, of));
        from != of && self.instances[of].was_up(seen_ms)
    }

    fn member_lost_ms(&self, number: usize) -> Option<u64> {
        let own_ms = self.instances[number].runs.last().map_or(0, |run| run.0);
        let lost = (0..self.instances.len()).flat_map(|other| {
            let sight_ms = self.sight_ms(number, other);
            let ends = self.instances[other].runs.iter().map(|run| run.1);
            ends.filter_map(move |end_ms| end_ms.checked_add(sight_ms))
                .filter(|seen_ms| *seen_ms <= self.now_ms)
        });
        lost.max()
            .max((own_ms > 0).then_some(own_ms))
            .filter(|lost_ms| *lost_ms > 0)
    }

    /// The recorder of a stream and those that come first for it, as an instance sees the fleet.
    fn homes(&self, number: usize, stream: StreamKey, count: usize) -> Vec<usize> {
        let others: Vec<usize> = (0..self.instances.len())
            .filter(|other| self.sees(number, *other))
            .collect();
        let place = |key: StreamKey| move |other: &usize| key.place(self.instances[*other].key);
        let mut homes = Vec::new();
        if self.rules == Rules::New {
            let mut recorders = others.clone();
            recorders.sort_unstable_by_key(place(StreamKey(0)));
            recorders.truncate(self.recorders);
            homes.extend(recorders.into_iter().min_by_key(place(stream)));
        }
        let mut first: Vec<usize> = others;
        first.retain(|other| !homes.contains(other));
        let wanted = count.saturating_sub(homes.len()).min(first.len());
        if wanted < first.len() {
            first.select_nth_unstable_by_key(wanted, place(stream));
        }
        homes.extend(&first[..wanted]);
        homes
    }
}

/// Streams that begin, and what is told of them.
impl Storm {
    /// Streams begun at an instance in a step of 10 ms, of 1,000.
    fn rate(&self) -> u64 {
        match self.instances.len() {
            0..4 => 180,
            4..12 => 90,
            12..50 => 30,
            50..150 => 9,
            _ => 3,
        }
    }

    fn begin_streams(&mut self) {
        self.after(10, Event::Begins);
        for _ in 0..self.instances.len() {
            if self.rng.within(0, 1_000) < self.rate() {
                let until_ms = self.now_ms + PATIENCE_MS;
                let delay_ms = self.rng.within(0, 10);
                if self.now_ms >= KILL_MS && self.now_ms < END_MS - PATIENCE_MS {
                    self.outcome.new_tried += 1;
                }
                self.after(delay_ms, Event::TriesNew(until_ms));
            }
        }
    }

    fn try_new(&mut self, until_ms: u64) {
        let tried_ms = until_ms - PATIENCE_MS;
        let engine = self.any_ready().and_then(|number| {
            let version_engine = self.usable_engine(number, None)?;
            Some((number, version_engine))
        });
        let Some((number, engine)) = engine else {
            if self.now_ms + RETRY_MS < until_ms {
                self.after(RETRY_MS, Event::TriesNew(until_ms));
            }
            return;
        };
        if (KILL_MS..END_MS - PATIENCE_MS).contains(&tried_ms) {
            self.outcome.new_begun += 1;
        }
        let length_ms = self.rng.within(60, 3_000);
        let version = self.engines[engine].version;
        let stream = self.streams.len();
        self.streams.push(Stream {
            version,
            began_ms: self.now_ms,
            end_ms: self.now_ms + length_ms,
            tries_until_ms: 0,
            is_counted: false,
            is_possible: false,
        });
        self.outcome.streams += 1;
        let now_ms = self.now_ms;
        let instance = &mut self.instances[number];
        if instance.running.len() > 200 {
            let streams = &self.streams;
            instance
                .running
                .retain(|each| streams[*each].end_ms > now_ms);
        }
        instance.running.push(stream);
        if self.instances[number].are_mixed(now_ms, self.rules) {
            self.tell(number, stream);
        }
    }

    /// An engine that an instance may use and that answers.
    fn usable_engine(&mut self, number: usize, version: Option<u8>) -> Option<usize> {
        let (now_ms, engines) = (self.now_ms, &self.engines);
        let instance = &self.instances[number];
        let is_usable = |engine: &usize| {
            let is_wanted = version.is_none_or(|version| version == engines[*engine].version);
            is_wanted && engines[*engine].is_up(now_ms)
        };
        let usable: Vec<usize> = instance.listed.iter().copied().filter(is_usable).collect();
        let chosen = self.rng.within(0, usable.len() as u64) as usize;
        usable.get(chosen).copied()
    }

    fn key(stream: usize) -> StreamKey {
        StreamKey::of(&stream.to_le_bytes())
    }

    fn tell(&mut self, number: usize, stream: usize) {
        let (key, version) = (Self::key(stream), self.streams[stream].version);
        self.instances[number].records.insert(key, version);
        for (place, home) in self.homes(number, key, 2).into_iter().enumerate() {
            if self.rng.is_lost() || !self.instances[home].is_up {
                continue;
            }
            self.instances[home].records.insert(key, version);
            if place == 0 && self.rules == Rules::New {
                self.instances[home].queue.push((key, version));
                if self.instances[home].in_flight.is_empty() {
                    self.begin_batch(home);
                }
            }
        }
    }

    /// Tells of all running streams once a second version is known.
    fn tell_running(&mut self, number: usize) {
        let now_ms = self.now_ms;
        let instance = &mut self.instances[number];
        let is_mixed = instance.are_mixed(now_ms, self.rules);
        let was_mixed = std::mem::replace(&mut instance.was_mixed, is_mixed);
        if !is_mixed || was_mixed || self.rules == Rules::Old {
            return;
        }
        for stream in self.instances[number].running.clone() {
            if self.streams[stream].end_ms > now_ms {
                self.tell(number, stream);
            }
        }
    }

    fn begin_batch(&mut self, number: usize) {
        let period_ms = BATCH_MS * self.recorders as u64;
        let call_ms = self.store_ms();
        let instance = &mut self.instances[number];
        if call_ms.is_some() {
            instance.in_flight = std::mem::take(&mut instance.queue);
        }
        let run = instance.run;
        let wait_ms = call_ms.map_or(200, |call_ms| call_ms.max(period_ms));
        self.after(wait_ms, Event::BatchDone(number, run));
    }

    fn end_batch(&mut self, number: usize, run: u32) {
        let now_ms = self.now_ms;
        let is_there = self.store_ms().is_some();
        let instance = &mut self.instances[number];
        if !instance.is_in_run(run) {
            return;
        }
        let sent = std::mem::take(&mut instance.in_flight);
        if is_there {
            self.log
                .extend(sent.into_iter().map(|(key, at)| (key, (at, now_ms))));
        } else {
            instance.queue.extend(sent);
        }
        if !self.instances[number].queue.is_empty() {
            self.begin_batch(number);
        }
    }
}

/// Streams that are taken up.
impl Storm {
    fn take_up(&mut self, stream: usize) {
        let Some(number) = self.any_up() else {
            self.after(RETRY_MS, Event::TakesUp(stream));
            return;
        };
        if !self.streams[stream].is_counted {
            let now_ms = self.now_ms;
            let version = self.streams[stream].version;
            let is_same = |engine: &&Engine| engine.version == version && engine.is_up(now_ms);
            let taken = &mut self.streams[stream];
            taken.is_counted = true;
            taken.tries_until_ms = now_ms + PATIENCE_MS;
            taken.is_possible = self.engines.iter().filter(is_same).count() >= 2;
            self.outcome.taken_up += 1;
            self.outcome.possible += usize::from(taken.is_possible);
        }
        let origin = match self.rules {
            Rules::Old => self.old_decision(number, stream),
            Rules::New => {
                let (evidence, all_replied) = self.gather(number, stream);
                let is_told = |each: &OriginEvidence<u8>| {
                    matches!(
                        each,
                        OriginEvidence::Recorded(_)
                            | OriginEvidence::Unrecorded(Unrecorded::Only(_))
                    )
                };
                let decided = origin_version(&evidence, all_replied);
                let is_log_needed = decided.is_none() || !evidence.iter().any(is_told);
                let call_ms = self.store_ms().filter(|_| is_log_needed);
                if let Some(call_ms) = call_ms {
                    let run = self.instances[number].run;
                    self.after(call_ms, Event::ReadsLog(stream, number, run));
                    return;
                }
                decided
            }
        };
        self.go_on(number, stream, origin);
    }

    fn take_up_by_log(&mut self, stream: usize, number: usize, run: u32) {
        if !self.instances[number].is_in_run(run) {
            self.retry_or_refuse(stream, false);
            return;
        }
        let (mut evidence, all_replied) = self.gather(number, stream);
        if let Some((version, _)) = self.log.get(&Self::key(stream)) {
            evidence.push(OriginEvidence::Recorded(*version));
        }
        let origin = origin_version(&evidence, all_replied);
        self.go_on(number, stream, origin);
    }

    fn any_up(&mut self) -> Option<usize> {
        let count = self.instances.len();
        let from = self.rng.within(0, count as u64) as usize;
        (0..count)
            .map(|each| (from + each) % count)
            .find(|each| self.instances[*each].is_up)
    }

    fn go_on(&mut self, number: usize, stream: usize, origin: Option<u8>) {
        let Some(version) = origin else {
            self.retry_or_refuse(stream, true);
            return;
        };
        if self.usable_engine(number, Some(version)).is_none() {
            self.retry_or_refuse(stream, false);
            return;
        }
        let taken = &self.streams[stream];
        if taken.version == version {
            self.outcome.went_on += usize::from(taken.is_possible);
        } else {
            self.outcome.mixed += 1;
        }
    }

    fn retry_or_refuse(&mut self, stream: usize, is_origin_unknown: bool) {
        if self.now_ms + RETRY_MS < self.streams[stream].tries_until_ms {
            self.after(RETRY_MS, Event::TakesUp(stream));
        } else {
            self.outcome.refused += usize::from(is_origin_unknown);
        }
    }

    fn evidence(&self, number: usize, key: StreamKey) -> OriginEvidence<u8> {
        let instance = &self.instances[number];
        if let Some(version) = instance.records.get(&key) {
            return OriginEvidence::Recorded(*version);
        }
        let lost_ms = self.member_lost_ms(number);
        let known = instance.known;
        OriginEvidence::Unrecorded(instance.versions.unrecorded(self.now_ms, known, lost_ms))
    }

    /// What an instance and those that may keep the record say.
    fn gather(&mut self, number: usize, stream: usize) -> (Vec<OriginEvidence<u8>>, bool) {
        let key = Self::key(stream);
        let asked = self.homes(number, key, 3);
        let mut evidence = vec![self.evidence(number, key)];
        let mut all_replied = true;
        for other in asked {
            // A query and its answer, sent twice.
            let is_lost = |rng: &mut Rng| rng.is_lost() || rng.is_lost();
            if !self.instances[other].is_up || is_lost(&mut self.rng) && is_lost(&mut self.rng) {
                all_replied = false;
            } else {
                evidence.push(self.evidence(other, key));
            }
        }
        (evidence, all_replied)
    }

    fn old_decision(&mut self, number: usize, stream: usize) -> Option<u8> {
        let (now_ms, key) = (self.now_ms, Self::key(stream));
        let is_one_enough = !self.instances[number].old.are_mixed(now_ms);
        let (mut recorded, mut unrecorded) = (Vec::new(), Vec::new());
        let mut asked = vec![number];
        asked.extend(self.homes(number, key, 3));
        for (place, other) in asked.into_iter().enumerate() {
            if place > 0 && (!self.instances[other].is_up || self.rng.is_lost()) {
                continue;
            }
            match self.instances[other].records.get(&key) {
                Some(version) => recorded.push(*version),
                None => unrecorded.push(self.instances[other].old.unrecorded(now_ms)),
            }
            if place > 0 && is_one_enough {
                break;
            }
        }
        old_origin(&recorded, &unrecorded)
    }
}
