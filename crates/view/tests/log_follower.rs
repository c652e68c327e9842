//! Instances that follow one log through the readings of a few.

mod common;

use common::log::{Log, of};
use common::{Fleet, STEP_MS};
use view::log_follower::FollowAction;
use view::polling::{CHECK_INTERVAL_MS, FreshnessBounds, ReaderRole, reader_role};
use view::{
    GossipedChange, InstanceKey, ListChange, ListedEntries, LogFollower, LogPosition, ReadId,
    Stage, UpstreamEntry, UpstreamState, hubs,
};

/// Bound on new work for a leaving upstream, in ms.
const BOUND_MS: u64 = 2_000;

const BOUNDS: FreshnessBounds = FreshnessBounds {
    drain_ms: BOUND_MS,
    config_ms: 2_000,
};

fn source(at_ms: u64) -> ReadId {
    ReadId {
        reader: InstanceKey::of("another"),
        at_ms,
    }
}

fn entry(id: &str, seq: u64) -> UpstreamEntry {
    UpstreamEntry {
        id: id.to_owned(),
        started_ms: 0,
        service: "desk".to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "here".to_owned(),
        slots: 4,
        state: UpstreamState::Ready,
        stage: Stage::Whole,
        seq,
        is_spot: false,
    }
}

/// What the instances of a fleet do to know what a log says.
struct Followers {
    fleet: Fleet,
    log: Log,
    all: Vec<LogFollower>,
    reads: usize,
    asked: usize,
}

impl Followers {
    fn new(instances: usize) -> Self {
        Self {
            fleet: Fleet::new(instances),
            log: Log::default(),
            all: (0..instances).map(of).collect(),
            reads: 0,
            asked: 0,
        }
    }

    fn step(&mut self, is_lost: impl FnMut(usize, usize) -> bool) {
        self.fleet.run(STEP_MS, is_lost);
        let now_ms = self.fleet.now_ms;
        for who in 0..self.all.len() {
            let duty = self.duty(who);
            self.hear(who);
            if (now_ms / STEP_MS + who as u64).is_multiple_of(CHECK_INTERVAL_MS / STEP_MS) {
                let most_ms = BOUNDS.max_list_age_ms(duty);
                match self.all[who].next_action(now_ms, most_ms, duty.is_reader()) {
                    FollowAction::UpToDate => {}
                    FollowAction::AskPeer => self.ask(who),
                    FollowAction::ReadStore => self.read(who),
                }
            }
            self.fleet.all[who].list = self.all[who].position(now_ms, duty.is_reader());
        }
    }

    fn duty(&self, who: usize) -> ReaderRole {
        let order = hubs::order(self.fleet.all[who].members.reachable());
        let own = &self.fleet.all[who].member.name;
        let rank = order.iter().position(|each| each.name == *own);
        reader_role(
            rank.unwrap_or(order.len()),
            order.len(),
            hubs::count(order.len()),
        )
    }

    fn hear(&mut self, who: usize) {
        let now_ms = self.fleet.now_ms;
        let instance = &mut self.fleet.all[who];
        for news in std::mem::take(&mut instance.news) {
            if self.all[who].apply_change(&news) {
                instance.shared.add_list_change(now_ms, news);
            }
        }
        for mark in std::mem::take(&mut instance.marks) {
            self.all[who].receive_position(now_ms, &mark);
        }
    }

    fn read(&mut self, who: usize) {
        let now_ms = self.fleet.now_ms;
        let followed = &mut self.all[who];
        self.reads += 1;
        let Some(from) = followed.next_offset() else {
            followed.record_snapshot(now_ms, self.log.end);
            return;
        };
        let mut before = followed.last_applied_change();
        let unread = self.log.changes.iter().filter(|(after, _)| *after > from);
        for (after, _) in unread {
            let news = GossipedChange {
                previous_offset: before,
                offset: *after,
                change: ListChange::Gone(after.to_string()),
                unconfirmed_ms: 0,
            };
            self.fleet.all[who].shared.add_list_change(now_ms, news);
            before = *after;
        }
        self.log.read_by(followed, now_ms);
    }

