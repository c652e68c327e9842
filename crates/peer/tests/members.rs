//! Who is handed out, who is asked, and who gets heartbeats.

use peer::{Known, Members, Settings};
use rand::SeedableRng;
use rand_pcg::Pcg64;
use wire::{Condition, Heartbeat};

const SETTINGS: Settings = Settings {
    suspect_ms: 1_000,
    fan_out: 3,
};

fn known(number: usize, zone: &str) -> Known {
    Known {
        instance: format!("entry-{number}"),
        peer_address: format!("10.0.0.{number}:1"),
        zone: zone.to_owned(),
        heard: None,
        leaving: false,
    }
}

fn beat(number: usize, zone: &str, condition: Condition) -> Heartbeat {
    Heartbeat {
        instance: format!("entry-{number}"),
        incarnation: 7,
        zone: zone.to_owned(),
        condition,
        applied_offset: 1,
        epoch: 1,
        caller_address: format!("10.0.0.{number}:2"),
        sent_load: None,
        bundle_version: 1,
        prompt_rate: 0.0,
        output_rate: 0.0,
    }
}

fn fleet(zones: &[&str]) -> Members {
    let mut members = Members::new(SETTINGS);
    let listed = zones
        .iter()
        .enumerate()
        .map(|(number, zone)| known(number, zone));
    members.listed(0, listed);
    for (number, zone) in zones.iter().enumerate() {
        members.heard(0, beat(number, zone, Condition::Ready));
    }
    members
}

fn names(members: &Members, now_ms: u64) -> Vec<String> {
    let ready = members.ready(now_ms, "b");
    ready.iter().map(|beat| beat.instance.clone()).collect()
}

#[test]
fn the_own_zone_is_named_first_and_the_silent_and_leaving_are_not() {
    let mut members = fleet(&["a", "b", "a", "b"]);
    members.heard(500, beat(0, "a", Condition::Ready));
    members.heard(500, beat(1, "b", Condition::Leaving));
    members.heard(500, beat(3, "b", Condition::Ready));
    assert_eq!(names(&members, 1_200), ["entry-3", "entry-0"]);
}

#[test]
fn an_instance_that_wakes_up_names_nobody_until_it_hears_them_again() {
    // The process was paused. Its own clock may not show it, and heartbeats from before the
    // pause wait in its buffers; it would name instances that are gone by now.
    let mut members = fleet(&["a", "b"]);
    members.resumed(100);
    assert!(names(&members, 150).is_empty());
    members.heard(160, beat(1, "b", Condition::Ready));
    assert_eq!(names(&members, 170), ["entry-1"]);
}

#[test]
fn a_silent_instance_is_still_asked_until_a_message_fails() {
    let mut members = fleet(&["a", "b"]);
    assert!(names(&members, 5_000).is_empty());
    assert!(members.address("entry-1", 7).is_some());
    assert!(members.address("entry-1", 8).is_none());
    members.failed("entry-1");
    assert!(members.address("entry-1", 7).is_none());
}

#[test]
fn a_list_that_lags_does_not_drop_an_instance_that_is_heard() {
    let mut members = fleet(&["a", "b"]);
    members.heard(900, beat(1, "b", Condition::Ready));
    members.listed(1_000, std::iter::once(known(0, "a")));
    assert_eq!(names(&members, 1_100), ["entry-1"]);
}

#[test]
fn heartbeats_go_anywhere_in_a_small_fleet_and_mostly_near_in_a_large_one() {
    let mut rng = Pcg64::seed_from_u64(1);
    let small = fleet(&["a", "b", "c", "a", "b", "c", "a", "b"]);
    let mut reached = std::collections::BTreeSet::new();
    for _ in 0..40 {
        reached.extend(small.targets("a", &mut rng));
    }
    assert_eq!(reached.len(), 8);
    let zones: Vec<&str> = (0..60)
        .map(|number| if number < 20 { "a" } else { "b" })
        .collect();
    let large = fleet(&zones);
    for _ in 0..40 {
        let targets = large.targets("a", &mut rng);
        let near = targets
            .iter()
            .filter(|address| (0..20).any(|number| **address == format!("10.0.0.{number}:1")));
        assert_eq!((targets.len(), near.count()), (3, 2));
    }
}
