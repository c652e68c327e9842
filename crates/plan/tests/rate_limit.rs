//! Rate limits shared by the instances of a fleet, counted as the upstream receives the requests.

use std::collections::VecDeque;

use plan::{InstancePosition, TokenBucket};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Window in which the upstream counts requests, in ms.
const WINDOW_MS: u64 = 4_000;

/// Time until every instance has learned of a change of the limit or of the instances, in ms.
const LEARNED_WITHIN_MS: u64 = 1_000;

/// Time step of the simulation, in ms.
const STEP_MS: u64 = 50;

/// A phase of the simulation with a constant limit and number of instances.
#[derive(Debug, Clone, Copy)]
struct Phase {
    duration_ms: u64,
    limit_per_s: f64,
    instances: usize,
}

fn phases(max_instances: usize) -> impl Strategy<Value = Vec<Phase>> {
    let instances = max_instances.div_ceil(2)..=max_instances;
    let phase = (5_000_u64..15_000, 0.2_f64..40.0, instances);
    let phase = phase.prop_map(|(duration_ms, limit_per_s, instances)| Phase {
        duration_ms,
        limit_per_s,
        instances,
    });
    prop::collection::vec(phase, 1..5)
}

/// Lets each instance send as many requests as it may. Returns the largest excess of any window
/// over one and a half times the limit plus five requests; positive if a window exceeds that.
fn max_excess(phases: &[Phase], max_instances: usize) -> f64 {
    let mut buckets = vec![TokenBucket::default(); max_instances];
    let mut sent: VecDeque<(u64, f64, u32)> = VecDeque::new();
    let mut worst = f64::MIN;
    let mut now_ms = 0;
    let mut before = phases[0];
    for phase in phases {
        let until_ms = now_ms + phase.duration_ms;
        let started_ms = now_ms;
        while now_ms < until_ms {
            let mut count = 0;
            for (rank, bucket) in buckets.iter_mut().enumerate() {
                // Half of the instances learn of the new phase late.
                let is_late = rank % 2 == 1 && now_ms < started_ms + LEARNED_WITHIN_MS;
                let known = if is_late { &before } else { phase };
                let position = InstancePosition {
                    rank,
                    instances: known.instances,
                };
                let share = position.share_per_s(known.limit_per_s, 7_919);
                while rank < phase.instances && bucket.try_take(now_ms, share) {
                    count += 1;
                }
            }
            let limit = phase.limit_per_s.max(before.limit_per_s);
            sent.push_back((now_ms, limit, count));
            sent.retain(|(at_ms, ..)| at_ms + WINDOW_MS > now_ms);
            let received: u32 = sent.iter().map(|(_, _, count)| count).sum();
            let allowed: f64 = sent
                .iter()
                .map(|(_, limit, _)| limit * STEP_MS as f64 / 1_000.0)
                .sum();
            if now_ms >= WINDOW_MS {
                worst = worst.max(f64::from(received) - 1.5 * allowed - 5.0);
            }
            now_ms += STEP_MS;
        }
        before = *phase;
    }
    worst
}

/// Guards against instances that each apply the whole limit, so that together they exceed it.
#[test]
fn all_instances_together_keep_the_limit() {
    for instances in [1, 6, 90, 300] {
        let phase = Phase {
            duration_ms: 20_000,
            limit_per_s: 5.0,
            instances,
        };
        let excess = max_excess(&[phase], instances);
        assert!(excess <= 0.0, "{instances} instances: {excess} too many");
    }
}

/// Guards against a limit that is kept by sending much less than it allows.
#[test]
fn the_limit_is_used_up() {
    for instances in [1, 6, 90, 300] {
        let mut buckets = vec![TokenBucket::default(); instances];
        let mut sent = 0;
        for now_ms in (0..60_000).step_by(STEP_MS as usize) {
            for (rank, bucket) in buckets.iter_mut().enumerate() {
                let share = InstancePosition { rank, instances }.share_per_s(5.0, 11);
                sent += u32::from(bucket.try_take(now_ms, share));
            }
        }
        assert!((270..=300).contains(&sent), "{sent} of 300 at {instances}");
    }
}

/// Guards against an instance that saves up requests while it has no share of the limit.
#[test]
fn an_instance_with_a_new_share_starts_with_an_empty_bucket() {
    let mut bucket = TokenBucket::default();
    assert!(!bucket.try_take(60_000, 2.0));
    assert!(bucket.try_take(60_500, 2.0));
    assert!(!bucket.try_take(60_600, 0.0));
    assert!(!bucket.try_take(90_000, 2.0));
    assert!(bucket.try_take(90_500, 2.0));
}

/// Guards against a limit that is exceeded when paths heal: instances that were cut off and handed their requests to
/// peers send what they saved up meanwhile.
#[test]
fn the_limit_holds_when_instances_that_were_cut_off_come_back() {
    let (cut_off_ms, limit_per_s) = (5_000..10_000, 5.0);
    for instances in [6, 30, 300] {
        let mut buckets = vec![TokenBucket::default(); instances];
        let mut sent: Vec<u64> = Vec::new();
        for now_ms in (0..20_000).step_by(STEP_MS as usize) {
            for (rank, bucket) in buckets.iter_mut().enumerate() {
                let is_cut_off = rank % 3 != 0 && cut_off_ms.contains(&now_ms);
                let share = InstancePosition { rank, instances }.share_per_s(limit_per_s, 7_919);
                while !is_cut_off && bucket.try_take(now_ms, share) {
                    sent.push(now_ms);
                }
            }
        }
        let received = |from_ms: &u64| {
            let window = *from_ms..from_ms + WINDOW_MS;
            sent.iter().filter(|at_ms| window.contains(at_ms)).count()
        };
        let most = sent.iter().map(received).max().unwrap_or_default();
        let allowed = 1.5 * limit_per_s * WINDOW_MS as f64 / 1_000.0 + 5.0;
        assert!(
            most as f64 <= allowed,
            "{instances} instances: {most} received"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20),
        ..ProptestConfig::with_cases(200)
    })]

    /// Guards against exceeding the limit while the limit or the number of instances changes and
    /// half of the instances learn of it late.
    #[test]
    fn the_limit_holds_while_some_instances_learn_of_changes_late(phases in phases(60)) {
        let excess = max_excess(&phases, 60);
        prop_assert!(excess <= 0.0, "{excess} too many");
    }
}
