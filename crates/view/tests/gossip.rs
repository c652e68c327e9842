//! The load and the liveness of peers as each instance sees them, in fleets of several sizes.

mod common;

use std::collections::HashSet;

use common::{Fleet, load, upstream};
use view::{InstanceKey, ServiceKey, Unreached, hubs};

/// Fleet sizes: two full meshes, and two with hubs.
const SIZES: [usize; 4] = [2, 7, 80, 295];

/// Number of upstreams.
const UPSTREAMS: usize = 192;

/// Time in which the load of one instance reaches all, in ms: a report, a sum, a digest, and their
/// transit.
const SPREAD_MS: u64 = 350;

fn never(_: usize, _: usize) -> bool {
    false
}

fn loaded_fleet(instances: usize) -> Fleet {
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

fn check_views(fleet: &Fleet) -> Result<(), String> {
    for index in 0..UPSTREAMS {
        let key = upstream(index);
        let total_requests = fleet.total_requests(key);
        let wrong = fleet
            .running()
            .find(|each| each.believed_requests(key) != total_requests);
        if let Some(wrong) = wrong {
            let believed = wrong.believed_requests(key);
            return Err(format!(
                "{}: {believed} of {total_requests}",
                wrong.member.name
            ));
        }
    }
    Ok(())
}

/// Guards against instances that choose an engine to which peers have just sent many requests. At
/// any fleet size, all must know the exact load, and load that ends must disappear from all views
/// at once.
#[test]
fn all_instances_know_all_loads() {
    for instances in SIZES {
        let mut fleet = loaded_fleet(instances);
        check_views(&fleet).unwrap_or_else(|why| panic!("{instances}: {why}"));
        let last = instances - 1;
        fleet.all[last].own.clear();
        fleet.all[0].own.push((upstream(1), load(9)));
        fleet.run(SPREAD_MS, never);
        check_views(&fleet).unwrap_or_else(|why| panic!("{instances}, later: {why}"));
    }
}

/// Guards against gossip that fills the links of 20 Mbit/s. What one instance sends must grow with
/// the square root of the fleet: per period a hub sends at most three times as many datagrams as
/// there are hubs, and less than half of what its link carries.
#[test]
fn sends_grow_with_the_square_root() {
    for instances in SIZES {
        let mut fleet = loaded_fleet(instances);
        let before: Vec<(usize, usize)> = fleet
            .all
            .iter()
            .map(|it| (it.sent, it.sent_bytes))
            .collect();
        fleet.run(1_000, never);
        let sent = fleet.all.iter().zip(&before);
        let max_sent = sent.clone().map(|(it, before)| it.sent - before.0).max();
        let max_bytes = sent.map(|(it, before)| it.sent_bytes - before.1).max();
        let root = hubs::count(instances);
        assert!(
            max_sent <= Some(20 * (3 * root)),
            "{instances}: {max_sent:?}"
        );
        assert!(max_bytes <= Some(1_000_000), "{instances}: {max_bytes:?}");
    }
}

/// Guards against a killed hub that takes its reporters out of the directory, or leaves them with
/// wrong loads. No live instance may become unreachable, and the killed one must be within three
/// seconds.
#[test]
fn killed_hub_is_replaced() {
    for instances in SIZES {
        let mut fleet = loaded_fleet(instances);
        let members: Vec<_> = fleet.all.iter().map(|each| each.member.clone()).collect();
        let hub = hubs::order(members.iter())[0].name.clone();
        let hub = members.iter().position(|each| each.name == hub).unwrap();
        fleet.all[hub].is_running = false;
        for _ in 0..30 {
            fleet.run(100, never);
            let lost = fleet.running().find(|each| {
                let live = members
                    .iter()
                    .enumerate()
                    .filter(|(index, _)| *index != hub);
                live.map(|(_, other)| &other.name)
                    .any(|name| !each.can_reach(name))
            });
            assert!(lost.is_none(), "{instances}: {}", lost.unwrap().member.name);
        }
        check_views(&fleet).unwrap_or_else(|why| panic!("{instances}: {why}"));
        if instances > 2 {
            let still_reach_it = fleet
                .running()
                .filter(|each| each.can_reach(&members[hub].name));
            assert_eq!(still_reach_it.count(), 0, "{instances}");
        }
    }
}

/// Guards against live instances that count as gone when a tenth of all datagrams is lost.
#[test]
fn lost_datagrams_silence_no_live_instance() {
    for instances in SIZES {
        let mut fleet = loaded_fleet(instances);
        let mut draw = 1_u64;
        for _ in 0..50 {
            fleet.run(100, |_, _| {
                draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                (draw >> 33).is_multiple_of(10)
            });
            let known = fleet.all.iter().map(|each| each.members.reachable_count());
            let min_known = known.min().unwrap();
            assert!(min_known * 50 >= instances * 49, "{instances}: {min_known}");
        }
        fleet.run(1_000, never);
        check_views(&fleet).unwrap_or_else(|why| panic!("{instances}: {why}"));
    }
}

/// Guards against wrong loads when instances disagree on who is a hub. Two instances do not know
/// the first hub, so they take another instance for a hub, which does not count itself as one.
#[test]
fn loads_are_exact_when_views_on_hubs_differ() {
    for instances in [80, 295] {
        let mut fleet = loaded_fleet(instances);
        let members: Vec<_> = fleet.all.iter().map(|each| each.member.clone()).collect();
        let order = hubs::order(members.iter());
        let hubs = hubs::count(instances);
        let differs =
            |it: &&view::Member| it.name == order[hubs].name || it.name == order[hubs + 9].name;
        for each in fleet.all.iter_mut().filter(|each| differs(&&each.member)) {
            each.members = view::Members::default();
            each.gossip = view::GossipState::default();
            for member in &order[1..] {
                each.members
                    .record_heartbeat(fleet.now_ms, (*member).clone());
            }
        }
        fleet.run(2_500, never);
        check_views(&fleet).unwrap_or_else(|why| panic!("{instances}: {why}"));
    }
}

/// Guards against callers sent to instances that are cut off from upstreams, and against instances that take a cut for
/// upstreams that are down: at any fleet size all know soon who is cut off, and when upstreams were last heard.
#[test]
fn all_instances_know_who_is_cut_off_and_what_is_heard() {
    let service = ServiceKey::of("llm");
    for instances in SIZES {
        let mut fleet = loaded_fleet(instances);
        let cut = instances / 2;
        for (index, each) in fleet.all.iter_mut().enumerate() {
            if index < cut {
                each.unreached = vec![service];
            } else {
                each.hears = vec![service];
            }
        }
        fleet.run(SPREAD_MS + 100, never);
        let now_ms = fleet.now_ms;
        for (index, each) in fleet.all.iter().enumerate() {
            let known: HashSet<Unreached> = each.gossip.unreached().collect();
            // An instance does not need word of itself.
            let others = (0..cut).filter(|other| *other != index);
            let missing = others.filter(|other| {
                let instance = InstanceKey::of(&fleet.all[*other].member.name);
                !known.contains(&Unreached { instance, service })
            });
            assert_eq!(missing.count(), 0, "{instances}: {index}");
            let is_only_one = instances - cut == 1 && index >= cut;
            let heard_ms = each.gossip.heard_ms(service).unwrap_or_default();
            assert!(
                is_only_one || now_ms - heard_ms <= SPREAD_MS,
                "{instances}: {index}"
            );
        }
        for each in &mut fleet.all {
            each.unreached.clear();
        }
        fleet.run(SPREAD_MS + 100, never);
        let left = fleet.all.iter().map(|each| each.gossip.unreached().count());
        assert_eq!(left.sum::<usize>(), 0, "{instances}: healed");
    }
}
