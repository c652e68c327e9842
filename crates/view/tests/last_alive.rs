//! What an instance makes of silence: peers that are gone are named to callers no more, peers that it is only cut off
//! from are.

use view::heartbeats::{ReadSchedule, WriteSchedule};
use view::{InstanceKey, Member, Members};

/// Time between two steps of the replay, in ms.
const STEP_MS: u64 = 50;

/// When power is lost or paths are cut, in ms.
const LOST_AT_MS: u64 = 20_000;

/// Time after which no dead instance may be named, in ms.
const MAX_NAMED_MS: u64 = 5_000;

/// Time that the replay goes on after that, in ms.
const AFTER_MS: u64 = 40_000;

/// What happens to the instances other than the survivors.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Loss {
    /// They lose power.
    Power,
    /// The observer neither hears them nor is heard by them.
    Cut,
    /// The observer does not hear them, but they hear it.
    CutOneWay,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Store {
    Usual,
    /// Each answer takes this long, in ms.
    Slow(u64),
    /// It turns away the first two in rank of those that the observer does not hear.
    TurnsFirstAway,
    Away,
}

fn member(number: usize, heartbeat_seq: u64) -> Member {
    Member {
        name: format!("entry-{number}"),
        address: format!("10.0.{}.{}:1", number / 200, number % 200 + 1)
            .parse()
            .expect("an address"),
        gossip_address: None,
        zone: format!("zone-{}", number % 3),
        ready: true,
        heartbeat_seq,
        link_mbps: 20,
    }
}

fn key(number: usize) -> InstanceKey {
    InstanceKey::of(&member(number, 1).name)
}

/// How long dead instances were named after the loss, in ms, and the fewest instances that were named after it.
struct Seen {
    dead_named_ms: u64,
    fewest_named: usize,
}

/// Replays what instance 0 sees of a fleet of which it and the next `survivors - 1` stay alive and in its reach.
fn replay(instances: usize, survivors: usize, loss: Loss, store: Store) -> Seen {
    let mut own = Members::default();
    let mut reads = ReadSchedule::default();
    // Records in the store, with the number of their last renewal, and when each instance renews its own.
    let mut log: Vec<Member> = (0..instances).map(|number| member(number, 1)).collect();
    let mut writers: Vec<WriteSchedule> = (0..instances).map(|_| WriteSchedule::new(0)).collect();
    // The answer to a read that is under way, and when it arrives.
    let mut pending: Option<(u64, Vec<Member>)> = None;
    let mut seen = Seen {
        dead_named_ms: 0,
        fewest_named: instances,
    };
    for now_ms in (0..LOST_AT_MS + MAX_NAMED_MS + AFTER_MS).step_by(STEP_MS as usize) {
        let is_lost = now_ms >= LOST_AT_MS;
        let is_dead = |number: usize| is_lost && loss == Loss::Power && number >= survivors;
        let is_heard = |number: usize| !is_lost || number < survivors;
        let is_store_away = is_lost && store == Store::Away;
        // The instances that live write their records; those that are first in rank show that they do.
        let alive: Vec<usize> = (0..instances).filter(|&it| !is_dead(it)).collect();
        for &number in &alive {
            // Those that the observer does not hear rank themselves without it, unless they hear it.
            let sees_observer = !is_lost || number < survivors || loss == Loss::CutOneWay;
            let among = alive.iter().filter(|&&it| sees_observer || it >= survivors);
            let rank = among.take_while(|&&it| it != number).count();
            let schedule = &mut writers[number];
            let is_turned_away =
                is_lost && store == Store::TurnsFirstAway && (1..=2).contains(&number);
            if is_store_away || is_turned_away {
                continue;
            }
            if schedule.is_due(now_ms, true, &own) {
                schedule.record_write(now_ms, true, true);
                log[number].heartbeat_seq += 1;
            } else if schedule.is_sign_due(now_ms, rank) {
                schedule.record_sign(now_ms, true);
                log[number].heartbeat_seq += 1;
            }
        }
        if let Some((_, records)) = pending.take_if(|(due_ms, _)| now_ms >= *due_ms) {
            for record in records {
                own.record_heartbeat(now_ms, record);
            }
            own.record_store_read(now_ms);
            reads.next_offset = Some(0);
            reads.record_read(now_ms);
        }
        if pending.is_none() && reads.is_due(now_ms, &own, &writers[0]) {
            let answer_ms = if let Store::Slow(ms) = store {
                ms
            } else {
                STEP_MS
            };
            if is_store_away {
                reads.record_read(now_ms);
            } else {
                own.begin_store_read(now_ms);
                pending = Some((now_ms + answer_ms, log.clone()));
            }
        }
        own.record_self_alive(now_ms, key(0));
        for number in (1..instances).filter(|&it| is_heard(it)) {
            own.record_alive(now_ms, key(number));
        }
        if !is_lost {
            continue;
        }
        let named: Vec<&Member> = own.reachable().collect();
        let is_named = |number: usize| named.iter().any(|it| it.name == member(number, 1).name);
        if (survivors..instances).any(|number| is_dead(number) && is_named(number)) {
            seen.dead_named_ms = now_ms - LOST_AT_MS;
        }
        seen.fewest_named = seen.fewest_named.min(named.len());
    }
    seen
}

