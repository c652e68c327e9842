//! How the role split of a fleet follows the mix of requests: lasting, fluctuating and reversed
//! mixes, and engines that are withdrawn.

use plan::{
    Demand, MovingRate, PeakDemand, RoleSplit, SplitChange, SplitGoal, SplitPlanner,
    max_changes_at_once, wanted_prefill_engines,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Interval of checks, in ms.
const CHECK_MS: u64 = 250;

/// Duration of a role change, in ms.
const CHANGE_MS: u64 = 5_000;

/// A simulated fleet whose engines change their roles as the planner orders.
struct Fleet {
    planner: SplitPlanner,
    peak: PeakDemand,
    split: RoleSplit,
    /// Times at which the changes in progress end.
    change_ends_ms: Vec<u64>,
    /// Every change ordered so far.
    changes: Vec<(u64, SplitChange)>,
}

impl Fleet {
    fn new(prefill: usize, decode: usize) -> Self {
        Self {
            planner: SplitPlanner::default(),
            peak: PeakDemand::default(),
            split: RoleSplit {
                prefill,
                decode,
                changing: 0,
            },
            change_ends_ms: Vec::new(),
            changes: Vec::new(),
        }
    }

    fn check(&mut self, now_ms: u64, demand: &Demand) {
        self.change_ends_ms.retain(|at_ms| *at_ms > now_ms);
        self.split.changing = self.change_ends_ms.len();
        let demand = self.peak.record(now_ms, demand);
        let Some(change) = self.planner.next_change(now_ms, &demand, &self.split) else {
            return;
        };
        self.planner.record_order(now_ms, change);
        match change {
            SplitChange::ToPrefill => {
                self.split.decode -= 1;
                self.split.prefill += 1;
            }
            SplitChange::ToDecode => {
                self.split.prefill -= 1;
                self.split.decode += 1;
            }
        }
        self.change_ends_ms.push(now_ms + CHANGE_MS);
        self.changes.push((now_ms, change));
    }

    fn run(&mut self, from_ms: u64, to_ms: u64, demand: impl Fn(u64) -> Demand) {
        for now_ms in (from_ms..to_ms).step_by(CHECK_MS as usize) {
            self.check(now_ms, &demand(now_ms));
        }
    }
}

fn demand(prefill: f64, decode: f64) -> Demand {
    Demand { prefill, decode }
}

/// A third of 18 engines prefill, and for a minute the mix needs half of them. The split must fit
/// within 15 s and then stay.
#[test]
fn a_wrong_initial_split_is_corrected_once() {
    let mut fleet = Fleet::new(6, 12);
    fleet.run(1_500, 60_000, |_| demand(7.0, 3.0));
    assert!((9..=11).contains(&fleet.split.prefill), "{:?}", fleet.split);
    assert!(
        fleet
            .changes
            .iter()
            .all(|(at_ms, change)| *at_ms < 15_000 && *change == SplitChange::ToPrefill)
    );
    assert!(fleet.changes.len() <= 5, "{:?}", fleet.changes);
}

/// The mix alternates every 3 s between long prompts and long answers. A role change takes longer
/// than that, so the split must fit the bursts of prompts and not follow the alternation.
#[test]
fn an_alternating_mix_does_not_move_engines_back_and_forth() {
    let mut fleet = Fleet::new(6, 12);
    fleet.run(1_500, 120_000, |now_ms| {
        if now_ms / 3_000 % 2 == 0 {
            demand(7.0, 2.0)
        } else {
            demand(3.0, 4.0)
        }
    });
    assert!(fleet.changes.len() <= 6, "{:?}", fleet.changes);
    assert!(
        fleet
            .changes
            .iter()
            .all(|(_, change)| *change == SplitChange::ToPrefill),
        "{:?}",
        fleet.changes
    );
}

/// Prompts are long for a minute, then answers are long for two minutes. The engines must follow,
/// one after the other, but not within the first two seconds.
#[test]
fn a_lasting_reversal_of_the_mix_is_followed() {
    let mut fleet = Fleet::new(9, 9);
    fleet.run(1_500, 60_000, |_| demand(6.5, 2.0));
    let before = fleet.split.prefill;
    fleet.run(60_000, 180_000, |_| demand(1.0, 6.0));
    assert!(
        fleet.split.prefill + 3 <= before,
        "{before} {:?}",
        fleet.split
    );
    let first_to_decode = fleet
        .changes
        .iter()
        .find(|(_, change)| *change == SplitChange::ToDecode);
    assert!(
        first_to_decode.is_some_and(|(at_ms, _)| *at_ms > 62_000),
        "{:?}",
        fleet.changes
    );
}

/// Two of four decode engines are withdrawn from a fleet of nine while the demand for prefill is
/// high. A prefill engine must become a decode engine, since all streams would otherwise depend on
/// the two that are left.
#[test]
fn output_keeps_its_share_when_engines_are_withdrawn() {
    let mut fleet = Fleet::new(5, 2);
    fleet.run(30_000, 40_000, |_| demand(4.7, 0.5));
    assert_eq!(
        fleet.changes.first().map(|(_, change)| *change),
        Some(SplitChange::ToDecode)
    );
    assert_eq!(fleet.split.decode, 3);
}

/// With little demand no request waits, so no engine must change however uneven the split is.
#[test]
fn no_engine_changes_while_demand_is_low() {
    let mut fleet = Fleet::new(6, 12);
    fleet.run(1_500, 60_000, |_| demand(2.0, 0.2));
    assert!(fleet.changes.is_empty(), "{:?}", fleet.changes);
}

/// Requests started to arrive 2 s ago. The rate must be that of these two seconds and not count the
/// minute before as idle.
#[test]
fn a_rate_is_correct_within_its_first_seconds() {
    let mut rate = MovingRate::default();
    for at_ms in (60_000..62_000).step_by(10) {
        rate.add(at_ms, 5.0);
    }
    assert!((rate.per_ms(62_000) - 0.5).abs() < 0.05, "{rate:?}");
    assert!(rate.per_ms(90_000) < 0.01, "{rate:?}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20),
        ..ProptestConfig::with_cases(1_000)
    })]

    /// Whatever the demand is, each role keeps an engine, at most a sixth of the engines (but at
    /// least one) are changing at the same time, and a change is reversed after 10 s at the
    /// earliest.
    #[test]
    fn changes_are_limited_whatever_the_demand_is(
        engines in 3_usize..40,
        share in 0.1_f64..0.6,
        demands in prop::collection::vec((0.0_f64..30.0, 0.0_f64..30.0), 1..80),
    ) {
        let prefill_engines = ((engines as f64 * share) as usize).clamp(1, engines - 1);
        let mut fleet = Fleet::new(prefill_engines, engines - prefill_engines);
        for (second, (prefill, decode)) in demands.into_iter().enumerate() {
            let from_ms = 1_500 + second as u64 * 1_000;
            fleet.run(from_ms, from_ms + 1_000, |_| demand(prefill, decode));
            prop_assert!(fleet.split.prefill >= 1 && fleet.split.decode >= 1);
            let changing = fleet.change_ends_ms.len();
            prop_assert!(changing <= (engines / 6).max(1), "{:?}", fleet.change_ends_ms);
        }
        for pair in fleet.changes.windows(2) {
            prop_assert!(pair[0].1 == pair[1].1 || pair[1].0 >= pair[0].0 + 10_000, "{pair:?}");
        }
    }

    /// A higher demand for prefill never needs fewer prefill engines.
    #[test]
    fn more_prefill_demand_needs_no_fewer_prefill_engines(
        engines in 2_usize..200,
        prefill in 0.0_f64..100.0,
        more in 0.0_f64..50.0,
        decode in 0.0_f64..100.0,
    ) {
        let fewer = wanted_prefill_engines(&demand(prefill, decode), engines);
        prop_assert!(wanted_prefill_engines(&demand(prefill + more, decode), engines) >= fewer);
    }
}

