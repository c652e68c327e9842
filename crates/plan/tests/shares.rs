//! Shares of workspaces under more load than the engines have room for, in a replay with instances
//! that know the fleet's use late.

use std::collections::VecDeque;
use std::time::Instant;

use plan::shares::{
    Claim, FairLevels, HoldBack, RoomChange, RoomSample, RoomWatch, ShortCause, hold_back,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

const ENGINES: usize = 30;
const SLOTS: usize = 12;
/// Requests that an engine accepts, running or queued.
const CAPACITY: usize = 48;
/// Engine time of one request, in ms.
const WORK_MS: f64 = 20.0;
const STEP_MS: u64 = 10;
const WINDOW_MS: u64 = 500;
const WINDOWS: usize = 8;
const WARMUP_MS: u64 = 6_000;
const END_MS: u64 = 26_000;
/// Relative needs of the workspaces: 1, 10 and 100 times the smallest.
const SIZES: [f64; 12] = [
    1.0, 1.0, 1.0, 1.0, 10.0, 10.0, 10.0, 10.0, 100.0, 100.0, 100.0, 100.0,
];

/// Requests of a workspace beyond its need: each one is sent that many times.
type Repeats = [u32; 12];

struct Replay {
    overload: f64,
    instances: usize,
    has_shares: bool,
    weights: [f64; 12],
    repeats: Repeats,
    /// Instance that all requests of the last workspace use, if not any.
    only_instance: Option<usize>,
}

impl Replay {
    fn new(overload: f64, instances: usize, has_shares: bool) -> Self {
        Self {
            overload,
            instances,
            has_shares,
            weights: [1.0; 12],
            repeats: [1; 12],
            only_instance: None,
        }
    }
}

#[derive(Clone, Copy, Default, PartialEq)]
struct Times {
    requested_ms: f64,
    granted_ms: f64,
}

/// What an instance knows: the fleet's use and the engines' loads as of some time ago.
struct Instance {
    levels: FairLevels,
    claims: Vec<Claim>,
    room: RoomWatch,
    loads: Vec<usize>,
}

struct Outcome {
    needs_ms: [f64; 12],
    served_ms: [f64; 12],
    refused: [u32; 12],
}

impl Outcome {
    fn total_ms(&self) -> f64 {
        self.served_ms.iter().sum()
    }

    /// Lowest ratio of what a workspace got to the lesser of its need and its share.
    fn worst(&self, weights: &[f64; 12]) -> f64 {
        let claim = |each: usize| Claim {
            rank: 0,
            weight: weights[each],
            requested_ms: self.needs_ms[each],
            granted_ms: self.served_ms[each],
        };
        let claims: Vec<Claim> = (0..12).map(claim).collect();
        let levels = FairLevels::of(&claims);
        let ratio = |claim: &Claim| {
            let due_ms = claim.requested_ms.min(levels.share_ms(claim));
            claim.granted_ms / due_ms
        };
        claims.iter().map(ratio).fold(f64::INFINITY, f64::min)
    }
}

fn sum_windows(windows: &VecDeque<[Times; 12]>) -> [Times; 12] {
    let mut sum = [Times::default(); 12];
    for window in windows {
        for (total, times) in sum.iter_mut().zip(window) {
            total.requested_ms += times.requested_ms;
            total.granted_ms += times.granted_ms;
        }
    }
    sum
}

#[expect(clippy::too_many_lines, reason = "one loop over time")]
fn replay(setup: &Replay) -> Outcome {
    let mut rng = Pcg64::seed_from_u64(7);
    let total_size: f64 = SIZES.iter().sum();
    let requests_per_ms = setup.overload * ENGINES as f64 / WORK_MS;
    let mut engines: Vec<VecDeque<(usize, f64)>> = vec![VecDeque::new(); ENGINES];
    let mut windows: VecDeque<[Times; 12]> = VecDeque::from([[Times::default(); 12]]);
    // Use and loads as of each step, the latest last.
    let mut past: VecDeque<([Times; 12], Vec<usize>)> = VecDeque::new();
    let new_instance = |_| Instance {
        levels: FairLevels::default(),
        claims: Vec::new(),
        room: RoomWatch::default(),
        loads: vec![0; ENGINES],
    };
    let mut instances: Vec<Instance> = (0..setup.instances).map(new_instance).collect();
    let mut outcome = Outcome {
        needs_ms: [0.0; 12],
        served_ms: [0.0; 12],
        refused: [0; 12],
    };
    let mut due = [0.0; 12];
    for now_ms in (0..END_MS).step_by(STEP_MS as usize) {
        let is_measured = now_ms >= WARMUP_MS;
        if now_ms.is_multiple_of(WINDOW_MS) && now_ms > 0 {
            windows.push_back([Times::default(); 12]);
            if windows.len() > WINDOWS {
                windows.pop_front();
            }
        }
        for engine in &mut engines {
            let mut left_ms = STEP_MS as f64;
            while left_ms > 0.0
                && let Some((workspace, work_ms)) = engine.front_mut()
            {
                let done_ms = left_ms.min(*work_ms);
                *work_ms -= done_ms;
                left_ms -= done_ms;
                if is_measured {
                    outcome.served_ms[*workspace] += done_ms;
                }
                if *work_ms <= 0.0 {
                    engine.pop_front();
                }
            }
        }
        let loads = engines.iter().map(VecDeque::len).collect();
        past.push_back((sum_windows(&windows), loads));
        if past.len() > 60 {
            past.pop_front();
        }
        // Each instance learns of loads every 50 ms, 100 ms late, and of use every 100 ms, 150 to
        // 500 ms late. One datagram in ten is lost.
        for (index, each) in instances.iter_mut().enumerate() {
            let phase_ms = now_ms + index as u64 * STEP_MS;
            if phase_ms.is_multiple_of(50) && rng.random_range(0..10) > 0 {
                each.loads
                    .clone_from(&past[past.len().saturating_sub(11)].1);
            }
            if phase_ms.is_multiple_of(100) && rng.random_range(0..10) > 0 {
                let age = rng.random_range(15..50);
                let (times, _) = &past[past.len().saturating_sub(age)];
                each.claims = times
                    .iter()
                    .zip(&setup.weights)
                    .map(|(times, weight)| Claim {
                        rank: 0,
                        weight: *weight,
                        requested_ms: times.requested_ms,
                        granted_ms: times.granted_ms,
                    })
                    .collect();
                each.levels = FairLevels::of(&each.claims);
            }
            each.room.observe(now_ms, sample(&each.loads));
        }
        for nth in 0..12 {
            // Engines that fill up within a step must not always reject the same workspace.
            let workspace = (nth + (now_ms / STEP_MS) as usize) % 12;
            due[workspace] += requests_per_ms * STEP_MS as f64 * SIZES[workspace] / total_size
                * rng.random_range(0.0..2.0);
            while due[workspace] >= 1.0 {
                due[workspace] -= 1.0;
                if is_measured {
                    outcome.needs_ms[workspace] += WORK_MS;
                }
                for _ in 0..setup.repeats[workspace] {
                    let own = setup.only_instance.filter(|_| workspace == 11);
                    let index = own.unwrap_or_else(|| rng.random_range(0..setup.instances));
                    let at = &mut instances[index];
                    let window = windows.back_mut().unwrap();
                    window[workspace].requested_ms += WORK_MS;
                    let state = HoldBack {
                        is_short: at.room.is_short(),
                        room: sample(&at.loads),
                        claim: at.claims.get(workspace).copied().unwrap_or_default(),
                    };
                    if setup.has_shares && hold_back(&state, &at.levels, rng.random()).is_some() {
                        outcome.refused[workspace] += 1;
                        continue;
                    }
                    let drawn: [usize; 3] = std::array::from_fn(|_| rng.random_range(0..ENGINES));
                    let engine = drawn.into_iter().min_by_key(|it| at.loads[*it]).unwrap();
                    at.loads[engine] += 1;
                    if engines[engine].len() < CAPACITY {
                        engines[engine].push_back((workspace, WORK_MS));
                        window[workspace].granted_ms += WORK_MS;
                    }
                }
            }
        }
    }
    outcome
}

fn sample(loads: &[usize]) -> RoomSample {
    RoomSample {
        engines: loads.len(),
        full: loads.iter().filter(|load| **load >= SLOTS).count(),
        requests: loads.iter().sum::<usize>() as f64,
        slots: (loads.len() * SLOTS) as f64,
    }
}

/// Guards against a few large workspaces that take the engines of all others, and against shares
/// that leave engines idle.
#[test]
fn each_workspace_gets_its_need_or_its_share() {
    for instances in [6, 60, 300] {
        for overload in [1.2, 1.6, 2.5] {
            let without = replay(&Replay::new(overload, instances, false));
            let with = replay(&Replay::new(overload, instances, true));
            let worst = with.worst(&[1.0; 12]);
            let total = with.total_ms() / without.total_ms();
            println!(
                "{instances} instances, load {overload}: worst {worst:.3} (without shares {:.3}), all {total:.3}, refused {:?}",
                without.worst(&[1.0; 12]),
                with.refused
            );
            assert!(worst >= 0.95, "{instances}, {overload}: {worst}");
            assert!(total >= 0.98, "{instances}, {overload}: {total}");
        }
    }
}

/// Guards against weights that do not count: with three times the weight, the last workspace gets
/// three times as much as the other large ones.
#[test]
fn shares_follow_weights() {
    let mut setup = Replay::new(2.5, 60, true);
    setup.weights[11] = 3.0;
    let outcome = replay(&setup);
    let worst = outcome.worst(&setup.weights);
    let ratio = outcome.served_ms[11] / outcome.served_ms[10];
    println!("worst {worst:.3}, ratio {ratio:.2}");
    assert!(worst >= 0.95, "{worst}");
    assert!((2.7..3.3).contains(&ratio), "{ratio}");
}

/// Guards against a workspace that gets more by sending each request three times, or by using one
/// instance alone. What it sends counts as its own, wherever it is sent.
#[test]
fn repeats_and_other_instances_gain_nothing() {
    for (repeats, only_instance) in [(3, None), (1, Some(2)), (3, Some(2))] {
        let mut setup = Replay::new(1.6, 60, true);
        setup.repeats[11] = repeats;
        setup.only_instance = only_instance;
        let outcome = replay(&setup);
        let others = outcome.served_ms[8..11].iter().sum::<f64>() / 3.0;
        let gain = outcome.served_ms[11] / others;
        println!("{repeats} times at {only_instance:?}: {gain:.3}");
        assert!(gain <= 1.05, "{repeats} times at {only_instance:?}: {gain}");
        let small = &outcome.served_ms[..8];
        let needs = &outcome.needs_ms[..8];
        let starved = small
            .iter()
            .zip(needs)
            .any(|(got, need)| *got < need * 0.95);
        assert!(!starved, "{small:?} of {needs:?}");
    }
}

/// Guards against refusals or a changed order while there is room.
#[test]
fn nothing_is_refused_while_there_is_room() {
    let outcome = replay(&Replay::new(0.85, 60, true));
    assert_eq!(outcome.refused, [0; 12]);
}

fn claim(rank: u8, requested_ms: f64, granted_ms: f64) -> Claim {
    Claim {
        rank,
        weight: 1.0,
        requested_ms,
        granted_ms,
    }
}

/// Guards against a rank that is held back for the shares of a later one.
#[test]
fn a_rank_goes_before_shares() {
    let urgent = claim(0, 9_000.0, 8_000.0);
    let later = [claim(1, 5_000.0, 1_500.0), claim(1, 5_000.0, 500.0)];
    let levels = FairLevels::of(&[urgent, later[0], later[1]]);
    assert!(levels.share_ms(&urgent).is_infinite());
    assert!(levels.excess(&later[0]) > 0.4, "{levels:?}");
    assert!(levels.excess(&later[1]) < 0.0, "{levels:?}");
}

/// Guards against callers that all return at the same time, however far their workspace is over.
#[test]
fn time_to_return_grows_with_what_is_requested_beyond_the_share() {
    let room = RoomSample {
        engines: 1,
        full: 1,
        requests: 16.0,
        slots: 12.0,
    };
    let waits = [3_000.0, 6_000.0, 12_000.0].map(|requested_ms| {
        let claim = claim(0, requested_ms, 1_500.0);
        let levels = FairLevels::of(&[claim, modest_claim()]);
        let state = HoldBack {
            is_short: true,
            room,
            claim,
        };
        assert_eq!(
            hold_back(
                &HoldBack {
                    is_short: false,
                    ..state
                },
                &levels,
                1.0
            ),
            None
        );
        assert_eq!(hold_back(&state, &levels, 0.0), None);
        hold_back(&state, &levels, 1.0).unwrap()
    });
    assert!(waits[0] < waits[1] && waits[1] < waits[2], "{waits:?}");
}

/// A workspace that requests little and got all of it.
fn modest_claim() -> Claim {
    claim(0, 100.0, 100.0)
}

/// Guards against shares that start and end with each peak of the load.
#[test]
fn short_peaks_and_gaps_do_not_change_the_room() {
    let sample = |full| RoomSample {
        engines: 10,
        full,
        requests: 0.0,
        slots: 120.0,
    };
    let mut room = RoomWatch::default();
    let peaks = [(0, 10), (100, 2), (200, 10), (300, 3)];
    assert!(
        peaks
            .iter()
            .all(|(at, full)| room.observe(*at, sample(*full)).is_none())
    );
    let began = [400, 500, 600].map(|at| room.observe(at, sample(9)));
    assert_eq!(
        began,
        [None, None, Some(RoomChange::Short(ShortCause::FullEngines))]
    );
    // Between the two bounds nothing changes.
    let gaps = [
        (700, 6),
        (1_500, 6),
        (1_600, 2),
        (2_000, 8),
        (2_100, 2),
        (2_500, 2),
    ];
    assert!(
        gaps.iter()
            .all(|(at, full)| room.observe(*at, sample(*full)).is_none())
    );
    assert_eq!(room.observe(2_600, sample(2)), Some(RoomChange::Free));
}

/// Guards against long waits for prefill that go unnoticed because decode engines have slots.
#[test]
fn long_waits_make_room_short() {
    let mut room = RoomWatch::default();
    let mut changes = Vec::new();
    for at_ms in (0..600).step_by(50) {
        room.observe_wait(at_ms, 500.0, 600.0);
        changes.extend(room.observe(at_ms, RoomSample::default()));
    }
    assert_eq!(changes, [RoomChange::Short(ShortCause::LongWaits)]);
}

/// Reports the time of one decision and of one update of the levels.
#[test]
fn a_decision_is_cheap() {
    for workspaces in [74, 740] {
        let claims: Vec<Claim> = (0..workspaces)
            .map(|each| claim(each as u8 % 3, f64::from(each) * 7.0, f64::from(each) * 5.0))
            .collect();
        let began = Instant::now();
        let mut levels = FairLevels::default();
        for _ in 0..100 {
            levels = FairLevels::of(std::hint::black_box(&claims));
        }
        let update_us = began.elapsed().as_secs_f64() * 1e4;
        let state = HoldBack {
            is_short: true,
            room: RoomSample::default(),
            claim: claims[9],
        };
        let began = Instant::now();
        for _ in 0..10_000 {
            std::hint::black_box(hold_back(std::hint::black_box(&state), &levels, 0.5));
        }
        let decision_ns = began.elapsed().as_secs_f64() * 1e5;
        println!("{workspaces} workspaces: levels {update_us:.1} us, decision {decision_ns:.0} ns");
        assert!(update_us < 5_000.0, "{update_us}");
    }
}
