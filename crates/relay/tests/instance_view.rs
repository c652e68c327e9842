//! What an instance takes from the store, and keeps.

mod common;

use std::rc::Rc;

use common::{PROCESS_AGE, TestDialect, config, settings};
use relay::Relay;
use relay::config::{Config, Limits, Route, RouteKind, Target};
use relay::directory::addresses;
use relay::members::{Member, Members};
use relay::upstream::{PrefillProgress, Stage, UpstreamEntry, UpstreamState};
use relay::upstreams::{Effect, ListChange, Upstreams};
use tick::Clock;
use view::InstanceKey;

fn entry(id: &str, seq: u64, standing: UpstreamState) -> UpstreamEntry {
    UpstreamEntry {
        id: id.to_owned(),
        service: "desk".to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "here".to_owned(),
        slots: 4,
        state: standing,
        stage: Stage::Whole,
        seq,
        is_spot: false,
        started_ms: 0,
    }
}

fn ready(upstreams: &Upstreams, now_ms: u64) -> Vec<String> {
    upstreams
        .ready("desk", now_ms)
        .map(|each| each.id.clone())
        .collect()
}

/// Callers must not see an older version after a newer one: it is passed over, wherever it
/// comes from, such as a store that hands out its history again.
#[test]
fn a_configuration_never_goes_back() {
    let relay = Relay::new(settings(), Rc::new(TestDialect), Clock::default());
    assert!(!relay.is_ready());
    assert!(relay.configure(config(5)));
    assert!(!relay.configure(config(4)));
    assert!(!relay.configure(config(5)));
    assert_eq!(relay.config().unwrap().version, 5);
    assert!(relay.is_ready());
}

/// An entry that an upstream wrote before it said that it leaves comes after it. Taken as new it
/// would bring work to an upstream that is about to end.
#[test]
fn a_late_entry_does_not_bring_a_leaving_upstream_back() {
    let mut upstreams = Upstreams::new("here", Clock::default());
    upstreams.apply(0, ListChange::Put(entry("a", 3, UpstreamState::Ready)));
    upstreams.apply(0, ListChange::Put(entry("a", 5, UpstreamState::Leaving)));
    assert_eq!(
        upstreams.apply(0, ListChange::Put(entry("a", 4, UpstreamState::Ready))),
        Effect::Unchanged
    );
    assert_eq!(
        upstreams.apply(0, ListChange::Put(entry("a", 6, UpstreamState::Ready))),
        Effect::Unchanged
    );
    assert!(ready(&upstreams, 0).is_empty());
}

/// An upstream left and its entry was taken away; one of its older entries comes afterwards. A
/// later one means that it only lapsed and is back.
#[test]
fn a_late_entry_does_not_bring_back_one_that_is_gone() {
    let mut upstreams = Upstreams::new("here", Clock::default());
    upstreams.apply(0, ListChange::Put(entry("a", 3, UpstreamState::Ready)));
    assert_eq!(
        upstreams.apply(0, ListChange::Gone("a".to_owned())),
        Effect::Left
    );
    assert_eq!(
        upstreams.apply(0, ListChange::Put(entry("a", 3, UpstreamState::Ready))),
        Effect::Unchanged
    );
    assert!(ready(&upstreams, 0).is_empty());
    assert_eq!(
        upstreams.apply(0, ListChange::Put(entry("a", 4, UpstreamState::Ready))),
        Effect::Joined
    );
}

/// The store was away and all entries lapsed with it. Callers are served meanwhile, since the
/// upstreams live; one whose entry is not back after 2.6 s is gone.
#[test]
fn entries_that_lapse_with_the_store_are_used_for_a_while() {
    let mut upstreams = Upstreams::new("here", Clock::default());
    for id in ["a", "b"] {
        upstreams.apply(0, ListChange::Put(entry(id, 1, UpstreamState::Ready)));
    }
    upstreams.store_unreachable(10_000);
    for id in ["a", "b"] {
        let effect = upstreams.apply(10_100, ListChange::Gone(id.to_owned()));
        assert_eq!(effect, Effect::Unconfirmed);
    }
    assert_eq!(ready(&upstreams, 11_000).len(), 2);
    upstreams.apply(11_000, ListChange::Put(entry("a", 2, UpstreamState::Ready)));
    assert_eq!(ready(&upstreams, 12_500).len(), 2);
    assert_eq!(ready(&upstreams, 12_700), ["a"]);
    assert_eq!(upstreams.remove_lapsed(12_700), ["b"]);
}

