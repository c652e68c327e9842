//! What ran for whom: counts that are lost, come twice, or come by two ways.

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

/// Guards against a datagram that comes twice and counts twice, and against an older one that comes late.
#[test]
fn a_tally_counts_once_however_often_it_is_told() {
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

/// Guards against what a restarted instance had told before its end: its new life counts anew and must not replace it.
#[test]
fn a_new_life_adds_to_what_the_one_before_had_told() {
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

/// Guards against three datagrams in a row that are lost with the hub: who reports to a new one tells it all again.
#[test]
fn a_new_hub_is_told_what_the_old_one_knew() {
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

/// Guards against tallies that go round for ever: what another hub has told goes no further.
#[test]
fn only_what_was_reported_here_goes_on() {
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

/// Guards against an instance whose clock has jumped: its windows are far off and must not push the others out.
#[test]
fn windows_far_off_are_passed_over() {
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

    /// Whatever is lost, doubled or overtaken: once each instance has told its last tally, all counts are right.
    #[test]
    fn all_that_began_is_counted_in_the_end(
        steps in prop::collection::vec((0_usize..4, 0_u32..3, 0_u8..3), 0..200)
    ) {
        let mut all: Vec<UsageLedger> = (0..4).map(|life| UsageLedger::new(life + 1)).collect();
        let mut keeper = UsageLedger::new(99);
        let mut truth: BTreeMap<u32, u64> = BTreeMap::new();
        let mut late: Vec<Tally> = Vec::new();
        for (who, workspace, fate) in steps {
            all[who].record_start(7, WorkspaceKey(workspace));
            *truth.entry(workspace).or_default() += 1;
            let told = all[who].to_send();
            match fate {
                0 => {}
                1 => told.iter().for_each(|tally| keeper.receive(7, tally, true)),
                _ => late.extend(told),
            }
        }
        late.iter().rev().for_each(|tally| keeper.receive(7, tally, true));
        for ledger in &mut all {
            ledger.resend_own();
            ledger.to_send().iter().for_each(|tally| keeper.receive(7, tally, true));
        }
        prop_assert_eq!(sum(&keeper, 7), truth.into_iter().collect::<Vec<_>>());
    }
}
