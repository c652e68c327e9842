//! The size of a fleet follows demand that swings, over minutes and through failures.

mod common;

use common::{Api, BOOT_MS, Replay, gossip, swings};
use duty::scale::{CapacityKind, ScalePlanner, SizeReason, ZoneTarget};

const MINUTE_MS: u64 = 60_000;

/// A fleet whose size has followed the swings for some minutes.
fn settled(engines: usize) -> Replay {
    let mut replay = Replay::new(engines, 4, ScalePlanner::following_demand());
    replay.run(4 * MINUTE_MS, swings(engines));
    replay
}

/// Guards against a fleet that is paid for without demand, and against one that saves at the
/// expense of callers.
#[test]
fn swings_are_served_with_two_thirds_of_the_fixed_fleet() {
    for engines in [30, 60, 89] {
        for zones in [3, 4] {
            let following = ScalePlanner::following_demand();
            let mut replay = Replay::new(engines, zones, following);
            let mut fixed = Replay::new(engines, zones, ScalePlanner::default());
            for each in [&mut replay, &mut fixed] {
                each.run(6 * MINUTE_MS, swings(engines));
            }
            let share = replay.engine_ms as f64 / fixed.engine_ms as f64;
            let of_start = replay.engine_ms as f64 / (engines as u64 * 6 * MINUTE_MS) as f64;
            println!(
                "{engines} engines, {zones} zones: {share:.3} of fixed, {of_start:.3} of start, peak use {:.2}, orders {} and {}",
                replay.max_utilization,
                replay.orders.len(),
                fixed.orders.len()
            );
            assert!(share <= 0.667, "{engines} {zones}: {share}");
            assert_eq!(replay.short_ms, 0);
            assert!(replay.max_utilization <= 0.7, "{}", replay.max_utilization);
        }
    }
}

/// Guards against a shortage that lasts longer than new engines need to boot after demand has
/// nearly doubled.
#[test]
fn step_is_served_within_a_boot_time() {
    for engines in [30, 60, 89] {
        let mut replay = settled(engines);
        let before = replay.serving();
        let swings = swings(engines);
        replay.run(MINUTE_MS, |now_ms| swings(now_ms).map(|part| part * 1.9));
        println!(
            "{engines}: {before} to {}, short {} ms, peak use {:.2}",
            replay.serving(),
            replay.short_ms,
            replay.max_utilization
        );
        assert!(replay.short_ms <= BOOT_MS, "{}", replay.short_ms);
        replay.max_utilization = 0.0;
        replay.run(MINUTE_MS, |now_ms| swings(now_ms).map(|part| part * 1.9));
        assert!(replay.max_utilization <= 0.7, "{}", replay.max_utilization);
    }
}

/// Guards against engines that are given back in a lull and ordered again in the next burst.
#[test]
fn swings_change_nothing_once_the_size_fits() {
    let mut replay = settled(89);
    replay.orders.clear();
    replay.run(5 * MINUTE_MS, swings(89));
    assert!(replay.orders.len() <= 4, "{:?}", replay.orders);
}

/// Guards against a zone that is emptied for its price, and against a loss that the rest cannot
/// bear.
#[test]
fn expensive_zones_shrink_first_and_keep_their_part() {
    let replay = settled(89);
    let spot = ["a", "b", "c", "d"].map(|zone| replay.spot(zone));
    let total: usize = spot.iter().sum();
    assert!(
        spot[2] < spot[1] && spot[2] * 4 * 4 >= total * 3 - 16,
        "{spot:?}"
    );
}

/// Guards against orders on a false figure of a moment or an invalid one, and against a fleet that
/// stays at its bound after a longer error.
#[test]
fn false_demand_is_bounded_and_forgotten() {
    let mut replay = settled(60);
    let (size, orders) = (replay.serving(), replay.orders.len());
    replay.run_told(500, Some(&gossip([5_000.0, 0.0])));
    for invalid in [f32::NAN, f32::INFINITY, -40.0] {
        replay.run_told(1_000, Some(&gossip([invalid, 1.0])));
    }
    replay.run(2_000, swings(60));
    assert_eq!((replay.serving(), replay.orders.len()), (size, orders));
    replay.run_told(6_000, Some(&gossip([5_000.0, 0.0])));
    assert_eq!(replay.serving(), 4 * 46);
    replay.run(4 * MINUTE_MS, swings(60));
    assert!(
        replay.serving() <= size + size / 12 + 1,
        "{}",
        replay.serving()
    );
}

