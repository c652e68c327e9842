//! Instances that tell each other what they know.

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

/// Callers of an instance that starts while the store is away are served: it asks one that has
/// been running, and takes over its configuration and upstreams. Before, it refused them all
/// until the store was back.
#[actix_rt::test]
async fn an_instance_that_starts_without_the_store_asks_another() {
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

    let mut told = settings();
    told.seeds = vec![peer];
    let new = TestInstance::unconfigured(told);
    let (status, _) = new.fetch(request(Method::GET, "/reads/x", "1")).await;
    assert_eq!(status, 503);
    query_peer(&new.relay).await;
    assert!(new.relay.is_ready());
    let (status, _) = new.fetch(request(Method::GET, "/reads/x", "2")).await;
    assert_eq!(status, 200);
}

fn relay(name: &str) -> Rc<Relay> {
    let mut told = settings();
    name.clone_into(&mut told.name);
    Relay::new(told, Rc::new(TestDialect), Clock::default())
}

/// Two instances send to one engine. What one has outstanding there counts in the other's view,
/// until it says that it has nothing any more.
#[actix_rt::test]
async fn the_load_of_others_is_seen() {
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
    let seen = |relay: &Relay| {
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
    assert!(wait_until(|| (seen(&two) - 5_000.0).abs() < 1.0).await);
    drop(guard);
    assert!(wait_until(|| seen(&two) < 1.0).await);
}

/// One read of this instance fails while its list of upstreams is up to date; the instance that it
/// asks has an older list, without the upstream that has just joined. It must stay in use.
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
    let mut told = relay.snapshot();
    told.upstreams.clear();
    told.list_age_ms = Some(1_000);
    relay::snapshot::merge(&relay, &told, "127.0.0.1:1".parse().unwrap());
    assert_eq!(relay.upstreams.borrow().len(), 1);
}

fn told(sender: &str, change: ListChange, doubt_ms: u32) -> GossipMessage {
    let news = GossipedChange {
        previous_offset: 1,
        offset: 2,
        change,
        unconfirmed_ms: doubt_ms,
    };
    GossipMessage {
        list_changes: vec![news],
        ..GossipMessage::new(InstanceKey::of(sender), MessageKind::Sum)
    }
}

/// A relay that has read a list with one engine.
fn knowing_one() -> (StubUpstream, Rc<Relay>) {
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

/// This instance is cut off from the store while another one reads there that an upstream has gone. It was
/// told so by one that reaches the store, where nothing lapsed, and sends nothing there any more; by its
/// own doubt it would go on for seconds.
#[actix_rt::test]
async fn what_a_reader_saw_go_is_gone_for_one_that_is_cut_off() {
    let (_engine, relay) = knowing_one();
    let now_ms = relay.now_ms();
    relay.upstreams.borrow_mut().store_unreachable(now_ms);
    let gone = ListChange::Gone("one".to_owned());
    relay.receive_gossip(&told("b", gone, 0), "127.0.0.1:1".parse().unwrap());
    assert_eq!(ready(&relay), 0);
}

/// The store was away for all, and entries lapsed with it. Who hears of it from the reader doubts as well,
/// and keeps the upstream for a while; else nobody would be left to serve.
#[actix_rt::test]
async fn what_may_have_lapsed_for_all_is_kept() {
    let (_engine, relay) = knowing_one();
    let now_ms = relay.now_ms();
    relay.upstreams.borrow_mut().store_unreachable(now_ms);
    let gone = ListChange::Gone("one".to_owned());
    relay.receive_gossip(&told("b", gone, 2_000), "127.0.0.1:1".parse().unwrap());
    assert_eq!(ready(&relay), 1);
}

/// The store turned one instance away for some seconds and served the others. On its return that one is the
/// first to read that an upstream has gone, and doubts it. The others know that nothing lapsed meanwhile, and
/// send nothing there from now on; with the reader's doubt they would go on past the bound.
#[actix_rt::test]
async fn the_doubt_of_one_that_was_turned_away_is_not_shared() {
    let (_engine, relay) = knowing_one();
    let gone = ListChange::Gone("one".to_owned());
    relay.receive_gossip(&told("b", gone, 2_200), "127.0.0.1:1".parse().unwrap());
    assert_eq!(ready(&relay), 0);
}
