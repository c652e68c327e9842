//! State that an instance applies from the store and from peers, and how long it relies on it.

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

fn entry(id: &str, seq: u64, state: UpstreamState) -> UpstreamEntry {
    UpstreamEntry {
        id: id.to_owned(),
        service: "desk".to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "here".to_owned(),
        slots: 4,
        state,
        stage: Stage::Whole,
        seq,
        version: String::new(),
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

/// Guards against serving callers by an older configuration after a newer one, such as from a store
/// that returns its history again. An older version is ignored, whatever its source.
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

/// Guards against sending requests to an upstream that is leaving, because an entry that it wrote
/// before announcing this arrives later.
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

/// The same after the entry was removed: an older entry changes nothing. A later one means that the
/// entry had only lapsed, and the upstream is back.
#[test]
fn a_late_entry_does_not_bring_a_removed_upstream_back() {
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

/// Guards against refusing callers after a store outage in which all entries lapsed while the
/// upstreams kept running. They stay in use, unconfirmed; one whose entry isn't back after 2.6 s is
/// removed.
#[test]
fn entries_that_lapse_in_an_outage_are_used_for_a_while() {
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

/// Guards against taking an upstream that ended for one whose entry lapsed. Its entry is removed
/// 1.5 s after the store was last unreachable; kept as unconfirmed, it would get requests for two
/// more seconds.
#[test]
fn an_entry_removed_after_an_outage_is_not_used_for_long() {
    let mut upstreams = Upstreams::new("here", Clock::default());
    upstreams.apply(0, ListChange::Put(entry("a", 1, UpstreamState::Ready)));
    upstreams.store_unreachable(10_000);
    upstreams.apply(11_500, ListChange::Gone("a".to_owned()));
    assert!(ready(&upstreams, 12_700).is_empty());
}

/// The entry of an upstream that announced its leaving is removed while the store is unreachable:
/// it hasn't lapsed.
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

/// Guards against sending callers to an instance without heartbeats, also one that gets no gossip.
/// While no heartbeats can be read at all, silence is no sign of failure and all instances stay
/// listed.
#[test]
fn instances_without_heartbeats_are_not_named_to_callers() {
    let mut members = Members::default();
    members.record_store_read(0);
    members.record_heartbeat(0, member("a", "here", true));
    members.record_heartbeat(0, member("b", "here", true));
    let later_ms = 4 * members.heartbeat_interval_ms();
    assert_eq!(members.reachable_count(), 2, "no heartbeat was read since");
    members.record_store_read(later_ms);
    members.record_heartbeat(later_ms, member("a", "here", true));
    let names: Vec<&str> = members.ready().map(|each| each.name.as_str()).collect();
    assert_eq!(names, ["a"]);
    assert_eq!(members.reachable_count(), 1);
}

/// Callers are given two instances at least, from other zones if need be: with only one they have
/// no address left when it stops.
#[test]
fn callers_get_near_instances_if_there_are_two() {
    let all = [
        member("b", "here", true),
        member("c", "there", true),
        member("d", "there", true),
    ];
    let own = member("a", "here", true);
    let near = addresses(all.iter(), &own, Some("here"), &[]);
    assert_eq!(near.len(), 2);
    let own = member("a", "here", false);
    let wide = addresses(all.iter(), &own, Some("here"), &[]);
    assert_eq!(wide.len(), 3, "a leaving instance is not named");
}

/// The route with the longest matching prefix of the host is used, and only its weights decide
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

/// Guards against sending callers to an instance that was killed. No gossip names it any more, and
/// it is left out a second later, before its heartbeats are missed.
#[test]
fn an_instance_missing_from_gossip_is_not_named_to_callers() {
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

/// Guards against an instance that is cut off from gossip and considers all peers gone. Callers
/// still reach it, and it keeps listing all peers that were alive when it last received a message.
#[test]
fn an_isolated_instance_leaves_no_peer_out() {
    let mut members = Members::default();
    for name in ["a", "b", "c"] {
        members.record_heartbeat(0, member(name, "here", true));
        members.record_alive(1_000, InstanceKey::of(name));
    }
    members.record_self_alive(60_000, InstanceKey::of("a"));
    assert!(members.is_isolated(60_000));
    assert_eq!(members.reachable().count(), 3);
}

/// Guards against naming an instance to callers that was killed and whose record stays in the
/// store. A later one reads the record, gets gossip of all but that instance, and soon leaves it
/// out.
#[test]
fn the_record_of_a_killed_instance_is_not_trusted_for_long() {
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

/// Guards against listing a leaving instance a second time because an older heartbeat of it arrives
/// late through a peer or from the store.
#[test]
fn an_older_heartbeat_changes_nothing() {
    let mut members = Members::default();
    let heartbeat = |heartbeat_seq, ready| Member {
        heartbeat_seq,
        ..member("a", "here", ready)
    };
    assert!(members.receive_heartbeat(0, &heartbeat(7, true)));
    assert!(members.receive_heartbeat(10, &heartbeat(8, false)));
    assert!(!members.receive_heartbeat(20, &heartbeat(7, true)));
    members.record_heartbeat(30, heartbeat(7, true));
    assert_eq!(members.reachable().count(), 0);
}

/// Guards against exceeding the retry budget when all instances restart at once while upstreams
/// fail: none knows its peers yet, and if each took the whole budget they would send six times what
/// is allowed.
#[test]
fn an_instance_without_known_peers_makes_no_retries() {
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

/// Guards against ignoring an upstream that restarts under the same id and with sequence number
/// one, until it reaches the number of the old incarnation. The new incarnation is used at once,
/// without the prompt parts that the old one held, and a late entry of the old one changes nothing.
#[test]
fn a_restart_under_the_same_id_is_another_incarnation() {
    let entry_of = |started_ms, seq, state| UpstreamEntry {
        started_ms,
        ..entry("a", seq, state)
    };
    let mut upstreams = Upstreams::new("here", Clock::default());
    upstreams.apply(
        0,
        ListChange::Put(entry_of(1_000, 90, UpstreamState::Ready)),
    );
    let first = Rc::clone(upstreams.get("a").unwrap());
    first.note_cached_part(7, 13_000.0, PrefillProgress::Done, 100_000.0);
    upstreams.apply(
        0,
        ListChange::Put(entry_of(1_000, 91, UpstreamState::Leaving)),
    );
    assert!(ready(&upstreams, 0).is_empty());
    let effect = upstreams.apply(0, ListChange::Put(entry_of(5_000, 1, UpstreamState::Ready)));
    assert_eq!(effect, Effect::Joined);
    assert_eq!(ready(&upstreams, 0), ["a"]);
    assert!(upstreams.get("a").unwrap().cached_tokens(7) < 1.0);
    let late = upstreams.apply(
        0,
        ListChange::Put(entry_of(1_000, 92, UpstreamState::Leaving)),
    );
    assert_eq!(late, Effect::Unchanged);
    assert_eq!(ready(&upstreams, 0), ["a"]);
    assert!(
        !first.is_ready(),
        "a request of the old incarnation must not return to the new one"
    );
}
