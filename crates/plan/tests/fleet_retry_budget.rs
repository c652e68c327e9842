//! The limit on retries to a service as its upstreams count it: over all instances together, whichever of them callers
//! are at, and by the time at which a retry arrives.

use plan::{BudgetShare, FleetRetryBudget, RetryBudgetSettings};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SETTINGS: RetryBudgetSettings = RetryBudgetSettings {
    ratio: 0.2,
    window_ms: 10_000,
    slack: 54.0,
};

/// Time between two looks at the instances, in ms.
const STEP_MS: u64 = 100;

/// Longest time for which an instance holds requests that it would retry, in ms.
const HELD_MS: u64 = 8_000;

/// Longest time from the decision to retry to the arrival at an upstream that is silent and goes on, in ms.
const MAX_LAG_MS: u64 = 2_500;

/// First sends and retries of all instances, in steps of time.
#[derive(Debug, Default)]
struct Arrivals {
    first_sends: Vec<u64>,
    retries: Vec<u64>,
}

impl Arrivals {
    fn add(counts: &mut Vec<u64>, at_ms: u64, count: u64) {
        let step = (at_ms / STEP_MS) as usize;
        if counts.len() <= step {
            counts.resize(step + 1, 0);
        }
        counts[step] += count;
    }

    fn sum(counts: &[u64], from: i64, to: i64) -> f64 {
        let end = usize::try_from(to).unwrap_or(0).min(counts.len());
        let start = usize::try_from(from).unwrap_or(0).min(end);
        counts[start..end].iter().sum::<u64>() as f64
    }

    /// Largest share of the limit that any window used; over 1 if one exceeded it.
    fn max_use(&self) -> f64 {
        let window = (SETTINGS.window_ms / STEP_MS).cast_signed();
        let used = |start: i64| {
            let first_sends = [0, window / 2, window]
                .map(|earlier| start - earlier)
                .map(|from| Self::sum(&self.first_sends, from, from + window))
                .into_iter()
                .fold(0.0, f64::max);
            let limit = SETTINGS.ratio * first_sends + SETTINGS.slack;
            Self::sum(&self.retries, start, start + window) / limit
        };
        (0..self.retries.len().cast_signed() as i64)
            .map(used)
            .fold(0.0, f64::max)
    }
}

/// A fleet whose instances retry all that they may.
struct Fleet {
    budgets: Vec<FleetRetryBudget>,
    /// When an instance last got a request.
    last_first_ms: Vec<Option<u64>>,
    /// First sends due at each instance, in fractions.
    due: Vec<f64>,
    arrivals: Arrivals,
    now_ms: u64,
}

impl Fleet {
    fn new(instances: usize) -> Self {
        Self {
            budgets: vec![FleetRetryBudget::default(); instances],
            last_first_ms: vec![None; instances],
            due: vec![0.0; instances],
            arrivals: Arrivals::default(),
            now_ms: 0,
        }
    }

    /// Plays a time in which callers send `per_s` requests, spread over those instances that `has_callers` names, and
    /// each retry arrives `lag_ms` after its decision.
    fn play(
        &mut self,
        for_ms: u64,
        per_s: f64,
        lag_ms: impl Fn(u64) -> u64,
        has_callers: impl Fn(usize) -> bool,
        is_retrying: bool,
    ) {
        let count = self.budgets.len();
        let busy: Vec<bool> = (0..count).map(has_callers).collect();
        let per_instance = per_s / busy.iter().filter(|&&busy| busy).count().max(1) as f64;
        let share = BudgetShare {
            instances: count,
            age_ms: SETTINGS.window_ms,
        };
        let until_ms = self.now_ms + for_ms;
        while self.now_ms < until_ms {
            let now_ms = self.now_ms;
            for (at, &is_busy) in busy.iter().enumerate() {
                if is_busy {
                    self.due[at] += per_instance * STEP_MS as f64 / 1_000.0;
                }
                while self.due[at] >= 1.0 {
                    self.due[at] -= 1.0;
                    self.budgets[at].record_first_send(now_ms, &SETTINGS);
                    self.last_first_ms[at] = Some(now_ms);
                    Arrivals::add(&mut self.arrivals.first_sends, now_ms, 1);
                }
                let holds = self.last_first_ms[at].is_some_and(|last| now_ms < last + HELD_MS);
                while is_retrying && holds && self.budgets[at].try_retry(now_ms, &SETTINGS, &share)
                {
                    Arrivals::add(&mut self.arrivals.retries, now_ms + lag_ms(now_ms), 1);
                }
            }
            self.now_ms += STEP_MS;
        }
    }
}

