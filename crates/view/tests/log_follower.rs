//! Instances that follow one log which only a few of them read.

mod common;

use common::log::{Log, follower_of};
use common::{Fleet, STEP_MS, address};
use view::log_follower::FollowAction;
use view::polling::{CHECK_INTERVAL_MS, FreshnessBounds, ReaderRole, reader_role};
use view::{
    GossipedChange, InstanceKey, ListChange, ListedEntries, LogFollower, LogPosition, ReadId,
    Stage, UpstreamEntry, UpstreamState, hubs,
};

/// Bound on new work for a leaving upstream, in ms.
const BOUND_MS: u64 = 2_000;

/// Minimum interval between two queries of an instance, in ms.
const QUERY_INTERVAL_MS: u64 = 500;

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
        version: String::new(),
        is_spot: false,
    }
}

/// A fleet that follows one log.
struct FollowerFleet {
    fleet: Fleet,
    log: Log,
    all: Vec<LogFollower>,
    reads: usize,
    peer_queries: usize,
    queried_ms: Vec<u64>,
}

impl FollowerFleet {
    fn new(instances: usize) -> Self {
        Self {
            fleet: Fleet::new(instances),
            log: Log::default(),
            all: (0..instances).map(follower_of).collect(),
            reads: 0,
            peer_queries: 0,
            queried_ms: vec![0; instances],
        }
    }

    fn step(&mut self, is_lost: impl FnMut(usize, usize) -> bool) {
        self.fleet.run(STEP_MS, is_lost);
        let now_ms = self.fleet.now_ms;
        for index in 0..self.all.len() {
            let role = self.role(index);
            self.receive(index);
            if (now_ms / STEP_MS + index as u64).is_multiple_of(CHECK_INTERVAL_MS / STEP_MS) {
                let max_age_ms = BOUNDS.max_list_age_ms(role);
                match self.all[index].next_action(now_ms, max_age_ms, role.is_reader()) {
                    FollowAction::UpToDate => {}
                    FollowAction::AskPeer => self.query_peer(index),
                    FollowAction::ReadStore => self.read(index),
                }
            }
            self.fleet.all[index].list = self.all[index].position(now_ms, role.is_reader());
        }
    }

    fn role(&self, index: usize) -> ReaderRole {
        let order = hubs::order(self.fleet.all[index].members.reachable());
        let own = &self.fleet.all[index].member.name;
        let rank = order.iter().position(|each| each.name == *own);
        reader_role(
            rank.unwrap_or(order.len()),
            order.len(),
            hubs::count(order.len()),
        )
    }

    fn receive(&mut self, index: usize) {
        let now_ms = self.fleet.now_ms;
        let instance = &mut self.fleet.all[index];
        for change in std::mem::take(&mut instance.list_changes) {
            if self.all[index].apply_change(&change) {
                instance.gossip.add_list_change(now_ms, change);
            }
        }
        for (peer, position) in std::mem::take(&mut instance.positions) {
            self.all[index].receive_position_of(now_ms, &position, peer);
        }
    }

    fn read(&mut self, index: usize) {
        let now_ms = self.fleet.now_ms;
        let follower = &mut self.all[index];
        self.reads += 1;
        let Some(from) = follower.next_offset() else {
            follower.record_snapshot(now_ms, self.log.end);
            return;
        };
        let mut before = follower.last_applied_change();
        let unread = self.log.changes.iter().filter(|(after, _)| *after > from);
        for (after, _) in unread {
            let change = GossipedChange {
                previous_offset: before,
                offset: *after,
                change: ListChange::Gone(after.to_string()),
                unconfirmed_ms: 0,
            };
            self.fleet.all[index].gossip.add_list_change(now_ms, change);
            before = *after;
        }
        self.log.read_by(follower, now_ms);
    }

    /// Asks the peer that told of the missing change, at most once in [`QUERY_INTERVAL_MS`].
    fn query_peer(&mut self, index: usize) {
        let now_ms = self.fleet.now_ms;
        if self.queried_ms[index] + QUERY_INTERVAL_MS > now_ms {
            return;
        }
        let informant = self.all[index].informant();
        let asked =
            informant.and_then(|peer| (0..self.all.len()).find(|each| address(*each) == peer));
        let Some(asked) = asked.map(|asked| self.all[asked].clone()) else {
            return;
        };
        self.queried_ms[index] = now_ms;
        self.peer_queries += 1;
        if let Some(next) = asked
            .held_offset()
            .filter(|next| self.all[index].lacks_records_before(*next))
        {
            self.all[index].record_snapshot(now_ms - asked.age_ms(now_ms), next);
        }
    }

