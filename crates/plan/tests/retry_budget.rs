//! The bound on repeats as whoever counts arrivals sees it: in windows that slide, and some time after they were allowed.

use plan::{BudgetShare, FleetRetryBudget, RetryBudgetSettings};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const TERMS: RetryBudgetSettings = RetryBudgetSettings {
    ratio: 0.2,
    window_ms: 10_000,
    slack: 50.0,
};

/// One instance that has the whole allowance.
const ALONE: BudgetShare = BudgetShare {
    instances: 1,
    age_ms: TERMS.window_ms,
};

/// Longest time from leave to send a repeat to its arrival in these tests, in ms: opening a connection.
const LAG_MS: u64 = 350;

/// What one instance sent, by the time of each.
#[derive(Debug, Default)]
struct Sent {
    first: Vec<u64>,
    again: Vec<u64>,
}

impl Sent {
    fn within(times: &[u64], from_ms: i64, to_ms: i64) -> f64 {
        let is_in = |&&at_ms: &&u64| (from_ms..to_ms).contains(&at_ms.cast_signed());
        times.iter().filter(is_in).count() as f64
    }

    /// Most that a window has beyond what is allowed in it: by the requests of that window, of the one before
    /// or of the one that lies half a window earlier.
    fn most_beyond(&self) -> f64 {
        let window_ms = TERMS.window_ms.cast_signed();
        let beyond = |&start_ms: &u64| {
            let start_ms = start_ms.cast_signed();
            let first = [0, window_ms / 2, window_ms].map(|earlier_ms| {
                let from_ms = start_ms - earlier_ms;
                Self::within(&self.first, from_ms, from_ms + window_ms)
            });
            let first = first.into_iter().fold(0.0, f64::max);
            let again = Self::within(&self.again, start_ms, start_ms + window_ms);
            again - TERMS.ratio * first - TERMS.slack
        };
        self.again.iter().map(beyond).fold(f64::MIN, f64::max)
    }
}

/// Guards against an allowance that is there twice in a window, as its first use is forgotten early.
#[test]
fn a_burst_of_repeats_is_remembered_for_a_whole_window() {
    let mut repeats = FleetRetryBudget::default();
    let mut sent = Sent::default();
    for now_ms in [999, 10_000] {
        while repeats.try_retry(now_ms, &TERMS, &ALONE) {
            sent.again.push(now_ms);
        }
    }
    assert!(sent.most_beyond() <= 0.0, "{} too many", sent.most_beyond());
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20),
        ..ProptestConfig::with_cases(1_000)
    })]

    /// Guards against more repeats than allowed in any window, whatever comes in bursts and however late
    /// each repeat arrives.
    #[test]
    fn no_window_has_more_than_allowed(
        bursts in prop::collection::vec((0_u64..3_000, 0_usize..60, 0_usize..60, 0..LAG_MS), 1..40),
    ) {
        let mut repeats = FleetRetryBudget::default();
        let mut sent = Sent::default();
        let mut now_ms = 0;
        for (gap_ms, first, again, lag_ms) in bursts {
            now_ms += gap_ms;
            for _ in 0..first {
                repeats.record_first_send(now_ms, &TERMS);
                sent.first.push(now_ms);
            }
            for _ in 0..again {
                if repeats.try_retry(now_ms, &TERMS, &ALONE) {
                    sent.again.push(now_ms + lag_ms);
                }
            }
        }
        prop_assert!(sent.most_beyond() <= 0.0, "{} too many", sent.most_beyond());
    }
}