/// Guards against callers that are sent to dead instances by the only one that is left, or by two, or by a third of the
/// fleet.
#[test]
fn the_survivors_name_no_dead_instances() {
    for instances in [6, 60, 300] {
        for survivors in [1, 2, 3, instances / 3] {
            for store in [Store::Usual, Store::Slow(200)] {
                let seen = replay(instances, survivors, Loss::Power, store);
                let named_ms = seen.dead_named_ms;
                let case = format!("{survivors} of {instances} alive, {store:?}");
                assert!(named_ms <= MAX_NAMED_MS, "{case}: named for {named_ms} ms");
                assert!(seen.fewest_named >= 1, "{case}");
            }
        }
    }
}

/// Guards against an instance that drops peers which serve callers, because it is cut off from them, or because it can
/// tell nothing while the store is away.
#[test]
fn an_instance_that_is_cut_off_drops_nobody() {
    for instances in [6, 60, 300] {
        for loss in [Loss::Cut, Loss::CutOneWay] {
            for store in [Store::Usual, Store::Slow(200), Store::Away] {
                let seen = replay(instances, 1, loss, store);
                let case = format!("{instances} instances, {loss:?}, {store:?}");
                assert_eq!(seen.fewest_named, instances, "{case}");
            }
        }
    }
}

/// Guards against the only one left dropping others on no evidence: without the store it cannot tell.
#[test]
fn nobody_is_dropped_while_the_store_is_away() {
    let seen = replay(7, 1, Loss::Power, Store::Away);
    assert_eq!(seen.fewest_named, 7);
}

/// Guards against an instance that drops peers which serve callers, because the store turns away those that show that
/// somebody lives.
#[test]
fn peers_whose_signs_of_life_the_store_turns_away_are_not_dropped() {
    let seen = replay(7, 1, Loss::Cut, Store::TurnsFirstAway);
    assert_eq!(seen.fewest_named, 7);
}

/// Guards against callers that are sent to dead instances by one that started after they had died, from the records that
/// they left in the store.
#[test]
fn an_instance_that_starts_alone_names_no_dead_instances() {
    let mut own = Members::default();
    for number in 0..7 {
        own.record_heartbeat(0, member(number, 1));
    }
    for now_ms in (0..MAX_NAMED_MS).step_by(STEP_MS as usize) {
        own.record_self_alive(now_ms, key(0));
        own.begin_store_read(now_ms);
        own.record_store_read(now_ms + STEP_MS);
    }
    assert_eq!(own.reachable().count(), 1);
}

/// Guards against callers that are sent to an instance long after it died, as the last record that it wrote is read only
/// then and taken for a sign of life.
#[test]
fn the_last_record_of_a_dead_instance_is_no_sign_of_life() {
    const DEAD: usize = 1;
    const MAX_SILENT_MS: u64 = 2_000;
    // Between two reads of the records, which are ten seconds apart.
    const DIED_AT_MS: u64 = 25_000;
    for instances in [7, 60] {
        let mut own = Members::default();
        let mut reads = ReadSchedule::default();
        let mut dead_writes = WriteSchedule::new(0);
        let own_writes = WriteSchedule::new(0);
        let mut log: Vec<Member> = (0..instances).map(|number| member(number, 1)).collect();
        for now_ms in (0..DIED_AT_MS + AFTER_MS).step_by(STEP_MS as usize) {
            let is_dead = now_ms >= DIED_AT_MS;
            if !is_dead && dead_writes.is_due(now_ms, true, &own) {
                dead_writes.record_write(now_ms, true, true);
                log[DEAD].heartbeat_seq += 1;
            } else if !is_dead && dead_writes.is_sign_due(now_ms, 0) {
                dead_writes.record_sign(now_ms, true);
                log[DEAD].heartbeat_seq += 1;
            }
            if reads.is_due(now_ms, &own, &own_writes) {
                own.begin_store_read(now_ms);
                for record in &log {
                    own.record_heartbeat(now_ms, record.clone());
                }
                own.record_store_read(now_ms);
                reads.next_offset = Some(0);
                reads.record_read(now_ms);
            }
            own.record_self_alive(now_ms, key(0));
            for number in (1..instances).filter(|&it| it != DEAD || !is_dead) {
                own.record_alive(now_ms, key(number));
            }
            let is_named = own
                .reachable()
                .any(|it| InstanceKey::of(&it.name) == key(DEAD));
            let is_late = now_ms >= DIED_AT_MS + MAX_SILENT_MS;
            assert!(!(is_late && is_named), "{instances}: named at {now_ms}");
        }
    }
}