    /// Starts an instance again: it reads the whole list.
    fn restart(&mut self, index: usize) {
        self.all[index] = follower_of(index);
        self.read(index);
    }

    /// The first change older than `age_ms` that some instance has not applied.
    fn first_missed(&self, age_ms: u64) -> Option<(u64, u64)> {
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

/// Guards against store calls that grow with instances times changes, or with instances times
/// seconds. The list is written to every 10 ms and changes every 200 ms, as when half of the
/// upstreams are replaced. All instances apply each change within half of the bound. Beside two
/// reads of each instance at the start, there are only those of two readers.
#[test]
fn few_readers_suffice_at_any_size() {
    const SECONDS: u64 = 20;
    for instances in [7, 40, 295] {
        let mut followers = FollowerFleet::new(instances);
        for now_ms in (0..SECONDS * 1_000).step_by(STEP_MS as usize) {
            let changes = now_ms % 200 == 100 && now_ms > 3_000;
            followers.log.write(now_ms, changes);
            followers.step(|_, _| false);
            let first_missed = followers.first_missed(BOUND_MS / 2);
            assert!(
                first_missed.is_none(),
                "{instances}, {now_ms}: {first_missed:?}"
            );
        }
        // Instances that disagree on their ranks at the start may read a second time.
        let period_ms = BOUNDS.max_list_age_ms(ReaderRole::FirstReader);
        let max_reads = 2 * instances as u64 + 2 * SECONDS * 1_000 / period_ms;
        assert!(
            followers.reads as u64 <= max_reads,
            "{instances}: {} of {max_reads}",
            followers.reads
        );
        assert!(
            followers.peer_queries <= 2 * instances,
            "{instances}: {}",
            followers.peer_queries
        );
    }
}

/// Guards against a change that only the first reader knows, since it was made just before that instance started and read
/// the whole list. Whoever hears of it must ask an instance that has it.
#[test]
fn changes_spread_while_the_first_reader_starts_again() {
    for instances in [7, 80] {
        let mut followers = FollowerFleet::new(instances);
        let order = hubs::order(followers.fleet.all.iter().map(|it| &it.member));
        let first = order[0].name.clone();
        let is_first = |index: &usize| followers.fleet.all[*index].member.name == first;
        let first = (0..instances).find(is_first).unwrap();
        for now_ms in (0..15_000).step_by(STEP_MS as usize) {
            let is_change = now_ms > 3_000 && now_ms % 1_730 == 0;
            followers.log.write(now_ms, is_change);
            if is_change {
                followers.restart(first);
            }
            followers.step(|_, _| false);
            let first_missed = followers.first_missed(BOUND_MS / 2);
            assert!(
                first_missed.is_none(),
                "{instances}, {now_ms}: {first_missed:?}"
            );
        }
    }
}

/// Guards against changes that arrive too late when the readers are cut off from the fleet, but not
/// from the store. The hubs must read instead, and then any instance that still receives nothing.
#[test]
fn changes_spread_while_readers_are_cut_off() {
    const INSTANCES: usize = 80;
    let mut followers = FollowerFleet::new(INSTANCES);
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
        let is_cut_off = (5_000..10_000).contains(&now_ms);
        followers.step(|from, to| is_cut_off && (reads[from] != reads[to]));
        let first_missed = followers.first_missed(BOUND_MS);
        assert!(first_missed.is_none(), "{now_ms}: {first_missed:?}");
    }
}

/// Guards against changes that arrive too late when one in five datagrams is lost. An instance that
/// missed a change must ask a peer.
#[test]
fn changes_spread_despite_lost_datagrams() {
    let mut followers = FollowerFleet::new(80);
    let mut draw = 1_u64;
    for now_ms in (0..15_000).step_by(STEP_MS as usize) {
        followers
            .log
            .write(now_ms, now_ms % 300 == 100 && now_ms > 2_000);
        followers.step(|_, _| {
            draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            (draw >> 33).is_multiple_of(5)
        });
        let first_missed = followers.first_missed(BOUND_MS);
        assert!(first_missed.is_none(), "{now_ms}: {first_missed:?}");
    }
}

/// Guards against an instance that waits for gossip from a reader that is cut off. It must read the
/// store before half of the bound has passed.
#[test]
fn isolated_instance_reads_the_store() {
    let mut log = Log::default();
    log.write(0, true);
    let mut alone = LogFollower::default();
    log.read_by(&mut alone, 1_000);
    let max_age_ms = BOUNDS.max_list_age_ms(ReaderRole::Other);
    assert_eq!(
        alone.next_action(1_100, max_age_ms, false),
        FollowAction::UpToDate
    );
    assert_eq!(
        alone.next_action(1_000 + BOUND_MS / 2, max_age_ms, false),
        FollowAction::ReadStore
    );
}

/// Guards against old knowledge that counts as new. A reader is suspended for five seconds while it
/// sends its position; the age of the position must count the suspension.
#[test]
fn suspension_counts_in_the_age_of_a_position() {
    let mut log = Log::default();
    log.write(0, true);
    let (mut reader, mut other) = (follower_of(1), follower_of(2));
    log.read_by(&mut reader, 1_000);
    log.read_by(&mut other, 1_000);
    let position = reader
        .position(6_000, true)
        .expect("the reader is up to date");
    other.receive_position(6_010, &position);
    assert!(other.age_ms(6_010) >= 5_000);
    let max_age_ms = BOUNDS.max_list_age_ms(ReaderRole::Other);
    assert_eq!(
        other.next_action(6_010, max_age_ms, false),
        FollowAction::ReadStore
    );
}

/// Guards against a change that is known to exist but not fetched. A reader must read at once;
/// another instance must ask a peer, and read if there is no answer. Neither may gossip a position
/// before it has applied the change.
#[test]
fn announced_change_is_fetched_at_once() {
    let mut log = Log::default();
    log.write(0, true);
    let (mut reader, mut other) = (follower_of(1), follower_of(2));
    log.read_by(&mut reader, 1_000);
    log.read_by(&mut other, 1_000);
    log.write(1_100, true);
    log.read_by(&mut reader, 1_200);
    other.receive_position(
        1_210,
        &reader
            .position(1_210, true)
            .expect("the reader is up to date"),
    );
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

/// Guards against two instances that prevent each other from reading. They exchange the result of
/// the same read, which seems 10 ms younger with each transit.
#[test]
fn echoed_position_is_not_new() {
    let (mut one, mut other) = (follower_of(1), follower_of(2));
    let position = LogPosition {
        read_id: source(1_000),
        end: 9,
        last_change: 9,
        age_ms: 0,
    };
    one.record_snapshot(900, 9);
    other.record_snapshot(900, 9);
    one.receive_position(1_000, &position);
    for now_ms in (1_000..3_000).step_by(20) {
        other.receive_position(now_ms + 10, &one.position(now_ms, false).unwrap());
        one.receive_position(now_ms + 20, &other.position(now_ms + 10, false).unwrap());
    }
    assert!(one.age_ms(3_000) >= 1_980, "{}", one.age_ms(3_000));
    assert!(other.age_ms(3_000) >= 1_980, "{}", other.age_ms(3_000));
}

/// Guards against a rebooted reader whose positions count as old, since its clock since boot
/// restarts. All other instances would have to read for as long as the machine had been up before.
#[test]
fn rebooted_reader_is_trusted_again() {
    let mut follower = follower_of(1);
    follower.record_snapshot(0, 9);
    let position = |at_ms| LogPosition {
        read_id: source(at_ms),
        end: 9,
        last_change: 9,
        age_ms: 0,
    };
    follower.receive_position(1_000, &position(50_000));
    follower.receive_position(4_000, &position(300));
    follower.receive_position(5_000, &position(900));
    assert_eq!(follower.age_ms(5_000), 0);
}

/// Guards against a list that lacks an entry and seems complete, because a change was applied
/// although the one before it was lost.
#[test]
fn change_after_a_gap_is_not_applied() {
    let mut follower = LogFollower::default();
    follower.record_snapshot(0, 10);
    let change = |before, after| GossipedChange {
        previous_offset: before,
        offset: after,
        change: ListChange::Gone("a".to_owned()),
        unconfirmed_ms: 0,
    };
    assert!(!follower.apply_change(&change(14, 17)));
    assert!(follower.apply_change(&change(9, 14)));
    assert!(!follower.apply_change(&change(9, 14)), "twice");
    assert!(follower.apply_change(&change(14, 17)));
    assert_eq!(follower.next_offset(), Some(17));
}

/// Guards against a starting instance that triggers reads of all other instances. A full read has
/// no history; if its end were gossiped as a change, all others would seem to have missed one. The
/// instance must gossip no position until it knows the offset of the last change.
#[test]
fn starting_instance_triggers_no_reads() {
    let mut started = LogFollower::default();
    started.record_snapshot(1_000, 90);
    assert_eq!(started.position(1_100, true), None);
    let position = LogPosition {
        read_id: source(1),
        end: 95,
        last_change: 40,
        age_ms: 10,
    };
    started.receive_position(1_200, &position);
    assert_eq!(
        started
            .position(1_200, true)
            .map(|position| position.last_change),
        Some(40)
    );
    let mut first = LogFollower::default();
    first.record_snapshot(1_000, 90);
    assert_eq!(first.position(2_100, false), None);
    assert_eq!(
        first
            .position(1_500, true)
            .map(|position| position.last_change),
        Some(90)
    );
}

/// Guards against a delayed position that hides a change. A reader reads, an upstream leaves, and
/// an instance starts and reads the full list, all within some ms. The reader's position has waited
/// in the new instance's socket, so it seems younger than the full read. If its offset of the last
/// change were accepted, the new instance would gossip that nothing has changed.
#[test]
fn delayed_position_does_not_hide_a_change() {
    let mut log = Log::default();
    log.write(0, true);
    let (mut reader, mut started, mut other) = (follower_of(1), follower_of(2), follower_of(3));
    for each in [&mut reader, &mut other] {
        log.read_by(each, 1_000);
    }
    let delayed = reader
        .position(1_001, true)
        .expect("the reader is up to date");
    log.write(1_010, true);
    started.record_snapshot(1_020, log.end);
    started.receive_position(1_060, &delayed);
    if let Some(position) = started.position(1_070, true) {
        other.receive_position(1_070, &position);
    }
    let believes = !other.is_behind() && other.age_ms(1_100) < 90;
    assert!(!believes, "{other:?}");
}

/// Guards against a record that is not passed on. An instance may observe that an upstream is gone
/// before the list shows it; the record is still new to its peers.
#[test]
fn novelty_of_a_record_depends_on_the_list_only() {
    let mut listed = ListedEntries::default();
    listed.replace(&[entry("a", 1), entry("b", 1)]);
    assert!(!listed.apply(&ListChange::Put(entry("a", 2))));
    assert!(listed.apply(&ListChange::Gone("a".to_owned())));
    assert!(listed.apply(&ListChange::Gone("unknown".to_owned())));
    assert!(listed.apply(&ListChange::Put(entry("a", 3))));
    let leaving = UpstreamEntry {
        state: UpstreamState::Leaving,
        ..entry("b", 2)
    };
    assert!(listed.apply(&ListChange::Put(leaving)));
}

/// Guards against an instance that lacks a change and takes its list for young: the reader that knows the change says
/// again and again how fresh its own list is, and the peers that are asked lack the change too.
#[test]
fn news_of_a_missed_change_makes_the_own_list_no_younger() {
    const READ_MS: u64 = 1_000;
    let mut follower = follower_of(1);
    follower.record_read(READ_MS, 22, Some(22));
    let max_age_ms = BOUNDS.max_list_age_ms(ReaderRole::Other);
    for now_ms in (READ_MS + 100..READ_MS + max_age_ms).step_by(100) {
        let position = LogPosition {
            read_id: source(now_ms),
            end: 23,
            last_change: 23,
            age_ms: 10,
        };
        follower.receive_position(now_ms, &position);
    }
    let action = follower.next_action(READ_MS + max_age_ms, max_age_ms, false);
    assert_eq!(action, FollowAction::ReadStore);
}

/// Guards against hundreds of reads of the store where changes come one after the other: an instance that had applied them
/// forgot how fresh they made its list, as their news had come a moment before.
#[test]
fn a_list_that_has_caught_up_is_as_fresh_as_the_news_of_its_last_change() {
    const READ_MS: u64 = 1_000;
    let mut follower = follower_of(1);
    follower.record_read(READ_MS, 22, Some(22));
    for (number, now_ms) in (READ_MS + 200..READ_MS + 5_000).step_by(200).enumerate() {
        let offset = 23 + number as u64;
        let position = LogPosition {
            read_id: source(now_ms - 100),
            end: offset,
            last_change: offset,
            age_ms: 100,
        };
        follower.receive_position(now_ms, &position);
        assert!(follower.is_behind());
        let change = GossipedChange {
            previous_offset: offset - 1,
            offset,
            change: ListChange::Put(entry("i-1", offset)),
            unconfirmed_ms: 0,
        };
        assert!(follower.apply_change(&change));
        assert_eq!(follower.age_ms(now_ms), 100);
    }
}
