//! Requests under which upstreams end: sound ones that are under way when upstreams end for another reason, and those
//! that end them. One rule has to hold for both, in fleets of all sizes.

mod common;

use common::request_storm::{Ends, Load, Outcome, STABLE_MS, Storm, play};
use view::RequestKey;

const SIZES: [usize; 4] = [2, 6, 60, 300];
const SEEDS: std::ops::Range<u64> = 1..11;

/// Time after the return of the upstreams in which a sound request is served again, in ms.
const SERVED_AGAIN_MS: u64 = 2 * STABLE_MS;

/// Most sends of a request that ends upstreams, later than the instances are calm again after its third end.
const MAX_LATE: usize = 3;

const POPULAR: Load = Load {
    request: RequestKey(11),
    per_s: 50,
    is_bad: false,
};
const RARE: Load = Load {
    request: RequestKey(12),
    per_s: 2,
    is_bad: false,
};
const BAD: Load = Load {
    request: RequestKey(13),
    per_s: 6,
    is_bad: true,
};
const BAD_EVERYWHERE: Load = Load {
    request: RequestKey(14),
    per_s: 200,
    is_bad: true,
};

fn storm(instances: usize, loads: &[Load], ends: &[Ends]) -> Storm {
    Storm {
        seed: 0,
        instances,
        upstreams: 6,
        for_ms: 40_000,
        loads: loads.to_vec(),
        ends: ends.to_vec(),
        lost_percent: 1,
        killed_ms: None,
        store_away_ms: (0, 0),
    }
}

/// Ways in which upstreams end for a reason of their own, six of them in three zones.
fn ways_to_end() -> Vec<(&'static str, Vec<Ends>)> {
    let one_by_one = |gap_ms| (0..6).map(move |at| (10_000 + at as u64 * gap_ms, vec![at], 3_000));
    let all = || (0..6).collect::<Vec<usize>>();
    vec![
        ("one by one", one_by_one(700).collect()),
        ("in a rollout", one_by_one(2_000).collect()),
        (
            "by zone",
            vec![(10_000, vec![0, 1], 4_900), (12_000, vec![2, 3], 4_900)],
        ),
        ("five of six", vec![(10_000, (0..5).collect(), 4_900)]),
        ("all at once", vec![(10_000, all(), 4_900)]),
        ("all at once, short", vec![(10_000, all(), 500)]),
        (
            "all twice",
            vec![(10_000, all(), 2_000), (13_400, all(), 2_000)],
        ),
    ]
}

fn last_return_ms(ends: &[Ends]) -> u64 {
    let returns = ends.iter().map(|(at_ms, _, down_ms)| at_ms + down_ms);
    returns.max().unwrap_or_default()
}

/// Longest time from the return of the upstreams to the next answer, in ms.
fn served_after_ms(outcome: &Outcome, return_ms: u64) -> u64 {
    let mut answers = outcome.answers_ms.iter();
    let first = answers.find(|at_ms| **at_ms >= return_ms);
    first.map_or(u64::MAX, |at_ms| at_ms - return_ms)
}

/// Guards against a sound request that is refused after its upstreams ended for another reason, however many send it.
#[test]
fn sound_requests_are_served_again_after_any_ends() {
    for instances in SIZES {
        for (name, ends) in ways_to_end() {
            let return_ms = last_return_ms(&ends);
            let mut worst = [0; 2];
            for seed in SEEDS {
                let storm = storm(instances, &[POPULAR, RARE], &ends);
                let found = play(Storm { seed, ..storm });
                for (worst, outcome) in worst.iter_mut().zip(&found) {
                    *worst = served_after_ms(outcome, return_ms).max(*worst);
                    let refused = outcome.refusals_ms.iter();
                    let late = refused.filter(|at| **at > return_ms + SERVED_AGAIN_MS);
                    assert_eq!(
                        late.count(),
                        0,
                        "{name}, {instances} instances, seed {seed}"
                    );
                }
            }
            println!("{name}, {instances} instances: popular, rare after {worst:?} ms");
            assert!(
                worst.iter().all(|it| *it <= SERVED_AGAIN_MS),
                "{name}, {instances} instances: {worst:?} ms"
            );
        }
    }
}

/// Plays a request that ends upstreams, and checks its bound.
fn check_bad(name: &str, shape: impl Fn(Storm) -> Storm) {
    for instances in SIZES {
        let (mut most_late, mut most_ends, mut ends) = (0, 0, 0);
        for seed in SEEDS {
            let storm = shape(storm(instances, &[BAD, POPULAR], &[]));
            let found = play(Storm { seed, ..storm });
            most_late = most_late.max(found[0].late_sends());
            most_ends = most_ends.max(found[0].ends_ms.len());
            ends += found[0].ends_ms.len();
        }
        println!(
            "{name}, {instances} instances: {most_late} late, {ends} ends in 10 plays, {most_ends} at most"
        );
        assert!(
            most_late <= MAX_LATE,
            "{name}, {instances} instances: {most_late} late sends"
        );
    }
}

/// Guards against a request that ends upstream after upstream, one attempt after the other.
#[test]
fn a_request_that_ends_upstreams_is_contained() {
    check_bad("alone", |storm| storm);
    check_bad("for minutes", |storm| Storm {
        for_ms: 150_000,
        ..storm
    });
}

/// Guards against one that comes at all instances at one moment.
#[test]
fn a_request_that_ends_upstreams_everywhere_is_contained() {
    check_bad("everywhere", |storm| Storm {
        loads: vec![BAD_EVERYWHERE, POPULAR],
        ..storm
    });
}

/// Guards against one that is let through since upstreams end for another reason beside it.
#[test]
fn a_request_that_ends_upstreams_among_other_ends_is_contained() {
    for (name, ends) in ways_to_end() {
        check_bad(name, |storm| Storm {
            ends: ends.clone(),
            ..storm
        });
    }
}

/// Guards against trials that are counted anew after all instances were killed, at any moment of them.
#[test]
fn trials_are_counted_across_a_kill_of_all_instances() {
    for killed_ms in [1_500, 2_500, 4_000, 8_000, 15_000, 25_000] {
        check_bad("all killed", |storm| Storm {
            killed_ms: Some(killed_ms),
            ..storm
        });
    }
}

/// Guards against trials that are counted twice, or not, where what instances tell is lost or the store is away.
#[test]
fn trials_are_counted_without_the_store_and_with_lost_gossip() {
    check_bad("store away", |storm| Storm {
        store_away_ms: (0, 30_000),
        ..storm
    });
    check_bad("a tenth lost", |storm| Storm {
        lost_percent: 10,
        ..storm
    });
}
