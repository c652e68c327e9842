//! The limit on retries as an upstream counts it: in sliding windows of arrivals, which follow the
//! decision to retry with a delay.

use plan::{BudgetShare, FleetRetryBudget, RetryBudgetSettings};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SETTINGS: RetryBudgetSettings = RetryBudgetSettings {
    ratio: 0.2,
    window_ms: 10_000,
    slack: 50.0,
};

/// A single instance, which has the whole allowance.
const ALONE: BudgetShare = BudgetShare {
    instances: 1,
    age_ms: SETTINGS.window_ms,
};

/// Longest time from the decision to retry to the arrival at the upstream, in ms: the time to open
/// a connection.
const MAX_LAG_MS: u64 = 350;

/// Times of what one instance sent.
#[derive(Debug, Default)]
struct Sent {
    first_sends: Vec<u64>,
    retries: Vec<u64>,
}

impl Sent {
    fn within(times: &[u64], from_ms: i64, to_ms: i64) -> f64 {
        let is_in = |&&at_ms: &&u64| (from_ms..to_ms).contains(&at_ms.cast_signed());
        times.iter().filter(is_in).count() as f64
    }

    /// Largest excess of any window over the retries allowed in it, which depend on the first sends
    /// of that window, of the preceding one or of the one that lies half a window earlier.
    fn max_excess(&self) -> f64 {
        let window_ms = SETTINGS.window_ms.cast_signed();
        let excess = |&start_ms: &u64| {
            let start_ms = start_ms.cast_signed();
            let first_sends = [0, window_ms / 2, window_ms].map(|earlier_ms| {
                let from_ms = start_ms - earlier_ms;
                Self::within(&self.first_sends, from_ms, from_ms + window_ms)
            });
            let first_sends = first_sends.into_iter().fold(0.0, f64::max);
            let retries = Self::within(&self.retries, start_ms, start_ms + window_ms);
            retries - SETTINGS.ratio * first_sends - SETTINGS.slack
        };
        self.retries.iter().map(excess).fold(f64::MIN, f64::max)
    }
}

/// Guards against an allowance that can be used twice in a window because its first use is dropped
/// before the window has passed.
#[test]
fn a_burst_of_retries_counts_for_a_whole_window() {
    let mut budget = FleetRetryBudget::default();
    let mut sent = Sent::default();
    for now_ms in [999, 10_000] {
        while budget.try_retry(now_ms, &SETTINGS, &ALONE) {
            sent.retries.push(now_ms);
        }
    }
    assert!(sent.max_excess() <= 0.0, "{} too many", sent.max_excess());
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20),
        ..ProptestConfig::with_cases(1_000)
    })]

    /// Guards against more retries than allowed in any window, whatever the bursts are and however
    /// late each retry arrives.
    #[test]
    fn no_window_has_more_retries_than_allowed(
        bursts in prop::collection::vec(
            (0_u64..3_000, 0_usize..60, 0_usize..60, 0..MAX_LAG_MS),
            1..40,
        ),
    ) {
        let mut budget = FleetRetryBudget::default();
        let mut sent = Sent::default();
        let mut now_ms = 0;
        for (gap_ms, first_sends, retries, lag_ms) in bursts {
            now_ms += gap_ms;
            for _ in 0..first_sends {
                budget.record_first_send(now_ms, &SETTINGS);
                sent.first_sends.push(now_ms);
            }
            for _ in 0..retries {
                if budget.try_retry(now_ms, &SETTINGS, &ALONE) {
                    sent.retries.push(now_ms + lag_ms);
                }
            }
        }
        prop_assert!(sent.max_excess() <= 0.0, "{} too many", sent.max_excess());
    }
}
