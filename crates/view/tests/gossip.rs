//! What instances believe of each other's load and life, at several sizes.

mod common;

use common::{Fleet, load, upstream};
use view::hubs;

/// Sizes of fleets: each tells each, a few hubs, many.
const SIZES: [usize; 4] = [2, 7, 80, 295];

/// Upstreams of the fleet.
const UPSTREAMS: usize = 192;

/// Time in which what one has is known to all, in ms: its report, a sum, a digest, and their ways.
const KNOWN_MS: u64 = 350;

fn never(_: usize, _: usize) -> bool {
    false
}

fn loaded(instances: usize) -> Fleet {
    let mut fleet = Fleet::new(instances);
    for (index, each) in fleet.all.iter_mut().enumerate() {
        each.own = (0..4)
            .map(|nth| {
                (
                    upstream((index * 5 + nth * 31) % UPSTREAMS),
                    load(1 + nth as u32),
                )
            })
            .collect();
    }
    fleet.run(1_000, never);
    fleet
}

fn all_know(fleet: &Fleet) -> Result<(), String> {
    for index in 0..UPSTREAMS {
        let key = upstream(index);
        let truth = fleet.truth(key);
        let wrong = fleet.running().find(|each| each.believes(key) != truth);
        if let Some(wrong) = wrong {
            let believed = wrong.believes(key);
            return Err(format!("{}: {believed} of {truth}", wrong.member.name));
        }
    }
    Ok(())
}

/// Instances choose engines that others have just filled if they do not know of it. Whatever the size of
/// the fleet, all know exactly what all have, and what one gives up is gone from all views at once.
#[test]
fn each_knows_what_all_have() {
    for instances in SIZES {
        let mut fleet = loaded(instances);
        all_know(&fleet).unwrap_or_else(|why| panic!("{instances}: {why}"));
        let last = instances - 1;
        fleet.all[last].own.clear();
        fleet.all[0].own.push((upstream(1), load(9)));
        fleet.run(KNOWN_MS, never);
        all_know(&fleet).unwrap_or_else(|why| panic!("{instances}, later: {why}"));
    }
}

/// Three hundred instances on links of 20 Mbit a second, some of them hubs. What one sends grows with the
/// root of their number: each period a hub of 295 sends to three times as many as there are hubs at the
/// most, and it fills less than half of its link.
#[test]
fn no_instance_sends_to_all() {
    for instances in SIZES {
        let mut fleet = loaded(instances);
        let before: Vec<(usize, usize)> = fleet
            .all
            .iter()
            .map(|it| (it.sent, it.sent_bytes))
            .collect();
        fleet.run(1_000, never);
        let sent = fleet.all.iter().zip(&before);
        let most = sent.clone().map(|(it, before)| it.sent - before.0).max();
        let most_bytes = sent.map(|(it, before)| it.sent_bytes - before.1).max();
        let root = hubs::count(instances);
        assert!(most <= Some(20 * (3 * root)), "{instances}: {most:?}");
        assert!(most_bytes <= Some(1_000_000), "{instances}: {most_bytes:?}");
    }
}

/// A hub is killed. Those around it turn to another one, and all know again what all that live have. Nobody
/// that lives is left out of the directory meanwhile, and the dead one is within two seconds.
#[test]
fn a_hub_that_dies_takes_nobody_along() {
    for instances in SIZES {
        let mut fleet = loaded(instances);
        let members: Vec<_> = fleet.all.iter().map(|each| each.member.clone()).collect();
        let hub = hubs::order(members.iter())[0].name.clone();
        let hub = members.iter().position(|each| each.name == hub).unwrap();
        fleet.all[hub].runs = false;
        for _ in 0..30 {
            fleet.run(100, never);
            let lost = fleet.running().find(|each| {
                let live = members
                    .iter()
                    .enumerate()
                    .filter(|(index, _)| *index != hub);
                live.map(|(_, other)| &other.name)
                    .any(|name| !each.names(name))
            });
            assert!(lost.is_none(), "{instances}: {}", lost.unwrap().member.name);
        }
        all_know(&fleet).unwrap_or_else(|why| panic!("{instances}: {why}"));
        if instances > 2 {
            let names_it = fleet
                .running()
                .filter(|each| each.names(&members[hub].name));
            assert_eq!(names_it.count(), 0, "{instances}");
        }
    }
}

/// A tenth of all datagrams get lost. Views are behind by a period or two then, but nobody that lives is
/// taken for gone.
#[test]
fn lost_datagrams_take_nobody_for_gone() {
    for instances in SIZES {
        let mut fleet = loaded(instances);
        let mut draw = 1_u64;
        for _ in 0..50 {
            fleet.run(100, |_, _| {
                draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                (draw >> 33).is_multiple_of(10)
            });
            let known = fleet.all.iter().map(|each| each.members.reachable_count());
            let least = known.min().unwrap();
            assert!(least * 50 >= instances * 49, "{instances}: {least}");
        }
        fleet.run(1_000, never);
        all_know(&fleet).unwrap_or_else(|why| panic!("{instances}: {why}"));
    }
}

/// One instance does not know of the first hub, so it takes another one for a hub that does not take
/// itself for one, and reports there. All know all the same what all have.
#[test]
fn views_differ_on_who_is_a_hub() {
    for instances in [80, 295] {
        let mut fleet = loaded(instances);
        let members: Vec<_> = fleet.all.iter().map(|each| each.member.clone()).collect();
        let order = hubs::order(members.iter());
        let hubs = hubs::count(instances);
        let differs =
            |it: &&view::Member| it.name == order[hubs].name || it.name == order[hubs + 9].name;
        for each in fleet.all.iter_mut().filter(|each| differs(&&each.member)) {
            each.members = view::Members::default();
            each.shared = view::GossipState::default();
            for member in &order[1..] {
                each.members
                    .record_heartbeat(fleet.now_ms, (*member).clone());
            }
        }
        fleet.run(2_500, never);
        all_know(&fleet).unwrap_or_else(|why| panic!("{instances}: {why}"));
    }
}