    fn ask(&mut self, who: usize) {
        let now_ms = self.fleet.now_ms;
        let informed = self
            .all
            .iter()
            .find(|each| !each.is_behind() && each.next_offset() > self.all[who].next_offset());
        if let Some(informed) = informed.cloned() {
            let as_of_ms = now_ms - informed.age_ms(now_ms);
            self.all[who].record_snapshot(as_of_ms, informed.next_offset().unwrap());
            self.asked += 1;
        }
    }

    /// The first change that somebody has not taken in, of those that are `age_ms` old.
    fn missed(&self, age_ms: u64) -> Option<(u64, u64)> {
        let now_ms = self.fleet.now_ms;
        let old = self
            .log
            .changes
            .iter()
            .filter(|(_, at_ms)| now_ms >= at_ms + age_ms);
        let mut old = old.copied();
        old.find(|(after, _)| {
            self.all
                .iter()
                .any(|each| each.next_offset() < Some(*after))
        })
    }
}

/// Instances follow a list to which something is written every 10 ms and that says something new every
/// 200 ms, as when half of the upstreams are replaced. Every change is taken in by all within half of
/// the bound, and calls to the store grow neither with instances times changes nor with instances times
/// seconds: beside two readings of each at the start they are those of two readers.
#[test]
fn a_few_read_for_all() {
    const SECONDS: u64 = 20;
    for instances in [7, 40, 295] {
        let mut followers = Followers::new(instances);
        for now_ms in (0..SECONDS * 1_000).step_by(STEP_MS as usize) {
            let changes = now_ms % 200 == 100 && now_ms > 3_000;
            followers.log.write(now_ms, changes);
            followers.step(|_, _| false);
            let missed = followers.missed(BOUND_MS / 2);
            assert!(missed.is_none(), "{instances}, {now_ms}: {missed:?}");
        }
        // Those that take each other's place at the start read a second time.
        let period_ms = BOUNDS.max_list_age_ms(ReaderRole::FirstReader);
        let most = 2 * instances as u64 + 2 * SECONDS * 1_000 / period_ms;
        assert!(
            followers.reads as u64 <= most,
            "{instances}: {} of {most}",
            followers.reads
        );
        assert!(
            followers.asked <= 2 * instances,
            "{instances}: {}",
            followers.asked
        );
    }
}

/// The readers are cut off from all others, but not from the store. The hubs read instead, and after
/// them who still hears nothing; every change is known to all within the bound.
#[test]
fn the_readers_are_cut_off() {
    const INSTANCES: usize = 80;
    let mut followers = Followers::new(INSTANCES);
    let members: Vec<_> = followers
        .fleet
        .all
        .iter()
        .map(|it| it.member.clone())
        .collect();
    let readers: Vec<String> = hubs::order(members.iter())[..4]
        .iter()
        .map(|it| it.name.clone())
        .collect();
    let reads: Vec<bool> = members
        .iter()
        .map(|it| readers.contains(&it.name))
        .collect();
    for now_ms in (0..15_000).step_by(STEP_MS as usize) {
        followers.log.write(now_ms, now_ms % 700 == 100);
        let is_cut = (5_000..10_000).contains(&now_ms);
        followers.step(|from, to| is_cut && (reads[from] != reads[to]));
        let missed = followers.missed(BOUND_MS);
        assert!(missed.is_none(), "{now_ms}: {missed:?}");
    }
}

/// One in five datagrams gets lost while the list changes. Who missed a change asks another instance, and
/// nobody is later than the bound.
#[test]
fn changes_come_through_lost_datagrams() {
    let mut followers = Followers::new(80);
    let mut draw = 1_u64;
    for now_ms in (0..15_000).step_by(STEP_MS as usize) {
        followers
            .log
            .write(now_ms, now_ms % 300 == 100 && now_ms > 2_000);
        followers.step(|_, _| {
            draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            (draw >> 33).is_multiple_of(5)
        });
        let missed = followers.missed(BOUND_MS);
        assert!(missed.is_none(), "{now_ms}: {missed:?}");
    }
}

