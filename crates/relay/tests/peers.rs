//! State that instances exchange: snapshots for a peer that starts, outstanding load and changes of
//! the list.

mod common;

use std::rc::Rc;

use common::{StubUpstream, TestDialect, TestInstance, request, settings, wait_until};
use http::Method;
use relay::gossip;
use relay::listener::{ListenerKind, bind, serve};
use relay::members::Member;
use relay::snapshot::query_peer;
use relay::upstream::{InFlight, Stage, Work};
use relay::{Phase, Relay};
use tick::{Clock, since_boot_ms};
use tokio::sync::watch;
use view::{GossipMessage, GossipedChange, InstanceKey, ListChange, MessageKind};

/// Guards against an instance that starts during a store outage and refuses all callers until the
/// store is back: it queries a peer and applies its configuration and upstreams.
#[actix_rt::test]
async fn an_instance_that_starts_without_the_store_queries_a_peer() {
    let desk = StubUpstream::start(|received| received.response("200 OK", "", "ok"));
    let old = TestInstance::start(vec![desk.entry("one", "desk", Stage::Whole)]);
    old.relay
        .list_position
        .borrow_mut()
        .record_snapshot(since_boot_ms(), 1);
    let listener = bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let peer = listener.local_addr().unwrap();
    let (_phase, phases) = watch::channel(Phase::Serving);
    actix_rt::spawn(serve(
        Rc::clone(&old.relay),
        ListenerKind::Peers,
        listener,
        phases,
    ));

    let mut own = settings();
    own.seeds = vec![peer];
    let new = TestInstance::unconfigured(own);
    let (status, _) = new.fetch(request(Method::GET, "/reads/x", "1")).await;
    assert_eq!(status, 503);
    query_peer(&new.relay).await;
    assert!(new.relay.is_ready());
    let (status, _) = new.fetch(request(Method::GET, "/reads/x", "2")).await;
    assert_eq!(status, 200);
}

fn relay(name: &str) -> Rc<Relay> {
    let mut own = settings();
    name.clone_into(&mut own.name);
    Relay::new(own, Rc::new(TestDialect), Clock::default())
}

/// Two instances send to one engine. What one of them has outstanding there counts in the other's
/// view until gossip reports its completion.
#[actix_rt::test]
async fn the_load_from_peers_is_counted() {
    let engine = StubUpstream::start(|received| received.response("200 OK", "", "ok"));
    let (one, two) = (relay("a"), relay("b"));
    let sockets = [
        gossip::bind("127.0.0.1:0".parse().unwrap()).await.unwrap(),
        gossip::bind("127.0.0.1:0".parse().unwrap()).await.unwrap(),
    ];
    for relay in [&one, &two] {
        let entry = engine.entry("one", "llm", Stage::Prefill);
        relay.apply_change(
            relay::upstreams::ListChange::Put(entry),
            relay::Origin::Read,
        );
        let member = Member {
            name: "b".to_owned(),
            address: "127.0.0.1:2".parse().unwrap(),
            gossip_address: sockets[1].local_addr().ok(),
            zone: "here".to_owned(),
            ready: true,
            heartbeat_seq: 1,
            link_mbps: 20,
        };
        relay
            .members
            .borrow_mut()
            .record_heartbeat(relay.now_ms(), member);
    }
    actix_rt::spawn(gossip::send_periodically(
        Rc::clone(&one),
        Rc::clone(&sockets[0]),
    ));
    actix_rt::spawn(gossip::receive(Rc::clone(&two), Rc::clone(&sockets[1])));
    let queued_tokens = |relay: &Relay| {
        let upstreams = relay.upstreams.borrow();
        let now_ms = relay.now_ms();
        upstreams
            .get("one")
            .unwrap()
            .view(now_ms, 0.0, 0)
            .queued_tokens
    };
    let upstream = Rc::clone(one.upstreams.borrow().get("one").unwrap());
    let work = Work {
        prefill_tokens: 5_000.0,
        ..Work::default()
    };
    let guard = InFlight::begin(&upstream, one.now_ms(), work);
    assert!(wait_until(|| (queued_tokens(&two) - 5_000.0).abs() < 1.0).await);
    drop(guard);
    assert!(wait_until(|| queued_tokens(&two) < 1.0).await);
}

