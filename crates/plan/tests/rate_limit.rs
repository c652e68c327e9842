//! Fleets that share the limit of an upstream, as the upstream counts what it gets.

use std::collections::VecDeque;

use plan::{InstancePosition, TokenBucket};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Window in which the upstream counts, in ms.
const WINDOW_MS: u64 = 4_000;

/// Time until an instance knows that another one has gone or come, or of another limit, in ms.
const LEARNS_WITHIN_MS: u64 = 1_000;

/// Step of time, in ms.
const STEP_MS: u64 = 50;

/// What is so for a while.
#[derive(Debug, Clone, Copy)]
struct Spell {
    for_ms: u64,
    limit_per_s: f64,
    instances: usize,
}

fn spells(most: usize) -> impl Strategy<Value = Vec<Spell>> {
    let spell = (5_000_u64..15_000, 0.2_f64..40.0, most.div_ceil(2)..=most);
    let spell = spell.prop_map(|(for_ms, limit_per_s, instances)| Spell {
        for_ms,
        limit_per_s,
        instances,
    });
    prop::collection::vec(spell, 1..5)
}

/// Lets each instance send whatever it may, and gives the most that any window has beyond one and a half
/// times the limit and five.
fn most_beyond(spells: &[Spell], most: usize) -> f64 {
    let mut buckets = vec![TokenBucket::default(); most];
    let mut sent: VecDeque<(u64, f64, u32)> = VecDeque::new();
    let mut worst = f64::MIN;
    let mut now_ms = 0;
    let mut before = spells[0];
    for spell in spells {
        let until_ms = now_ms + spell.for_ms;
        let begun_ms = now_ms;
        while now_ms < until_ms {
            let mut count = 0;
            for (rank, bucket) in buckets.iter_mut().enumerate() {
                // Half of the instances learn late.
                let is_late = rank % 2 == 1 && now_ms < begun_ms + LEARNS_WITHIN_MS;
                let seen = if is_late { &before } else { spell };
                let position = InstancePosition {
                    rank,
                    instances: seen.instances,
                };
                let part = position.share_per_s(seen.limit_per_s, 7_919);
                while rank < spell.instances && bucket.try_take(now_ms, part) {
                    count += 1;
                }
            }
            let limit = spell.limit_per_s.max(before.limit_per_s);
            sent.push_back((now_ms, limit, count));
            sent.retain(|(at_ms, ..)| at_ms + WINDOW_MS > now_ms);
            let got: u32 = sent.iter().map(|(_, _, count)| count).sum();
            let allowed: f64 = sent
                .iter()
                .map(|(_, limit, _)| limit * STEP_MS as f64 / 1_000.0)
                .sum();
            if now_ms >= WINDOW_MS {
                worst = worst.max(f64::from(got) - 1.5 * allowed - 5.0);
            }
            now_ms += STEP_MS;
        }
        before = *spell;
    }
    worst
}

/// Guards against instances that each keep a limit for themselves, at any number of them.
#[test]
fn all_instances_together_keep_the_limit() {
    for most in [1, 6, 90, 300] {
        let spell = Spell {
            for_ms: 20_000,
            limit_per_s: 5.0,
            instances: most,
        };
        let beyond = most_beyond(&[spell], most);
        assert!(beyond <= 0.0, "{most} instances: {beyond} too many");
    }
}

/// Guards against a limit that is kept by leaving the upstream alone.
#[test]
fn a_limit_is_used() {
    for instances in [1, 6, 90, 300] {
        let mut buckets = vec![TokenBucket::default(); instances];
        let mut sent = 0;
        for now_ms in (0..60_000).step_by(STEP_MS as usize) {
            for (rank, bucket) in buckets.iter_mut().enumerate() {
                let part = InstancePosition { rank, instances }.share_per_s(5.0, 11);
                sent += u32::from(bucket.try_take(now_ms, part));
            }
        }
        assert!((270..=300).contains(&sent), "{sent} of 300 at {instances}");
    }
}

/// Guards against an instance that has saved up requests for the time in which it had no part.
#[test]
fn a_new_user_of_a_limit_begins_with_nothing() {
    let mut bucket = TokenBucket::default();
    assert!(!bucket.try_take(60_000, 2.0));
    assert!(bucket.try_take(60_500, 2.0));
    assert!(!bucket.try_take(60_600, 0.0));
    assert!(!bucket.try_take(90_000, 2.0));
    assert!(bucket.try_take(90_500, 2.0));
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20),
        ..ProptestConfig::with_cases(200)
    })]

    /// Guards against more than the limit while it changes and instances come and go, as half of them learn of it late.
    #[test]
    fn changes_that_some_learn_late_keep_the_limit(spells in spells(60)) {
        let beyond = most_beyond(&spells, 60);
        prop_assert!(beyond <= 0.0, "{beyond} too many");
    }
}
