//! How the rate limits that upstreams name spread through a fleet.

mod common;

use common::{Fleet, one_in_ten, upstream};
use view::UpstreamLimit;

/// Fleet sizes.
const SIZES: [usize; 4] = [1, 7, 90, 295];

/// Time in which a limit reaches all instances, in ms: long before it binds.
const SPREAD_MS: u64 = 300;

/// Interval at which an instance gossips a limit that is still named, in ms.
const ANNOUNCE_MS: u64 = 500;

fn limit(at_ms: u64, per_s: Option<f64>) -> UpstreamLimit {
    UpstreamLimit {
        upstream: upstream(1),
        per_s,
        at_ms,
    }
}

fn count_knowing(fleet: &Fleet, limit: UpstreamLimit) -> usize {
    let knows = |each: &&common::Instance| {
        let known = each.limits.get(&limit.upstream);
        known.is_some_and(|known| known.per_s == limit.per_s)
    };
    fleet.running().filter(knows).count()
}

/// Guards against a limit that is kept only by the instance to which the upstream named it.
#[test]
fn limit_reaches_all_instances() {
    for instances in SIZES {
        let mut fleet = Fleet::new(instances);
        fleet.run(1_000, |_, _| false);
        for (at_ms, per_s) in [(1, Some(4.7)), (2, Some(2.5)), (3, None)] {
            let receiver = (at_ms as usize * 31) % instances;
            fleet.all[receiver].receive_limit(limit(at_ms, per_s));
            fleet.run(SPREAD_MS, |_, _| false);
            assert_eq!(count_knowing(&fleet, limit(at_ms, per_s)), instances);
        }
    }
}

/// Guards against an instance that never learns a limit, when a tenth of all datagrams is lost and
/// the instance was cut off for a while.
#[test]
fn isolated_instance_learns_a_named_limit() {
    for instances in [7, 90, 295] {
        let mut fleet = Fleet::new(instances);
        let mut is_lost = one_in_ten();
        fleet.run(1_000, |_, _| is_lost());
        let isolated = instances / 2;
        for at_ms in 1..=8 {
            fleet.all[0].receive_limit(limit(at_ms, Some(4.7)));
            let is_cut_off = at_ms <= 4;
            fleet.run(ANNOUNCE_MS, |from, to| {
                is_cut_off && (from == isolated || to == isolated) || is_lost()
            });
        }
        assert_eq!(count_knowing(&fleet, limit(8, Some(4.7))), instances);
    }
}
