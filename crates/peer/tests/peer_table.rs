//! Which instances are named to callers, which are called, and which get heartbeats.

use peer::{MembershipSettings, PeerInfo, PeerTable};
use rand::SeedableRng;
use rand_pcg::Pcg64;
use wire::{Condition, Heartbeat};

const SETTINGS: MembershipSettings = MembershipSettings {
    suspect_ms: 1_000,
    fan_out: 3,
};

fn peer_info(number: usize, zone: &str) -> PeerInfo {
    PeerInfo {
        instance: format!("entry-{number}"),
        peer_address: format!("10.0.0.{number}:1"),
        zone: zone.to_owned(),
        last_heartbeat: None,
        leaving: false,
    }
}

fn heartbeat(number: usize, zone: &str, condition: Condition) -> Heartbeat {
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

fn fleet(zones: &[&str]) -> PeerTable {
    let mut peers = PeerTable::new(SETTINGS);
    let listed = zones
        .iter()
        .enumerate()
        .map(|(number, zone)| peer_info(number, zone));
    peers.apply_list(0, listed);
    for (number, zone) in zones.iter().enumerate() {
        peers.record_heartbeat(0, heartbeat(number, zone, Condition::Ready));
    }
    peers
}

fn ready_names(peers: &PeerTable, now_ms: u64) -> Vec<String> {
    let ready = peers.ready(now_ms, "b");
    ready
        .iter()
        .map(|heartbeat| heartbeat.instance.clone())
        .collect()
}

#[test]
fn ready_instances_of_the_own_zone_come_first() {
    let mut peers = fleet(&["a", "b", "a", "b"]);
    peers.record_heartbeat(500, heartbeat(0, "a", Condition::Ready));
    peers.record_heartbeat(500, heartbeat(1, "b", Condition::Leaving));
    peers.record_heartbeat(500, heartbeat(3, "b", Condition::Ready));
    assert_eq!(ready_names(&peers, 1_200), ["entry-3", "entry-0"]);
}

#[test]
fn a_resumed_instance_names_no_peer_before_its_next_heartbeat() {
    // After a pause, heartbeats from before it may look recent, because the clock may have stopped
    // or they were still in a socket buffer. The instance would name peers that have failed since.
    let mut peers = fleet(&["a", "b"]);
    peers.record_pause(100);
    assert!(ready_names(&peers, 150).is_empty());
    peers.record_heartbeat(160, heartbeat(1, "b", Condition::Ready));
    assert_eq!(ready_names(&peers, 170), ["entry-1"]);
}

#[test]
fn a_silent_instance_is_still_called_until_a_call_fails() {
    let mut peers = fleet(&["a", "b"]);
    assert!(ready_names(&peers, 5_000).is_empty());
    assert!(peers.address("entry-1", 7).is_some());
    assert!(peers.address("entry-1", 8).is_none());
    peers.record_failure("entry-1");
    assert!(peers.address("entry-1", 7).is_none());
}

#[test]
fn an_outdated_list_does_not_drop_a_live_instance() {
    let mut peers = fleet(&["a", "b"]);
    peers.record_heartbeat(900, heartbeat(1, "b", Condition::Ready));
    peers.apply_list(1_000, std::iter::once(peer_info(0, "a")));
    assert_eq!(ready_names(&peers, 1_100), ["entry-1"]);
}

#[test]
fn heartbeats_go_to_all_zones_in_a_small_fleet_and_mostly_to_the_own_zone_in_a_large_one() {
    let mut rng = Pcg64::seed_from_u64(1);
    let small = fleet(&["a", "b", "c", "a", "b", "c", "a", "b"]);
    let mut reached = std::collections::BTreeSet::new();
    for _ in 0..40 {
        reached.extend(small.heartbeat_targets("a", &mut rng));
    }
    assert_eq!(reached.len(), 8);
    let zones: Vec<&str> = (0..60)
        .map(|number| if number < 20 { "a" } else { "b" })
        .collect();
    let large = fleet(&zones);
    for _ in 0..40 {
        let targets = large.heartbeat_targets("a", &mut rng);
        let near = targets
            .iter()
            .filter(|address| (0..20).any(|number| **address == format!("10.0.0.{number}:1")));
        assert_eq!((targets.len(), near.count()), (3, 2));
    }
}