/// Prefill engines of 89 once a planner wants no more of them, at this demand.
fn settled_prefill_engines(goal: SplitGoal, demand: &Demand) -> usize {
    let mut planner = SplitPlanner::default();
    planner.set_goal(goal);
    let mut split = RoleSplit {
        prefill: 26,
        decode: 63,
        changing: 0,
    };
    for check in 0..400 {
        let now_ms = check * 250;
        let Some(change) = planner.next_change(now_ms, demand, &split) else {
            continue;
        };
        let count = max_changes_at_once(change, demand, &split, goal);
        planner.record_order(now_ms, change);
        match change {
            SplitChange::ToPrefill => {
                split.prefill += count;
                split.decode -= count;
            }
            SplitChange::ToDecode => {
                split.prefill -= count;
                split.decode += count;
            }
        }
    }
    split.prefill
}

/// Guards against a rush of long prompts that leaves too few decode engines for the burst of short ones after it:
/// engines that neither role needs decode, which they can do besides prefilling.
#[test]
fn spare_engines_decode_where_the_fast_ones_prefill() {
    let rush = demand(28.2, 11.7);
    let balanced = settled_prefill_engines(SplitGoal::LeastPressure, &rush);
    let spared = settled_prefill_engines(SplitGoal::SpareDecodes, &rush);
    assert!(28.2 / spared as f64 <= 0.66, "{spared} prefill");
    let decode_in_burst = |prefill: usize| 30.0 / (89 - prefill) as f64;
    assert!(decode_in_burst(balanced) > 0.9, "{balanced} prefill");
    assert!(decode_in_burst(spared) < 0.7, "{spared} prefill");
    // With too much to do for all engines, nothing is spare.
    let overload = demand(60.0, 50.0);
    assert_eq!(
        settled_prefill_engines(SplitGoal::SpareDecodes, &overload),
        settled_prefill_engines(SplitGoal::LeastPressure, &overload)
    );
}
