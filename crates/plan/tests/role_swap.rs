//! Which engines exchange their roles by speed, and what speeds do to the role split.

use plan::{
    Demand, RoleSpeeds, RoleSplit, SwapEngine, SwapProgress, SwapStep, swap_pairs, swap_step,
    wanted_prefill_engines,
};

/// Duration of a role change, in ms.
const CHANGE_MS: u64 = 5_000;

/// Interval of checks, in ms.
const CHECK_MS: u64 = 250;

#[derive(Clone, Copy)]
struct Engine {
    factor: f64,
    prefills: bool,
    away_until_ms: u64,
    changes: usize,
}

/// A fleet of 89 engines, of which 26 prefill; a third each is fast, usual and slow.
struct Fleet {
    engines: Vec<Engine>,
    /// Fast and slow engine of each swap in progress, and when it began.
    swaps: Vec<(usize, usize, u64)>,
}

impl Fleet {
    fn new(factors: [f64; 3]) -> Self {
        let engine = |at: usize| Engine {
            factor: factors[at % 3],
            prefills: at < 26,
            away_until_ms: 0,
            changes: 0,
        };
        Self {
            engines: (0..89).map(engine).collect(),
            swaps: Vec::new(),
        }
    }

    /// Speed of all engines that prefill at the moment.
    fn prefill_speed(&self, now_ms: u64) -> f64 {
        let here = self.engines.iter();
        let here = here.filter(|each| each.prefills && each.away_until_ms <= now_ms);
        here.map(|each| 1.0 / each.factor).sum()
    }

    fn order(&mut self, now_ms: u64, at: usize) {
        let engine = &mut self.engines[at];
        engine.prefills = !engine.prefills;
        engine.away_until_ms = now_ms + CHANGE_MS;
        engine.changes += 1;
    }

    fn check(&mut self, now_ms: u64, demand: &Demand) {
        let progress = |at: usize, prefills: bool| match &self.engines[at] {
            engine if now_ms < engine.away_until_ms => SwapProgress::Away,
            engine if engine.prefills == prefills => SwapProgress::Changed,
            _ => SwapProgress::Unchanged,
        };
        let steps = self.swaps.iter().map(|&(fast, slow, began_ms)| {
            let (fast, slow) = (progress(fast, true), progress(slow, false));
            swap_step(now_ms - began_ms, fast, slow, false)
        });
        let steps: Vec<SwapStep> = steps.collect();
        for (at, step) in steps.iter().enumerate() {
            if *step == SwapStep::OrderSlow {
                self.order(now_ms, self.swaps[at].1);
            }
        }
        let mut steps = steps.iter();
        self.swaps.retain(|_| steps.next() != Some(&SwapStep::End));
        let candidates = |prefills: bool| -> Vec<usize> {
            let all = self.engines.iter().enumerate();
            all.filter(|(at, it)| {
                it.prefills == prefills
                    && it.away_until_ms <= now_ms
                    && self.swaps.iter().all(|(_, slow, _)| slow != at)
            })
            .map(|(at, _)| at)
            .collect()
        };
        let (prefill, decode) = (candidates(true), candidates(false));
        let views = |places: &[usize]| -> Vec<SwapEngine<'static>> {
            let view = |at: &usize| SwapEngine {
                lasting_factor: self.engines[*at].factor,
                zone: "one",
            };
            places.iter().map(view).collect()
        };
        let away = self.engines.iter().filter(|it| it.away_until_ms > now_ms);
        let split = RoleSplit {
            prefill: 26,
            decode: 63,
            changing: away.count(),
        };
        let pending = self.swaps.len();
        let pairs = swap_pairs(&views(&prefill), &views(&decode), demand, &split, pending);
        for pair in pairs {
            self.order(now_ms, decode[pair.fast]);
            self.swaps
                .push((decode[pair.fast], prefill[pair.slow], now_ms));
        }
    }
}

fn demand(prefill: f64, decode: f64) -> Demand {
    Demand { prefill, decode }
}

