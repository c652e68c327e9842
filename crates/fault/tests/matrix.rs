//! Runs of the fault matrix: single faults, pairs of faults, and disabled safeguards.

use fault::{Cell, DisabledSafeguard, Fault, Injection, Step, cells, run, skip_reason};
use proptest::prelude::*;

const SEEDS: [u64; 2] = [1, 2];

/// Number of calls admitted before the second roll.
const BEFORE_SECOND_ROLL: u32 = 39;

fn injection(cell: Cell, occurrence: u32) -> Injection {
    Injection { cell, occurrence }
}

#[test]
fn without_faults_everything_settles() {
    let outcome = run(&[], DisabledSafeguard::None, 1);
    assert_eq!(outcome.violations, []);
    assert!(
        outcome.orders_received > 10,
        "{} orders",
        outcome.orders_received
    );
    assert!(outcome.calls_run > 100, "{} calls", outcome.calls_run);
}

#[test]
fn a_stale_peer_does_not_bring_an_old_bundle_back() {
    // An instance is cut off while version 2 is rolled, and returns while the log is down. The
    // others then catch up from peers, this one included. If they installed every snapshot from a
    // peer, version 1 would be in force again.
    let outcome = run(&stale_peer(), DisabledSafeguard::None, SEEDS[0]);
    assert!(outcome.reached);
    assert_eq!(outcome.violations, []);
}

#[test]
fn every_fault_at_every_step_keeps_the_invariants() {
    let (mut ran, mut skipped, mut unreached) = (0, 0, Vec::new());
    let mut failures = Vec::new();
    for cell in cells() {
        if skip_reason(cell).is_some() {
            skipped += 1;
            continue;
        }
        for occurrence in [0, 3] {
            for seed in SEEDS {
                let outcome = run(
                    &[injection(cell, occurrence)],
                    DisabledSafeguard::None,
                    seed,
                );
                ran += 1;
                if !outcome.reached && occurrence == 0 {
                    unreached.push(cell.to_string());
                }
                for violation in outcome.violations {
                    failures.push(format!(
                        "{cell} (occurrence {occurrence}, seed {seed}): {violation}"
                    ));
                }
            }
        }
    }
    println!(
        "matrix: {ran} runs, {skipped} cells skipped, {} violations",
        failures.len()
    );
    assert!(
        failures.is_empty(),
        "{} violations:\n{}",
        failures.len(),
        failures[..failures.len().min(20)].join("\n")
    );
    assert!(unreached.is_empty(), "steps never reached: {unreached:?}");
}

/// Faults that leave one instance behind by a bundle and make the others catch up from it.
fn stale_peer() -> [Injection; 2] {
    let cut = Cell {
        fault: Fault::CutOff,
        step: Step::AdmitCall,
    };
    let down = Cell {
        fault: Fault::LogDown,
        step: Step::Publish,
    };
    // This call is admitted shortly before the second roll, by another instance than the one that
    // the operator uses. The third publication happens while that instance is cut off.
    [injection(cut, BEFORE_SECOND_ROLL), injection(down, 2)]
}

/// Disables a safeguard and returns the first faults whose run violates an expected invariant.
fn first_detection(disabled: DisabledSafeguard) -> Option<String> {
    let singles = cells().filter(|cell| skip_reason(*cell).is_none());
    let singles = singles.map(|cell| vec![injection(cell, 0)]);
    let all = std::iter::once(stale_peer().to_vec()).chain(singles);
    for injections in all {
        let outcome = run(&injections, disabled, SEEDS[0]);
        let expected = disabled.expected();
        let found = outcome
            .violations
            .iter()
            .find(|each| expected.contains(&each.invariant));
        if let Some(found) = found {
            let names: Vec<String> = injections
                .iter()
                .map(|each| each.cell.to_string())
                .collect();
            return Some(format!("{}: {found}", names.join(", ")));
        }
    }
    None
}

#[test]
fn each_disabled_safeguard_is_detected() {
    // Guards against a matrix that cannot fail: with any one safeguard disabled, it must report a
    // violation of an invariant that the safeguard protects.
    for disabled in DisabledSafeguard::ALL {
        let found = first_detection(disabled);
        println!("{disabled}: {}", found.as_deref().unwrap_or("not caught"));
        assert!(found.is_some(), "{disabled} is not caught");
    }
}

fn any_cell() -> impl Strategy<Value = Injection> {
    let fault = proptest::sample::select(Fault::ALL.to_vec());
    let step = proptest::sample::select(Step::ALL.to_vec());
    (fault, step, 0..4_u32)
        .prop_map(|(fault, step, occurrence)| injection(Cell { fault, step }, occurrence))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20),
        ..ProptestConfig::default()
    })]

    #[test]
    fn pairs_of_faults_keep_the_invariants(one in any_cell(), two in any_cell(), seed in 0..1_000_u64) {
        let outcome = run(&[one, two], DisabledSafeguard::None, seed);
        prop_assert_eq!(outcome.violations, vec![]);
    }
}