/// The instance that reads for others is cut off from them. Those that hear nothing read for
/// themselves before the bound on changes is half over.
#[test]
fn who_hears_nothing_reads_for_itself() {
    let mut log = Log::default();
    log.write(0, true);
    let mut alone = LogFollower::default();
    log.read_by(&mut alone, 1_000);
    let most_ms = BOUNDS.max_list_age_ms(ReaderRole::Other);
    assert_eq!(
        alone.next_action(1_100, most_ms, false),
        FollowAction::UpToDate
    );
    assert_eq!(
        alone.next_action(1_000 + BOUND_MS / 2, most_ms, false),
        FollowAction::ReadStore
    );
}

/// A reader is suspended for five seconds with a telling half written. What it tells on waking is as
/// old as that, since its clock counts the suspension, and nobody takes it for news.
#[test]
fn an_old_reading_is_told_as_old() {
    let mut log = Log::default();
    log.write(0, true);
    let (mut reader, mut other) = (of(1), of(2));
    log.read_by(&mut reader, 1_000);
    log.read_by(&mut other, 1_000);
    let mark = reader
        .position(6_000, true)
        .expect("it has read all that it knows of");
    other.receive_position(6_010, &mark);
    assert!(other.age_ms(6_010) >= 5_000);
    let most_ms = BOUNDS.max_list_age_ms(ReaderRole::Other);
    assert_eq!(
        other.next_action(6_010, most_ms, false),
        FollowAction::ReadStore
    );
}

/// A change is told that this instance has not taken in. One that reads for others reads at once, another
/// one asks, and reads if it has no answer; neither tells anybody that it knows all before it does.
#[test]
fn a_change_that_was_told_is_taken_in_at_once() {
    let mut log = Log::default();
    log.write(0, true);
    let (mut reader, mut other) = (of(1), of(2));
    log.read_by(&mut reader, 1_000);
    log.read_by(&mut other, 1_000);
    log.write(1_100, true);
    log.read_by(&mut reader, 1_200);
    other.receive_position(1_210, &reader.position(1_210, true).expect("all is read"));
    assert_eq!(
        other.next_action(1_210, u64::MAX, true),
        FollowAction::ReadStore
    );
    assert_eq!(
        other.next_action(1_210, u64::MAX, false),
        FollowAction::AskPeer
    );
    assert_eq!(
        other.next_action(2_500, u64::MAX, false),
        FollowAction::ReadStore
    );
    assert_eq!(other.position(1_210, true), None);
    log.read_by(&mut other, 1_220);
    assert_eq!(other.next_action(1_220, 100, true), FollowAction::UpToDate);
}

/// Nobody reads the store any more, and two instances go on telling each other what was read last. Each
/// way takes 10 ms and makes it seem as much younger; they must not keep each other from reading.
#[test]
fn what_comes_back_is_not_new() {
    let (mut one, mut other) = (of(1), of(2));
    let mark = LogPosition {
        read_id: source(1_000),
        end: 9,
        last_change: 9,
        age_ms: 0,
    };
    one.record_snapshot(900, 9);
    other.record_snapshot(900, 9);
    one.receive_position(1_000, &mark);
    for now_ms in (1_000..3_000).step_by(20) {
        other.receive_position(now_ms + 10, &one.position(now_ms, false).unwrap());
        one.receive_position(now_ms + 20, &other.position(now_ms + 10, false).unwrap());
    }
    assert!(one.age_ms(3_000) >= 1_980, "{}", one.age_ms(3_000));
    assert!(other.age_ms(3_000) >= 1_980, "{}", other.age_ms(3_000));
}

