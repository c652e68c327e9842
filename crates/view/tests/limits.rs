//! Limits that upstreams name to some instances, and all must know.

mod common;

use common::{Fleet, one_in_ten, upstream};
use view::UpstreamLimit;

/// Sizes of fleets.
const SIZES: [usize; 4] = [1, 7, 90, 295];

/// Time by which a limit is known everywhere, in ms: long before it binds.
const KNOWN_MS: u64 = 300;

/// Time between two tellings of a limit that is still named, in ms.
const TOLD_MS: u64 = 500;

fn word(at_ms: u64, per_s: Option<f64>) -> UpstreamLimit {
    UpstreamLimit {
        upstream: upstream(1),
        per_s,
        at_ms,
    }
}

fn knowing(fleet: &Fleet, word: UpstreamLimit) -> usize {
    let knows = |each: &&common::Instance| {
        let known = each.limits.get(&word.upstream);
        known.is_some_and(|known| known.per_s == word.per_s)
    };
    fleet.running().filter(knows).count()
}

/// Guards against a limit that is kept only by the instances which were told it.
#[test]
fn all_instances_know_what_one_was_told() {
    for instances in SIZES {
        let mut fleet = Fleet::new(instances);
        fleet.run(1_000, |_, _| false);
        for (at_ms, per_s) in [(1, Some(4.7)), (2, Some(2.5)), (3, None)] {
            let told = (at_ms as usize * 31) % instances;
            fleet.all[told].is_told(word(at_ms, per_s));
            fleet.run(KNOWN_MS, |_, _| false);
            assert_eq!(knowing(&fleet, word(at_ms, per_s)), instances);
        }
    }
}

/// Guards against a limit that one never hears of, with a tenth of all datagrams lost and one cut off meanwhile.
#[test]
fn one_that_was_away_learns_a_limit_as_long_as_it_is_named() {
    for instances in [7, 90, 295] {
        let mut fleet = Fleet::new(instances);
        let mut is_lost = one_in_ten();
        fleet.run(1_000, |_, _| is_lost());
        let away = instances / 2;
        for at_ms in 1..=8 {
            fleet.all[0].is_told(word(at_ms, Some(4.7)));
            let is_away = at_ms <= 4;
            fleet.run(TOLD_MS, |from, to| {
                is_away && (from == away || to == away) || is_lost()
            });
        }
        assert_eq!(knowing(&fleet, word(8, Some(4.7))), instances);
    }
}