/// An upstream leaves without a word 1.5 s after the store is back: its entry just goes. It must
/// not be taken for one that lapsed and be used for two more seconds, since by then it has ended.
#[test]
fn an_entry_that_goes_after_the_return_is_not_used_for_long() {
    let mut upstreams = Upstreams::new("here", Clock::default());
    upstreams.apply(0, ListChange::Put(entry("a", 1, UpstreamState::Ready)));
    upstreams.store_unreachable(10_000);
    upstreams.apply(11_500, ListChange::Gone("a".to_owned()));
    assert!(ready(&upstreams, 12_700).is_empty());
}

/// A leaving upstream's entry goes while the store is away: it is not one that lapsed.
#[test]
fn a_leaving_upstream_is_not_kept_through_an_outage() {
    let mut upstreams = Upstreams::new("here", Clock::default());
    upstreams.apply(0, ListChange::Put(entry("a", 1, UpstreamState::Ready)));
    upstreams.apply(0, ListChange::Put(entry("a", 2, UpstreamState::Leaving)));
    upstreams.store_unreachable(100);
    assert_eq!(
        upstreams.apply(150, ListChange::Gone("a".to_owned())),
        Effect::Left
    );
}

fn member(name: &str, zone: &str, ready: bool) -> Member {
    let port = 1_000 + u16::from(name.as_bytes()[0]);
    Member {
        name: name.to_owned(),
        address: format!("127.0.0.1:{port}").parse().unwrap(),
        gossip_address: None,
        zone: zone.to_owned(),
        ready,
        heartbeat_seq: 1,
        link_mbps: 20,
    }
}

/// Callers are not sent to an instance whose heartbeats stay away, also by one that nobody tells
/// anything; while heartbeats cannot be read at all, the silence says nothing and all stay.
#[test]
fn silent_instances_are_not_handed_out() {
    let mut members = Members::default();
    members.record_store_read(0);
    members.record_heartbeat(0, member("a", "here", true));
    members.record_heartbeat(0, member("b", "here", true));
    let later_ms = 4 * members.heartbeat_interval_ms();
    assert_eq!(members.reachable_count(), 2, "nothing was read since");
    members.record_store_read(later_ms);
    members.record_heartbeat(later_ms, member("a", "here", true));
    let names: Vec<&str> = members.ready().map(|each| each.name.as_str()).collect();
    assert_eq!(names, ["a"]);
    assert_eq!(members.reachable_count(), 1);
}

/// A caller hears of two instances at least: with only one, it has nowhere to go when it stops.
#[test]
fn callers_hear_of_near_instances_if_there_are_two() {
    let all = [
        member("b", "here", true),
        member("c", "there", true),
        member("d", "there", true),
    ];
    let own = member("a", "here", true);
    let near = addresses(all.iter(), &own, Some("here"));
    assert_eq!(near.len(), 2);
    let own = member("a", "here", false);
    let wide = addresses(all.iter(), &own, Some("here"));
    assert_eq!(wide.len(), 3, "an instance that leaves is not named");
}

/// Of the routes of a host the one with the longest prefix is taken, and only its weights decide
/// which service gets a request.
#[test]
fn routes_go_by_host_and_longest_prefix() {
    let route = |prefix: &str, targets: Vec<(&str, u32)>| Route {
        host: "h.test".to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Safe,
        targets: targets
            .into_iter()
            .map(|(service, weight)| Target {
                service: service.to_owned(),
                weight,
            })
            .collect(),
        ..Route::default()
    };
    let routes = vec![
        route("/a/", vec![("x", 1)]),
        route("/a/b/", vec![("y", 90), ("z", 10)]),
    ];
    let config = Config::new(1, routes, [].into(), Limits::default());
    assert_eq!(config.route("h.test", "/a/c").unwrap().prefix, "/a/");
    assert_eq!(config.route("h.test", "/a/b/c").unwrap().prefix, "/a/b/");
    assert!(config.route("h.test", "/a").is_none());
    assert!(config.route("other.test", "/a/c").is_none());
    let split = config.route("h.test", "/a/b/c").unwrap();
    let to_y = (0..1_000)
        .filter(|&draw| split.service(draw) == Some("y"))
        .count();
    assert_eq!(to_y, 900);
}

