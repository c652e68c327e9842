//! The peers that serve requests for instances that are cut off from upstreams.

use std::collections::{BTreeSet, HashMap};

use relay::directory::addresses;
use relay::helpers::{accepts, helpers};
use view::{InstanceKey, Member};

/// Availability zones.
const ZONES: usize = 3;

/// Most that one peer may get of an even share.
const MOST_OF_EVEN_SHARE: f64 = 2.5;

fn fleet(instances: usize) -> Vec<Member> {
    let member = |number: usize| {
        let address = format!("10.0.{}.{}:1", number / 200, number % 200);
        let address = address.parse().expect("an address");
        Member {
            name: format!("entry-{number}"),
            address,
            gossip_address: Some(address),
            zone: format!("zone-{}", number % ZONES),
            ready: true,
            heartbeat_seq: 1,
            link_mbps: 20,
        }
    };
    (0..instances).map(member).collect()
}

fn keys(members: &[Member], is_cut_off: impl Fn(usize) -> bool) -> BTreeSet<InstanceKey> {
    let cut_off = members
        .iter()
        .enumerate()
        .filter(|(number, _)| is_cut_off(*number));
    cut_off
        .map(|(_, member)| InstanceKey::of(&member.name))
        .collect()
}

/// The load of each peer, if each instance that is cut off spreads its own evenly over its peers.
fn loads(members: &[Member], cut_off: &BTreeSet<InstanceKey>) -> HashMap<String, f64> {
    let mut loads = HashMap::new();
    let in_need = members
        .iter()
        .filter(|member| cut_off.contains(&InstanceKey::of(&member.name)));
    for own in in_need {
        let chosen = helpers(members.iter(), own, cut_off);
        for peer in &chosen {
            *loads.entry(peer.name.clone()).or_default() += 1.0 / chosen.len() as f64;
        }
    }
    loads
}

/// Guards against peers that get much more than others of what instances hand over, at any fleet size and whoever is
/// cut off, and against instances that keep connections to all others.
#[test]
fn requests_handed_over_are_spread_evenly() {
    for instances in [7, 30, 90, 300] {
        let members = fleet(instances);
        let third = keys(&members, |number| number % 3 == 1 || number % 7 == 1);
        let zone = keys(&members, |number| number % ZONES == 0);
        let most_of_zone = keys(&members, |number| number % ZONES == 0 && number % 5 > 0);
        let most = keys(&members, |number| number % 4 > 0);
        for cut_off in [third, zone, most_of_zone, most] {
            let loads = loads(&members, &cut_off);
            let even = cut_off.len() as f64 / (instances - cut_off.len()) as f64;
            let worst = loads.values().copied().fold(0.0, f64::max);
            // A peer may at least take what one instance hands over, where there are few.
            assert!(
                worst <= (even * MOST_OF_EVEN_SHARE).max(1.0),
                "{instances}: {worst} of {even}"
            );
            let served: f64 = loads.values().sum();
            assert!((served - cut_off.len() as f64).abs() < 0.01);
            assert!(
                members
                    .iter()
                    .all(|own| helpers(members.iter(), own, &cut_off).len() <= 12)
            );
        }
    }
}

/// Guards against traffic between zones while a zone can help itself.
#[test]
fn peers_of_the_same_zone_help_first() {
    let members = fleet(30);
    let cut_off = keys(&members, |number| number == 0);
    let chosen = helpers(members.iter(), &members[0], &cut_off);
    assert!(chosen.iter().all(|peer| peer.zone == members[0].zone) && chosen.len() == 9);
    let all = keys(&members, |_| true);
    assert!(helpers(members.iter(), &members[0], &all).is_empty());
}

/// Guards against a helper whose own callers starve.
#[test]
fn a_helper_takes_a_bounded_share() {
    assert!(accepts(0, 31) && !accepts(0, 32));
    assert!(accepts(40, 111) && !accepts(40, 112));
}

/// Guards against callers sent to instances that reach no upstream, and against an empty answer when none does.
#[test]
fn the_directory_leaves_out_who_is_cut_off() {
    let members = fleet(9);
    let cut_off: Vec<InstanceKey> = keys(&members, |number| number < 3).into_iter().collect();
    let listed = addresses(members.iter(), &members[8], Some("zone-0"), &cut_off);
    assert_eq!(listed, [members[3].address, members[6].address]);
    let all: Vec<InstanceKey> = keys(&members, |_| true).into_iter().collect();
    let listed = addresses(members.iter(), &members[8], Some("zone-0"), &all);
    assert_eq!(listed.len(), 3);
}
