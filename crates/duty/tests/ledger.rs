//! Usage counts that are lost, duplicated, or arrive on two paths.

use std::collections::BTreeMap;

use duty::UsageLedger;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use view::{Tally, WorkspaceKey};

const ONE: WorkspaceKey = WorkspaceKey(1);
const OTHER: WorkspaceKey = WorkspaceKey(2);

fn sum(ledger: &UsageLedger, window: u64) -> Vec<(u32, u64)> {
    let sum = ledger.sum(window).unwrap_or_default();
    sum.into_iter().map(|(key, count)| (key.0, count)).collect()
}

/// Guards against a duplicate datagram that counts twice, and an older one that replaces a later
/// one.
#[test]
fn duplicate_tally_counts_once() {
    let (mut from, mut to) = (UsageLedger::new(7), UsageLedger::new(8));
    from.record_start(5, ONE);
    let first = from.to_send();
    from.record_start(5, ONE);
    from.record_start(5, OTHER);
    let second = from.to_send();
    for tally in second.iter().chain(&first).chain(&second) {
        to.receive(5, tally, true);
    }
    assert_eq!(sum(&to, 5), [(1, 2), (2, 1)]);
}

/// Guards against a restarted instance whose new counts replace those of its previous incarnation.
#[test]
fn restarted_instance_adds_to_its_previous_counts() {
    let (mut before, mut after, mut to) = (
        UsageLedger::new(7),
        UsageLedger::new(9),
        UsageLedger::new(8),
    );
    (0..5).for_each(|_| before.record_start(5, ONE));
    (0..2).for_each(|_| after.record_start(5, ONE));
    for tally in before.to_send().iter().chain(&after.to_send()) {
        to.receive(5, tally, true);
    }
    assert_eq!(sum(&to, 5), [(1, 7)]);
}

/// Guards against counts that are lost with a hub: a new hub must get them again.
#[test]
fn counts_are_resent_to_a_new_hub() {
    let mut from = UsageLedger::new(7);
    from.record_start(5, ONE);
    from.record_start(6, ONE);
    while !from.to_send().is_empty() {}
    from.resend_own();
    let mut hub = UsageLedger::new(8);
    from.to_send()
        .iter()
        .for_each(|tally| hub.receive(6, tally, true));
    assert_eq!((sum(&hub, 5), sum(&hub, 6)), (vec![(1, 1)], vec![(1, 1)]));
}

/// Guards against tallies that circulate for ever: those from another hub are not passed on.
#[test]
fn only_reported_tallies_are_passed_on() {
    let tally = Tally {
        incarnation: 1,
        window: 5,
        counts: vec![(ONE, 3)],
    };
    let mut hub = UsageLedger::new(8);
    hub.receive(5, &tally, false);
    assert!(hub.to_send().is_empty());
    hub.receive(
        5,
        &Tally {
            incarnation: 2,
            ..tally
        },
        true,
    );
    assert_eq!(hub.to_send().len(), 1);
}

/// Guards against an instance whose clock has jumped: its distant windows must not evict the
/// others.
#[test]
fn distant_windows_are_ignored() {
    let mut ledger = UsageLedger::new(8);
    ledger.record_start(100, ONE);
    for window in [0, 50, 102, 5_000, u64::MAX] {
        let counts = vec![(ONE, 1)];
        let tally = Tally {
            incarnation: 1,
            window,
            counts,
        };
        ledger.receive(100, &tally, true);
    }
    assert_eq!(sum(&ledger, 100), [(1, 1)]);
    assert!(ledger.sum(5_000).is_none());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20),
        ..ProptestConfig::with_cases(1_000)
    })]

    /// All counts are right once each instance has sent its last tally, whatever was lost,
    /// duplicated or reordered before.
    #[test]
    fn every_start_is_counted_in_the_end(
        steps in prop::collection::vec((0_usize..4, 0_u32..3, 0_u8..3), 0..200)
    ) {
        let mut all: Vec<UsageLedger> = (1..=4).map(UsageLedger::new).collect();
        let mut leader = UsageLedger::new(99);
        let mut expected: BTreeMap<u32, u64> = BTreeMap::new();
        let mut delayed: Vec<Tally> = Vec::new();
        for (index, workspace, delivery) in steps {
            all[index].record_start(7, WorkspaceKey(workspace));
            *expected.entry(workspace).or_default() += 1;
            let tallies = all[index].to_send();
            match delivery {
                0 => {}
                1 => tallies.iter().for_each(|tally| leader.receive(7, tally, true)),
                _ => delayed.extend(tallies),
            }
        }
        delayed.iter().rev().for_each(|tally| leader.receive(7, tally, true));
        for ledger in &mut all {
            ledger.resend_own();
            ledger.to_send().iter().for_each(|tally| leader.receive(7, tally, true));
        }
        prop_assert_eq!(sum(&leader, 7), expected.into_iter().collect::<Vec<_>>());
    }
}
