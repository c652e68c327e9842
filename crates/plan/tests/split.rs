//! Mixes that swing, stand and fail, and the split of engines that answers them.

use plan::{
    Demand, MovingRate, PeakDemand, RoleSplit, SplitChange, SplitPlanner, wanted_prefill_engines,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Time between two looks, in ms.
const LOOK_MS: u64 = 250;

/// Time for which a change takes an engine away, in ms.
const AWAY_MS: u64 = 5_000;

/// A fleet whose engines change as the plan says.
struct Fleet {
    plan: SplitPlanner,
    peak: PeakDemand,
    split: RoleSplit,
    back_ms: Vec<u64>,
    turns: Vec<(u64, SplitChange)>,
}

impl Fleet {
    fn new(readers: usize, makers: usize) -> Self {
        Self {
            plan: SplitPlanner::default(),
            peak: PeakDemand::default(),
            split: RoleSplit {
                prefill: readers,
                decode: makers,
                changing: 0,
            },
            back_ms: Vec::new(),
            turns: Vec::new(),
        }
    }

    fn look(&mut self, now_ms: u64, demand: &Demand) {
        self.back_ms.retain(|at_ms| *at_ms > now_ms);
        self.split.changing = self.back_ms.len();
        let demand = self.peak.record(now_ms, demand);
        let Some(turn) = self.plan.next_change(now_ms, &demand, &self.split) else {
            return;
        };
        self.plan.record_order(now_ms, turn);
        match turn {
            SplitChange::ToPrefill => {
                self.split.decode -= 1;
                self.split.prefill += 1;
            }
            SplitChange::ToDecode => {
                self.split.prefill -= 1;
                self.split.decode += 1;
            }
        }
        self.back_ms.push(now_ms + AWAY_MS);
        self.turns.push((now_ms, turn));
    }

    fn play(&mut self, from_ms: u64, to_ms: u64, demand: impl Fn(u64) -> Demand) {
        for now_ms in (from_ms..to_ms).step_by(LOOK_MS as usize) {
            self.look(now_ms, &demand(now_ms));
        }
    }
}

fn demand(reading: f64, making: f64) -> Demand {
    Demand {
        prefill: reading,
        decode: making,
    }
}

/// A third of eighteen engines read and the mix asks for half of them, from the first second and for
/// a minute. Within fifteen seconds the split fits, and then it stays.
#[test]
fn a_split_that_is_wrong_from_the_start_is_mended_once() {
    let mut fleet = Fleet::new(6, 12);
    fleet.play(1_500, 60_000, |_| demand(7.0, 3.0));
    assert!((9..=11).contains(&fleet.split.prefill), "{:?}", fleet.split);
    assert!(
        fleet
            .turns
            .iter()
            .all(|(at_ms, turn)| *at_ms < 15_000 && *turn == SplitChange::ToPrefill)
    );
    assert!(fleet.turns.len() <= 5, "{:?}", fleet.turns);
}

/// The mix swings every 3 s between long prompts and long answers. Changes that followed it would take
/// as long as a swing; the split is made for the rushes and does not move to and fro.
#[test]
fn a_mix_that_swings_moves_no_engine_to_and_fro() {
    let mut fleet = Fleet::new(6, 12);
    fleet.play(1_500, 120_000, |now_ms| {
        if now_ms / 3_000 % 2 == 0 {
            demand(7.0, 2.0)
        } else {
            demand(3.0, 4.0)
        }
    });
    assert!(fleet.turns.len() <= 6, "{:?}", fleet.turns);
    assert!(
        fleet
            .turns
            .iter()
            .all(|(_, turn)| *turn == SplitChange::ToPrefill),
        "{:?}",
        fleet.turns
    );
}

/// For a minute prompts are long, then for two minutes answers are. The engines follow, one after the
/// other, and not upon the first seconds.
#[test]
fn a_mix_that_turns_over_is_followed() {
    let mut fleet = Fleet::new(9, 9);
    fleet.play(1_500, 60_000, |_| demand(6.5, 2.0));
    let readers = fleet.split.prefill;
    fleet.play(60_000, 180_000, |_| demand(1.0, 6.0));
    assert!(
        fleet.split.prefill + 3 <= readers,
        "{readers} {:?}",
        fleet.split
    );
    let back = fleet
        .turns
        .iter()
        .find(|(_, turn)| *turn == SplitChange::ToDecode);
    assert!(
        back.is_some_and(|(at_ms, _)| *at_ms > 62_000),
        "{:?}",
        fleet.turns
    );
}

/// Two of four engines for output are withdrawn at once from a fleet of nine, and prompts still press.
/// One that reads is turned back, since the streams of all would hang on the two that are left.
#[test]
fn output_keeps_its_share_when_engines_are_withdrawn() {
    let mut fleet = Fleet::new(5, 2);
    fleet.play(30_000, 40_000, |_| demand(4.7, 0.5));
    assert_eq!(
        fleet.turns.first().map(|(_, turn)| *turn),
        Some(SplitChange::ToDecode)
    );
    assert_eq!(fleet.split.decode, 3);
}

/// Nobody waits at night. However uneven the split is, no engine is taken away.
#[test]
fn nothing_changes_while_nobody_is_pressed() {
    let mut fleet = Fleet::new(6, 12);
    fleet.play(1_500, 60_000, |_| demand(2.0, 0.2));
    assert!(fleet.turns.is_empty(), "{:?}", fleet.turns);
}

/// Traffic began two seconds ago. The rate is that of these seconds and not of the minute before.
#[test]
fn a_rate_is_right_from_its_first_seconds() {
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

    /// Whatever is asked, an engine of each kind is left, at most a sixth of the engines (one at
    /// least) are away at once, and no engine is turned back within ten seconds unless output has too
    /// few.
    #[test]
    fn a_fleet_is_never_turned_over(
        engines in 3_usize..40,
        share in 0.1_f64..0.6,
        asked in prop::collection::vec((0.0_f64..30.0, 0.0_f64..30.0), 1..80),
    ) {
        let readers = ((engines as f64 * share) as usize).clamp(1, engines - 1);
        let mut fleet = Fleet::new(readers, engines - readers);
        for (second, (reading, making)) in asked.into_iter().enumerate() {
            let from_ms = 1_500 + second as u64 * 1_000;
            fleet.play(from_ms, from_ms + 1_000, |_| demand(reading, making));
            prop_assert!(fleet.split.prefill >= 1 && fleet.split.decode >= 1);
            prop_assert!(fleet.back_ms.len() <= (engines / 6).max(1), "{:?}", fleet.back_ms);
        }
        for pair in fleet.turns.windows(2) {
            prop_assert!(pair[0].1 == pair[1].1 || pair[1].0 >= pair[0].0 + 10_000, "{pair:?}");
        }
    }

    /// More prompts never want fewer engines to read.
    #[test]
    fn more_reading_wants_no_fewer_readers(
        engines in 2_usize..200, reading in 0.0_f64..100.0, more in 0.0_f64..50.0, making in 0.0_f64..100.0,
    ) {
        let less = wanted_prefill_engines(&demand(reading, making), engines);
        prop_assert!(wanted_prefill_engines(&demand(reading + more, making), engines) >= less);
    }
}