/// Guards against dropping an upstream that has just joined. A read fails while this instance's
/// list is up to date, and the peer that it queries has an older list without that upstream.
#[actix_rt::test]
async fn an_older_list_does_not_replace_a_newer_one() {
    let engine = StubUpstream::start(|received| received.response("200 OK", "", "ok"));
    let relay = relay("a");
    let entry = engine.entry("one", "llm", Stage::Prefill);
    relay.apply_change(
        relay::upstreams::ListChange::Put(entry),
        relay::Origin::Read,
    );
    relay
        .list_position
        .borrow_mut()
        .record_read(since_boot_ms(), 1, Some(1));
    let mut older = relay.snapshot();
    older.upstreams.clear();
    older.list_age_ms = Some(1_000);
    relay::snapshot::merge(&relay, &older, "127.0.0.1:1".parse().unwrap());
    assert_eq!(relay.upstreams.borrow().len(), 1);
}

fn gossip_of_change(sender: &str, change: ListChange, unconfirmed_ms: u32) -> GossipMessage {
    let gossiped = GossipedChange {
        previous_offset: 1,
        offset: 2,
        change,
        unconfirmed_ms,
    };
    GossipMessage {
        list_changes: vec![gossiped],
        ..GossipMessage::new(InstanceKey::of(sender), MessageKind::Sum)
    }
}

/// An instance that has read a list with one engine.
fn relay_with_engine() -> (StubUpstream, Rc<Relay>) {
    let engine = StubUpstream::start(|received| received.response("200 OK", "", "ok"));
    let relay = relay("a");
    relay.apply_change(
        ListChange::Put(engine.entry("one", "llm", Stage::Prefill)),
        relay::Origin::Read,
    );
    relay
        .list_position
        .borrow_mut()
        .record_read(since_boot_ms(), 1, Some(1));
    (engine, relay)
}

fn ready(relay: &Relay) -> usize {
    let now_ms = relay.now_ms();
    relay.upstreams.borrow().ready("llm", now_ms).count()
}

/// Guards against using a removed upstream for seconds in an instance that can't reach the store. A
/// peer that does reach it gossips the removal as certain, so the entry isn't kept as unconfirmed
/// here.
#[actix_rt::test]
async fn a_removal_read_by_a_peer_counts_without_the_store() {
    let (_engine, relay) = relay_with_engine();
    let now_ms = relay.now_ms();
    relay.upstreams.borrow_mut().store_unreachable(now_ms);
    let gone = ListChange::Gone("one".to_owned());
    relay.receive_gossip(
        &gossip_of_change("b", gone, 0),
        "127.0.0.1:1".parse().unwrap(),
    );
    assert_eq!(ready(&relay), 0);
}

/// Guards against dropping every upstream after an outage of the store for all instances. The
/// reader gossips a removal as unconfirmed, so the entry may only have lapsed and stays in use for
/// a while.
#[actix_rt::test]
async fn an_entry_that_may_have_lapsed_for_all_is_kept() {
    let (_engine, relay) = relay_with_engine();
    let now_ms = relay.now_ms();
    relay.upstreams.borrow_mut().store_unreachable(now_ms);
    let gone = ListChange::Gone("one".to_owned());
    relay.receive_gossip(
        &gossip_of_change("b", gone, 2_000),
        "127.0.0.1:1".parse().unwrap(),
    );
    assert_eq!(ready(&relay), 1);
}

/// Guards against using a removed upstream past the bound because one instance lost the store for
/// some seconds. It is the first to read the removal and holds it as unconfirmed; its peers reached
/// the store all along, know that nothing lapsed, and drop the upstream at once.
#[actix_rt::test]
async fn a_removal_is_certain_where_the_store_was_reachable() {
    let (_engine, relay) = relay_with_engine();
    let gone = ListChange::Gone("one".to_owned());
    relay.receive_gossip(
        &gossip_of_change("b", gone, 2_200),
        "127.0.0.1:1".parse().unwrap(),
    );
    assert_eq!(ready(&relay), 0);
}