fn at_once(_: u64) -> u64 {
    0
}

/// Fleet sizes, and requests a second to the service.
const FLEETS: [(usize, f64); 6] = [
    (2, 146.0),
    (7, 146.0),
    (7, 300.0),
    (60, 1_000.0),
    (100, 60.0),
    (295, 1_360.0),
];

/// Guards against retries beyond the limit of all instances when callers leave some of them for the others, and both
/// count the same callers' requests.
#[test]
fn callers_that_move_do_not_raise_the_limit_of_all_instances() {
    let mut over = Vec::new();
    for (instances, per_s) in FLEETS {
        for (period_ms, calm_ms) in [(5_000, 0), (5_000, 5_000), (10_000, 0), (15_000, 0)] {
            let mut fleet = Fleet::new(instances);
            fleet.play(20_000, per_s, at_once, |_| true, false);
            for round in 0..6 {
                let has_callers = |at| round % 3 == 2 || at % 2 == round % 3;
                fleet.play(calm_ms, per_s, at_once, has_callers, false);
                fleet.play(period_ms, per_s, at_once, has_callers, true);
            }
            let used = fleet.arrivals.max_use();
            if used > 1.0 {
                over.push(format!("{used:.2}: {instances} instances, {per_s} a second, {period_ms} ms after {calm_ms} ms"));
            }
        }
    }
    assert!(over.is_empty(), "uses of the limit: {over:#?}");
}

/// Guards against retries beyond the limit when a silent upstream goes on: those sent to it before arrive together
/// with later ones.
#[test]
fn retries_that_arrive_together_after_a_silence_stay_within_the_limit() {
    for (instances, per_s) in FLEETS {
        let mut fleet = Fleet::new(instances);
        fleet.play(20_000, per_s, at_once, |_| true, false);
        let silent_ms = 30_000..30_000 + MAX_LAG_MS;
        let lag_ms = |now_ms: u64| {
            let is_silent = silent_ms.contains(&now_ms);
            if is_silent { silent_ms.end - now_ms } else { 0 }
        };
        fleet.play(40_000, per_s, lag_ms, |_| true, true);
        let used = fleet.arrivals.max_use();
        assert!(used <= 1.0, "{used:.2} of the limit, {instances} instances");
    }
}

/// Guards against a limit so careful that a steady fleet cannot retry: two thirds of it are used within each window.
#[test]
fn a_steady_fleet_uses_most_of_the_limit() {
    for (instances, per_s) in [(2, 146.0), (7, 300.0), (60, 3_000.0)] {
        let mut fleet = Fleet::new(instances);
        fleet.play(20_000, per_s, at_once, |_| true, false);
        fleet.play(30_000, per_s, at_once, |_| true, true);
        let used = fleet.arrivals.max_use();
        assert!(
            used >= 2.0 / 3.0,
            "{used:.2} of the limit, {instances} instances"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(65),
        ..ProptestConfig::with_cases(60)
    })]

    /// Guards against any order of moves, rushes and lulls that exceeds the limit of all instances.
    #[test]
    fn no_moves_of_callers_exceed_the_limit_of_all_instances(
        instances in 2_usize..40,
        phases in prop::collection::vec(
            (200_u64..12_000, 0.0..600.0, any::<u64>(), any::<bool>(), 0..MAX_LAG_MS),
            4..14,
        ),
    ) {
        let mut fleet = Fleet::new(instances);
        for (for_ms, per_s, chosen, is_retrying, lag_ms) in phases {
            let has_callers = |at: usize| chosen >> (at % 64) & 1 == 1;
            fleet.play(for_ms, per_s, |_| lag_ms, has_callers, is_retrying);
        }
        let used = fleet.arrivals.max_use();
        prop_assert!(used <= 1.0, "{used:.2} of the limit");
    }
}