/// Guards against slow engines that prefill while fast ones decode, and against swaps that take prefill capacity
/// away meanwhile, that move many engines at once, or that never end.
#[test]
fn fast_engines_take_over_prefill_without_a_gap() {
    let mut fleet = Fleet::new([0.6, 1.0, 1.6]);
    let before = fleet.prefill_speed(0);
    let mut lowest = before;
    let mut most_away = 0;
    for now_ms in (0..180_000).step_by(CHECK_MS as usize) {
        fleet.check(now_ms, &demand(12.0, 15.0));
        lowest = lowest.min(fleet.prefill_speed(now_ms));
        let away = fleet.engines.iter().filter(|it| it.away_until_ms > now_ms);
        most_away = most_away.max(away.count());
    }
    let after = fleet.prefill_speed(180_000);
    assert!(after >= before * 1.45, "{before} {after}");
    assert!(lowest >= before, "{lowest} of {before}");
    assert!(most_away <= 3, "{most_away}");
    assert!(fleet.engines.iter().all(|each| each.changes <= 1));
    assert!(fleet.swaps.is_empty());
    assert_eq!(fleet.engines.iter().filter(|it| it.prefills).count(), 26);
}

/// Guards against orders that gain less than they cost: engines of about one speed, hardly a prompt, decode engines
/// that would be full without those that are away, and too many engines that change already.
#[test]
fn no_engines_are_swapped_without_a_gain() {
    let begun = |factors, demand: Demand| {
        let mut fleet = Fleet::new(factors);
        fleet.check(0, &demand);
        fleet.swaps.len()
    };
    let usual = demand(12.0, 15.0);
    assert_eq!(begun([0.6, 1.0, 1.6], usual), 3);
    assert_eq!(begun([1.0, 1.0, 1.0], usual), 0);
    assert_eq!(begun([0.95, 1.0, 1.15], usual), 0);
    assert_eq!(begun([0.6, 1.0, 1.6], demand(1.0, 15.0)), 0);
    assert_eq!(begun([0.6, 1.0, 1.6], demand(12.0, 37.0)), 1);
    assert_eq!(begun([0.6, 1.0, 1.6], demand(12.0, 40.0)), 0);
    let engine = |lasting_factor| SwapEngine {
        lasting_factor,
        zone: "one",
    };
    let split = |changing| RoleSplit {
        prefill: 6,
        decode: 12,
        changing,
    };
    let small = demand(3.0, 2.0);
    let pairs =
        |changing| swap_pairs(&[engine(1.6)], &[engine(0.6)], &small, &split(changing), 0).len();
    assert_eq!((pairs(2), pairs(3)), (1, 0));
}

/// Guards against bodies that cross zones after a swap although an equally fast engine is in the zone.
#[test]
fn an_engine_of_the_same_zone_takes_over() {
    let engine = |lasting_factor, zone| SwapEngine {
        lasting_factor,
        zone,
    };
    let decode = [engine(0.6, "two"), engine(0.62, "one"), engine(1.0, "one")];
    let split = RoleSplit {
        prefill: 6,
        decode: 12,
        changing: 0,
    };
    let prefill = [engine(1.0, "two"), engine(1.6, "one")];
    let pairs = swap_pairs(&prefill, &decode, &demand(3.0, 2.0), &split, 0);
    let pairs: Vec<(usize, usize)> = pairs.iter().map(|it| (it.slow, it.fast)).collect();
    assert_eq!(pairs, [(1, 1)]);
}

/// Guards against a slow engine that leaves prefill before the fast one is there or while the split needs both, and
/// against a swap that is waited for although one of its engines did not accept the order.
#[test]
fn the_slow_engine_leaves_prefill_last() {
    use SwapProgress::{Away, Changed, Unchanged};
    use SwapStep::{End, OrderSlow, Wait};
    let step = |fast, slow| swap_step(5_000, fast, slow, false);
    assert_eq!(step(Away, Unchanged), Wait);
    assert_eq!(step(Changed, Unchanged), OrderSlow);
    assert_eq!(step(Changed, Away), Wait);
    assert_eq!(step(Changed, Changed), End);
    assert_eq!(step(Unchanged, Unchanged), End);
    assert_eq!(swap_step(5_000, Changed, Unchanged, true), End);
    assert_eq!(swap_step(60_000, Away, Unchanged, false), End);
}

/// Guards against a split by the number of engines where slow ones prefill less than that, and against any change
/// where no speed is known.
#[test]
fn demand_counts_in_engines_of_the_speeds_that_there_are() {
    let usual = demand(5.0, 5.0);
    assert_eq!(
        usual.at_speeds(&RoleSpeeds::of(&[1.0; 26], &[1.0; 63])),
        usual
    );
    assert_eq!(usual.at_speeds(&RoleSpeeds::of(&[], &[])), usual);
    let wanted = |speed: f64| {
        let speeds = RoleSpeeds::of(&[speed; 6], &[1.0; 12]);
        wanted_prefill_engines(&usual.at_speeds(&speeds), 18)
    };
    assert!(wanted(1.0 / 1.6) > wanted(1.0) && wanted(1.0) > wanted(1.0 / 0.6));
}
