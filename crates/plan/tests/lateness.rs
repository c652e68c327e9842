//! Bursts that exceed an engine's prefill rate, and which requests are refused.

use plan::{LateRequest, LatestStart};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const GOAL_MS: f64 = 300.0;
const DEADLINE_MS: f64 = 2_500.0;
const PREFILL_MS: f64 = 50.0;

/// Number of requests by their outcome.
#[derive(Debug, Default, PartialEq)]
struct Outcome {
    requests: usize,
    in_time: usize,
    late: usize,
    refused: usize,
}

/// Simulates 20 s at an engine that prefills 20 prompts per second. In bursts of 1.4 s it gets 32
/// per second, between them 8. Requests that can meet the objective go first, ahead of late ones
/// whose prefill has not started.
fn bursts(latest: LatestStart, seed: u64) -> Outcome {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut outcome = Outcome::default();
    let (mut on_time, mut late) = (Vec::new(), Vec::new());
    let (mut now_ms, mut free_ms) = (0.0_f64, 0.0_f64);
    while now_ms < 20_000.0 {
        let per_s = if ((now_ms / 1_400.0) as u64).is_multiple_of(2) {
            32.0
        } else {
            8.0
        };
        now_ms += -(1.0 - random.random::<f64>()).ln() * 1_000.0 / per_s;
        while free_ms <= now_ms && !(on_time.is_empty() && late.is_empty()) {
            let queue: &mut Vec<f64> = if on_time.is_empty() {
                &mut late
            } else {
                &mut on_time
            };
            let arrived_ms = queue.remove(0);
            free_ms = free_ms.max(arrived_ms) + PREFILL_MS;
            let took_ms = free_ms - arrived_ms;
            outcome.in_time += usize::from(took_ms <= GOAL_MS);
            outcome.late += usize::from(took_ms > GOAL_MS && took_ms <= DEADLINE_MS);
        }
        outcome.requests += 1;
        let busy_ms = (free_ms - now_ms).max(0.0);
        let first_ms = busy_ms + (on_time.len() + 1) as f64 * PREFILL_MS;
        if first_ms <= GOAL_MS {
            on_time.push(now_ms);
            continue;
        }
        let behind_ms = first_ms + late.len() as f64 * PREFILL_MS;
        let request = LateRequest {
            goal_ms: GOAL_MS,
            processing_ms: PREFILL_MS,
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
        .map(|seed| bursts(latest, seed))
        .fold(Outcome::default(), |sum, each| Outcome {
            requests: sum.requests + each.requests,
            in_time: sum.in_time + each.in_time,
            late: sum.late + each.late,
            refused: sum.refused + each.refused,
        })
}

/// Late requests that may wait for three objectives are prefilled in the lulls between bursts. More
/// than a tenth fewer are refused than with a limit of two objectives, and about as many are in
/// time, since those go first.
#[test]
fn late_requests_that_wait_longer_are_served_in_the_lulls() {
    let longer = all(LatestStart::default());
    let shorter = all(LatestStart {
        new: 2.0,
        returning: 2.5,
    });
    assert!(
        longer.refused * 10 < shorter.refused * 9,
        "{longer:?} {shorter:?}"
    );
    assert!(longer.late > shorter.late, "{longer:?} {shorter:?}");
    assert!(
        longer.in_time * 100 >= shorter.in_time * 98,
        "{longer:?} {shorter:?}"
    );
}

/// A retried request may start later than a new one, no request may start after its deadline, and
/// a prompt whose own length makes it late may wait as long as others, so that the longest prompts are not
/// refused at queues behind which all others are served.
#[test]
fn the_latest_start_depends_on_retries_deadline_and_length() {
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
        2_600
    );
    assert_eq!(
        wait_ms(LateRequest {
            processing_ms: 2_000.0,
            waited_ms: 100.0,
            ..request
        }),
        2_900
    );
}