/// A reader's machine is started anew, and its clock since boot with it. Its readings are believed again;
/// taken for old ones, all others would read for themselves for as long as it had run before.
#[test]
fn a_reader_that_starts_anew_is_believed() {
    let mut followed = of(1);
    followed.record_snapshot(0, 9);
    let mark = |at_ms| LogPosition {
        read_id: source(at_ms),
        end: 9,
        last_change: 9,
        age_ms: 0,
    };
    followed.receive_position(1_000, &mark(50_000));
    followed.receive_position(4_000, &mark(300));
    followed.receive_position(5_000, &mark(900));
    assert_eq!(followed.age_ms(5_000), 0);
}

/// A change comes whose predecessor got lost. It is not taken in: the list would lack one for good while
/// seeming complete.
#[test]
fn a_change_after_a_missed_one_waits() {
    let mut followed = LogFollower::default();
    followed.record_snapshot(0, 10);
    let news = |before, after| GossipedChange {
        previous_offset: before,
        offset: after,
        change: ListChange::Gone("a".to_owned()),
        unconfirmed_ms: 0,
    };
    assert!(!followed.apply_change(&news(14, 17)));
    assert!(followed.apply_change(&news(9, 14)));
    assert!(!followed.apply_change(&news(9, 14)), "twice");
    assert!(followed.apply_change(&news(14, 17)));
    assert_eq!(followed.next_offset(), Some(17));
}

/// An instance starts and reads the whole list, which has no history. Were it to tell the end as a
/// change, all others would seem to have missed one at each start; it tells nothing until it has heard
/// where the last change stands.
#[test]
fn a_start_makes_nobody_read() {
    let mut started = LogFollower::default();
    started.record_snapshot(1_000, 90);
    assert_eq!(started.position(1_100, true), None);
    let mark = LogPosition {
        read_id: source(1),
        end: 95,
        last_change: 40,
        age_ms: 10,
    };
    started.receive_position(1_200, &mark);
    assert_eq!(
        started.position(1_200, true).map(|mark| mark.last_change),
        Some(40)
    );
    let mut first = LogFollower::default();
    first.record_snapshot(1_000, 90);
    assert_eq!(first.position(2_100, false), None);
    assert_eq!(
        first.position(1_500, true).map(|mark| mark.last_change),
        Some(90)
    );
}

/// A reader reads, an upstream leaves, and an instance starts and reads the whole list, all within some ms. The reader's
/// word waited in the new one's socket, and seems to be younger than the whole list. Were it to say where the last
/// change stands, the new one would tell all that nothing has changed, and nobody would read the record.
#[test]
fn an_older_word_that_waited_does_not_hide_a_change() {
    let mut log = Log::default();
    log.write(0, true);
    let (mut reader, mut started, mut other) = (of(1), of(2), of(3));
    for each in [&mut reader, &mut other] {
        log.read_by(each, 1_000);
    }
    let waited = reader.position(1_001, true).expect("it has read all");
    log.write(1_010, true);
    started.record_snapshot(1_020, log.end);
    started.receive_position(1_060, &waited);
    if let Some(mark) = started.position(1_070, true) {
        other.receive_position(1_070, &mark);
    }
    let believes = !other.is_behind() && other.age_ms(1_100) < 90;
    assert!(!believes, "{other:?}");
}

/// One instance has found an upstream gone before the list says so. The record by which the others
/// learn it is news to them, whatever this one knows.
#[test]
fn news_does_not_depend_on_what_a_reader_found_out() {
    let mut said = ListedEntries::default();
    said.replace(&[entry("a", 1), entry("b", 1)]);
    assert!(!said.apply(&ListChange::Put(entry("a", 2))));
    assert!(said.apply(&ListChange::Gone("a".to_owned())));
    assert!(said.apply(&ListChange::Gone("unknown".to_owned())));
    assert!(said.apply(&ListChange::Put(entry("a", 3))));
    let leaving = UpstreamEntry {
        state: UpstreamState::Leaving,
        ..entry("b", 2)
    };
    assert!(said.apply(&ListChange::Put(leaving)));
}