/// Guards against engines given back because gossip is lost for a while, wholly or in part, or
/// because the fleet has just started.
#[test]
fn size_is_kept_while_demand_is_unknown() {
    let mut replay = Replay::new(89, 4, ScalePlanner::following_demand());
    replay.run_told(5 * MINUTE_MS, None);
    // The starting size and the reserve for the loss of one zone of four.
    assert_eq!(replay.serving(), (89 * 4_usize).div_ceil(3));
    let plan = replay.planner.last_plan().unwrap();
    assert_eq!(plan.reason, SizeReason::Unknown);
    let mut replay = settled(89);
    let size = replay.serving();
    replay.run_told(20_000, Some(&gossip([3.0, 2.0])));
    replay.run_told(MINUTE_MS, None);
    replay.run_told(29_000, Some(&gossip([3.0, 2.0])));
    assert_eq!(replay.serving(), size);
}

/// Guards against a shortage that lasts because an order was lost, or was accepted and forgotten.
#[test]
fn lost_and_late_orders_are_repeated() {
    for api in [Api::Silent, Api::Forgets] {
        let mut replay = settled(60);
        let doubled = |now_ms| swings(60)(now_ms).map(|part| part * 2.0);
        replay.api = api;
        replay.run(10_000, doubled);
        replay.api = Api::Works;
        let size = replay.serving();
        replay.run(3 * BOOT_MS + BOOT_MS + 2_000, doubled);
        let wanted = replay.planner.target_size().unwrap();
        assert!(replay.serving() >= wanted && wanted > size, "{api:?}");
    }
}

/// Guards against a shortage when a zone reclaims its engines and has no more for a minute, and
/// against a fleet that stays uneven, so that the next loss costs half of it.
#[test]
fn reclaimed_zone_is_covered_and_refilled() {
    for engines in [30, 60, 89] {
        let mut replay = settled(engines);
        let size = replay.serving();
        replay.max_utilization = 0.0;
        replay.reclaim("b");
        replay.run(MINUTE_MS, swings(engines));
        assert!(replay.max_utilization <= 0.9, "{}", replay.max_utilization);
        assert_eq!(replay.short_ms, 0);
        let wanted = replay.planner.target_size().unwrap();
        println!(
            "{engines}: {size}, then {}, peak use {:.2}",
            replay.serving(),
            replay.max_utilization
        );
        assert!(replay.serving() >= wanted);
        replay.restore();
        replay.run(2 * MINUTE_MS, swings(engines));
        assert!(replay.spot("b") * 8 >= replay.serving());
        assert!(replay.serving() <= size + size / 8, "{}", replay.serving());
    }
}

/// Guards against a fleet without engines where no zone has spot capacity for the demand.
#[test]
fn growth_without_spot_capacity_is_on_demand() {
    let mut replay = settled(60);
    replay.dry = vec!["a", "b", "c", "d"];
    replay.run(30_000, |now_ms| swings(60)(now_ms).map(|part| part * 2.5));
    let wanted = replay.planner.target_size().unwrap();
    assert!(replay.serving() >= wanted, "{wanted} {:?}", replay.zones);
}

/// Guards against an order that is lost because its holder ended after the record and before the
/// call, and against a successor that gives back before it knows the demand.
#[test]
fn successor_repeats_the_recorded_order_and_holds_the_size() {
    let mut replay = settled(89);
    let (size, starting) = (replay.serving(), replay.planner.starting_size().unwrap());
    let mut successor = ScalePlanner::following_demand();
    for zone in &replay.zones {
        let target = ZoneTarget {
            zone: zone.name.clone(),
            kind: CapacityKind::Spot,
            desired: zone.spot + 5,
        };
        successor.adopt_following(size + 20, starting, &target);
    }
    replay.planner = successor;
    replay.run(BOOT_MS + 500, swings(89));
    assert_eq!(replay.serving(), size + 20);
    replay.run_told(25_000, Some(&gossip([3.0, 2.0])));
    assert_eq!(replay.serving(), size + 20);
    replay.run(4 * MINUTE_MS, swings(89));
    assert!(replay.serving() < size + 20);
}

/// Guards against a successor with the part off that takes the size of the moment for the starting
/// size, and against one that gives back at once what an instance with the part off ordered.
#[test]
fn sizes_are_handed_on_between_instances_with_the_part_on_and_off() {
    let target = ZoneTarget {
        zone: "a".to_owned(),
        kind: CapacityKind::Spot,
        desired: 30,
    };
    let mut fixed = ScalePlanner::default();
    fixed.adopt_following(50, 89, &target);
    assert_eq!(fixed.target_size(), Some(89));
    let mut replay = Replay::new(89, 4, ScalePlanner::default());
    replay.run(MINUTE_MS, swings(89));
    let held = replay.serving();
    let mut following = ScalePlanner::following_demand();
    for zone in &replay.zones {
        let target = ZoneTarget {
            zone: zone.name.clone(),
            kind: CapacityKind::Spot,
            desired: zone.spot,
        };
        following.adopt(89, &target);
    }
    replay.planner = following;
    replay.run(29_000, swings(89));
    assert_eq!(replay.serving(), held);
    replay.run(5_000, swings(89));
    assert!(held - replay.serving() <= 89 / 12 + 1 && replay.serving() < held);
}
