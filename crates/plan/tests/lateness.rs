//! Rushes beyond what an engine reads, and who is refused.

use plan::{LateRequest, LatestStart};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const GOAL_MS: f64 = 300.0;
const DEADLINE_MS: f64 = 2_500.0;
const OWN_MS: f64 = 50.0;

/// What became of the requests of one rush.
#[derive(Debug, Default, PartialEq)]
struct Outcome {
    asked: usize,
    in_time: usize,
    late: usize,
    refused: usize,
}

/// Twenty seconds at an engine that reads 20 prompts a second: 32 come a second in rushes of 1.4 s, 8
/// between them. What can be on time goes first, and what has not begun can be put back behind it.
fn rushes(latest: LatestStart, seed: u64) -> Outcome {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut outcome = Outcome::default();
    let (mut on_time, mut late) = (Vec::new(), Vec::new());
    let (mut now_ms, mut free_ms) = (0.0_f64, 0.0_f64);
    while now_ms < 20_000.0 {
        let a_second = if ((now_ms / 1_400.0) as u64).is_multiple_of(2) {
            32.0
        } else {
            8.0
        };
        now_ms += -(1.0 - random.random::<f64>()).ln() * 1_000.0 / a_second;
        while free_ms <= now_ms && !(on_time.is_empty() && late.is_empty()) {
            let queue: &mut Vec<f64> = if on_time.is_empty() {
                &mut late
            } else {
                &mut on_time
            };
            let came_ms = queue.remove(0);
            free_ms = free_ms.max(came_ms) + OWN_MS;
            let took_ms = free_ms - came_ms;
            outcome.in_time += usize::from(took_ms <= GOAL_MS);
            outcome.late += usize::from(took_ms > GOAL_MS && took_ms <= DEADLINE_MS);
        }
        outcome.asked += 1;
        let busy_ms = (free_ms - now_ms).max(0.0);
        let first_ms = busy_ms + (on_time.len() + 1) as f64 * OWN_MS;
        if first_ms <= GOAL_MS {
            on_time.push(now_ms);
            continue;
        }
        let behind_ms = first_ms + late.len() as f64 * OWN_MS;
        let request = LateRequest {
            goal_ms: GOAL_MS,
            processing_ms: OWN_MS,
            waited_ms: 0.0,
            left_ms: DEADLINE_MS,
        };
        if behind_ms <= latest.max_wait_ms(&request) {
            late.push(now_ms);
        } else {
            outcome.refused += 1;
        }
    }
    outcome
}

fn all(latest: LatestStart) -> Outcome {
    (1..=10)
        .map(|seed| rushes(latest, seed))
        .fold(Outcome::default(), |sum, each| Outcome {
            asked: sum.asked + each.asked,
            in_time: sum.in_time + each.in_time,
            late: sum.late + each.late,
            refused: sum.refused + each.refused,
        })
}

/// Requests that start up to three objectives late are read in the lulls between rushes. A tenth fewer
/// are refused than with two, and as many are on time, since they go first.
#[test]
fn who_waits_longer_is_served_in_the_lulls() {
    let now = all(LatestStart::default());
    let before = all(LatestStart {
        new: 2.0,
        returning: 2.5,
    });
    assert!(now.refused * 10 < before.refused * 9, "{now:?} {before:?}");
    assert!(now.late > before.late, "{now:?} {before:?}");
    assert!(
        now.in_time * 100 >= before.in_time * 98,
        "{now:?} {before:?}"
    );
}

/// A caller that was refused before is refused a second time less readily; nobody is kept beyond the
/// deadline, and a prompt that is late by its own length bears half an objective of waiting.
#[test]
fn the_bounds_of_a_start() {
    let latest = LatestStart::default();
    let request = LateRequest {
        goal_ms: 300.0,
        processing_ms: 50.0,
        waited_ms: 0.0,
        left_ms: 5_000.0,
    };
    let wait_ms = |request: LateRequest| latest.max_wait_ms(&request).round() as u64;
    assert_eq!(wait_ms(request), 900);
    assert_eq!(
        wait_ms(LateRequest {
            waited_ms: 100.0,
            ..request
        }),
        1_200
    );
    assert_eq!(
        wait_ms(LateRequest {
            left_ms: 400.0,
            ..request
        }),
        400
    );
    assert_eq!(
        wait_ms(LateRequest {
            processing_ms: 2_000.0,
            ..request
        }),
        2_150
    );
}