/// One of three instances is killed. Nobody tells of it any more, and callers are not sent there
/// a second later, before its heartbeats are missed.
#[test]
fn an_instance_of_which_nobody_tells_is_not_handed_out() {
    let mut members = Members::default();
    for name in ["a", "b", "c"] {
        members.record_heartbeat(0, member(name, "here", true));
        members.record_alive(0, InstanceKey::of(name));
    }
    for name in ["a", "b"] {
        members.record_alive(1_000, InstanceKey::of(name));
    }
    let mut names: Vec<&str> = members.reachable().map(|each| each.name.as_str()).collect();
    names.sort_unstable();
    assert_eq!(names, ["a", "b"]);
}

/// This instance hears nobody any more, though its callers still reach it. It is not the others that
/// are gone, and all that lived when it last heard are handed out.
#[test]
fn an_instance_that_hears_nobody_leaves_nobody_out() {
    let mut members = Members::default();
    for name in ["a", "b", "c"] {
        members.record_heartbeat(0, member(name, "here", true));
        members.record_alive(1_000, InstanceKey::of(name));
    }
    members.record_self_alive(60_000, InstanceKey::of("a"));
    assert!(members.is_isolated(60_000));
    assert_eq!(members.reachable().count(), 3);
}

/// An instance is killed for good, and its record stays in the store. One that starts later reads the
/// record, hears of all others but of that one, and does not hand it out for long.
#[test]
fn the_record_of_one_that_is_gone_is_not_believed_for_long() {
    let mut members = Members::default();
    members.record_store_read(0);
    for name in ["a", "gone"] {
        members.record_heartbeat(0, member(name, "here", true));
    }
    for now_ms in (100..=2_000).step_by(100) {
        members.record_alive(now_ms, InstanceKey::of("a"));
    }
    let names: Vec<&str> = members.reachable().map(|each| each.name.as_str()).collect();
    assert_eq!(names, ["a"]);
}

/// An instance says that it leaves, and what it said before is still on its way through the others. It
/// is not handed out again by the older word, whichever comes last and over whichever way.
#[test]
fn an_older_word_of_an_instance_changes_nothing() {
    let mut members = Members::default();
    let says = |beat, ready| Member {
        heartbeat_seq: beat,
        ..member("a", "here", ready)
    };
    assert!(members.receive_heartbeat(0, &says(7, true)));
    assert!(members.receive_heartbeat(10, &says(8, false)));
    assert!(!members.receive_heartbeat(20, &says(7, true)));
    members.record_heartbeat(30, says(7, true));
    assert_eq!(members.reachable().count(), 0);
}

/// All instances are restarted at once while upstreams fail. None knows the others yet, and if
/// each took the whole budget of repeats they would send six times what is allowed.
#[test]
fn an_instance_that_knows_nobody_repeats_nothing() {
    let relay = Relay::new(settings(), Rc::new(TestDialect), Clock::of_age(PROCESS_AGE));
    relay.count_first_send("desk");
    assert!(!relay.take_retry("desk"));
    let own = relay.heartbeat();
    relay
        .members
        .borrow_mut()
        .record_heartbeat(relay.now_ms(), own);
    assert!(relay.take_retry("desk"));
}

/// An upstream starts again under its id and counts its entries from one. Callers are served by it as
/// soon as its entry is read; taken for the old one, it would be passed over until it had written as
/// many entries as before. What it held is forgotten, and a late entry of its first life changes
/// nothing.
#[test]
fn a_restart_under_the_same_id_is_another_incarnation() {
    let born = |born_ms, seq, standing| UpstreamEntry {
        started_ms: born_ms,
        ..entry("a", seq, standing)
    };
    let mut upstreams = Upstreams::new("here", Clock::default());
    upstreams.apply(0, ListChange::Put(born(1_000, 90, UpstreamState::Ready)));
    let first = Rc::clone(upstreams.get("a").unwrap());
    first.note_cached_part(7, 13_000.0, PrefillProgress::Done, 100_000.0);
    upstreams.apply(0, ListChange::Put(born(1_000, 91, UpstreamState::Leaving)));
    assert!(ready(&upstreams, 0).is_empty());
    let effect = upstreams.apply(0, ListChange::Put(born(5_000, 1, UpstreamState::Ready)));
    assert_eq!(effect, Effect::Joined);
    assert_eq!(ready(&upstreams, 0), ["a"]);
    assert!(upstreams.get("a").unwrap().cached_tokens(7) < 1.0);
    let late = upstreams.apply(0, ListChange::Put(born(1_000, 92, UpstreamState::Leaving)));
    assert_eq!(late, Effect::Unchanged);
    assert_eq!(ready(&upstreams, 0), ["a"]);
    assert!(
        !first.is_ready(),
        "requests of its first life do not come back to it"
    );
}
