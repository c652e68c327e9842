//! Generations that wait at the instance until an engine has room.

mod common;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use common::{
    Action, EVENTS, Link, LinkState, ReceivedRequest, StubUpstream, TestInstance, config,
    generation_request, meet, settings, wait_until,
};
use http::Request;
use http_body_util::Full;
use relay::config::{Access, Config};
use relay::scheduling::SchedulingPart;
use relay::upstream::{Stage, UpstreamEntry};
use relay::upstreams::ListChange;
use relay::{Origin, Phase};

/// Requests for which an engine of one slot has room: one that runs and a short queue of one.
const PLACES: usize = 2;

/// A version whose public routes any caller may use, and which knows workspaces.
fn keyed(version: u64) -> Config {
    let mut routes: Vec<_> = config(version).all_routes().cloned().collect();
    for route in &mut routes {
        route.is_public = true;
    }
    let services = config(version).services().clone();
    Config::new(version, routes, services, relay::config::Limits::default())
        .with_access(Access::keyed(Vec::new()))
}

/// An engine of one slot that answers after `ms`.
fn engine(ms: u64) -> StubUpstream {
    StubUpstream::start(move |received| {
        let mut actions = vec![Action::Wait(ms)];
        actions.extend(received.response("200 OK", "", EVENTS));
        actions
    })
}

fn entry(stub: &StubUpstream, id: &str) -> UpstreamEntry {
    UpstreamEntry {
        slots: 1,
        ..stub.entry(id, "llm", Stage::Decode)
    }
}

fn waiting_instance(entries: Vec<UpstreamEntry>) -> Rc<TestInstance> {
    let instance = TestInstance::start(entries);
    assert!(instance.relay.configure(keyed(2)));
    Rc::new(instance)
}

fn short(id: usize) -> Request<Full<bytes::Bytes>> {
    generation_request("/once/x", id, 40)
}

/// Sends requests at the same time; the cells count their statuses 200 and 503.
fn send_all(instance: &Rc<TestInstance>, count: usize) -> Rc<[Cell<usize>; 2]> {
    let ends: Rc<[Cell<usize>; 2]> = Rc::default();
    for id in 0..count {
        let (instance, ends) = (Rc::clone(instance), Rc::clone(&ends));
        actix_rt::spawn(async move {
            let (status, _) = instance.fetch(short(id)).await;
            let end = &ends[usize::from(status != 200)];
            end.set(end.get() + 1);
        });
    }
    ends
}

fn metric(instance: &TestInstance, name: &str) -> String {
    let text = String::from_utf8(instance.relay.metrics_text()).expect("text");
    let lines = text
        .lines()
        .filter(|line| line.contains(name) && !line.starts_with('#'));
    lines.collect::<Vec<_>>().join("\n")
}

async fn fill(instance: &Rc<TestInstance>, stub: &StubUpstream) -> Rc<[Cell<usize>; 2]> {
    let ends = send_all(instance, PLACES + 2);
    assert!(wait_until(|| stub.count() == PLACES).await);
    actix_rt::time::sleep(Duration::from_millis(60)).await;
    assert_eq!(stub.count(), PLACES, "the others wait at the instance");
    ends
}

/// Guards against requests in the queue of a full engine, where their order is no longer decided here.
#[actix_rt::test]
async fn requests_wait_until_an_answer_frees_a_place() {
    let stub = engine(200);
    let instance = waiting_instance(vec![entry(&stub, "one")]);
    let ends = fill(&instance, &stub).await;
    assert!(metric(&instance, "waiting_requests").ends_with(" 2"));
    assert!(wait_until(|| ends[0].get() == PLACES + 2).await);
    assert!(metric(&instance, "waited_seconds_count").ends_with(" 2"));
}

/// Guards against a change for deployments without workspaces, and for those that turn the part off.
#[actix_rt::test]
async fn nothing_waits_where_waiting_is_off() {
    let stub = engine(200);
    let open = Rc::new(TestInstance::start(vec![entry(&stub, "one")]));
    send_all(&open, PLACES + 2);
    assert!(wait_until(|| stub.count() == PLACES + 2).await);
    let off = engine(200);
    let scheduling = relay::SchedulingSettings::default().without(SchedulingPart::Waiting);
    let settings = relay::Settings {
        scheduling,
        ..settings()
    };
    let instance = TestInstance::start_with(settings, vec![entry(&off, "one")]);
    instance.relay.configure(keyed(2));
    send_all(&Rc::new(instance), PLACES + 2);
    assert!(wait_until(|| off.count() == PLACES + 2).await);
}

/// Guards against a refusal while another engine has room: a rejected request of a route with a single attempt is placed
/// there, within the retry budget.
#[actix_rt::test]
async fn a_rejected_request_is_placed_at_an_engine_with_room() {
    let full = StubUpstream::start(|received: &ReceivedRequest| {
        received.response("503 Service Unavailable", "x-not-run: 1\r\n", "")
    });
    let free = engine(1);
    let far = common::in_other_zone(entry(&free, "free"));
    let instance = waiting_instance(vec![entry(&full, "full"), far]);
    for id in 0..5 {
        assert_eq!(instance.fetch(short(id)).await.0, 200);
    }
    assert_eq!((full.count(), free.count()), (1, 5));
}

/// Guards against repeated sends to the only engine, which rejects: it counts as full, and the request is refused as not
/// run within its time.
#[actix_rt::test]
async fn a_full_engine_is_not_asked_blindly() {
    let full = StubUpstream::start(|received: &ReceivedRequest| {
        received.response("503 Service Unavailable", "x-not-run: 1\r\n", "")
    });
    let instance = waiting_instance(vec![entry(&full, "full")]);
    let began_ms = instance.relay.now_ms();
    let answer = instance.send(short(1)).await.expect("an answer");
    let took_ms = instance.relay.now_ms() - began_ms;
    assert_eq!(answer.status().as_u16(), 503);
    assert!(answer.headers().contains_key("retry-after"));
    assert!(took_ms < 3_000 * 3 / 4, "held for {took_ms} ms");
    assert!(
        (1..=6).contains(&full.count()),
        "sent {} times",
        full.count()
    );
}

/// Guards against places for callers that left.
#[actix_rt::test]
async fn a_caller_that_leaves_vanishes_from_the_queue() {
    let stub = engine(600);
    let instance = waiting_instance(vec![entry(&stub, "one")]);
    send_all(&instance, PLACES);
    assert!(wait_until(|| stub.count() == PLACES).await);
    let left = Duration::from_millis(150);
    let leaving = actix_rt::time::timeout(left, instance.fetch(short(9)));
    assert!(leaving.await.is_err(), "it waits");
    assert!(wait_until(|| metric(&instance, "waiting_requests").ends_with(" 0")).await);
    actix_rt::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(stub.count(), PLACES);
}

/// Guards against requests that a stopping instance holds until its process ends.
#[actix_rt::test]
async fn a_planned_stop_refuses_what_cannot_be_placed() {
    for phase in [Phase::Leaving, Phase::Closing] {
        let stub = engine(500);
        let instance = waiting_instance(vec![entry(&stub, "one")]);
        let ends = fill(&instance, &stub).await;
        instance.relay.enter(phase);
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(ends[1].get(), 2, "refused at once");
        assert!(
            wait_until(|| ends[0].get() == PLACES).await,
            "what runs ends"
        );
        assert!(metric(&instance, "queue_refusals_total").contains("stopping"));
    }
}

/// Guards against requests that go on waiting for room at a service that no longer has them wait.
#[actix_rt::test]
async fn a_changed_configuration_places_them_anew() {
    let stub = engine(500);
    let instance = waiting_instance(vec![entry(&stub, "one")]);
    fill(&instance, &stub).await;
    assert!(instance.relay.configure(config(3)));
    assert!(wait_until(|| stub.count() == PLACES + 2).await);
}

/// Guards against a wait for room while a new engine is idle.
#[actix_rt::test]
async fn a_new_engine_takes_what_waits() {
    let (stub, new) = (engine(500), engine(1));
    let instance = waiting_instance(vec![entry(&stub, "one")]);
    fill(&instance, &stub).await;
    let put = ListChange::Put(entry(&new, "new"));
    instance.relay.apply_change(put, Origin::Read);
    actix_rt::time::sleep(Duration::from_millis(200)).await;
    assert_eq!((stub.count(), new.count()), (PLACES, 2));
}

/// Guards against a wait for engines that accept no requests: the caller is told at once for how long they rest, or
/// that none is free if a rate limit is used up.
#[actix_rt::test]
async fn upstreams_that_rest_or_are_limited_end_the_wait() {
    for is_limit in [false, true] {
        let stub = engine(500);
        let instance = waiting_instance(vec![entry(&stub, "one")]);
        let ends = fill(&instance, &stub).await;
        let relay = &instance.relay;
        let upstream = relay.upstreams.borrow().get("one").cloned().expect("it");
        if is_limit {
            relay.record_rate_limit(&upstream, Some(0.0));
        } else {
            upstream.extend_rest(relay.now_ms(), 800);
        }
        actix_rt::time::sleep(Duration::from_millis(120)).await;
        assert_eq!(ends[1].get(), 2, "limit: {is_limit}");
        assert_eq!(stub.count(), PLACES);
        let reason = if is_limit { "no_upstream" } else { "resting" };
        assert!(metric(&instance, "chicoryrack_refusals_total").contains(reason));
    }
}

/// Guards against requests that wait at an instance without a path to engines, while a peer could have them served.
#[actix_rt::test]
async fn an_instance_that_is_cut_off_hands_over_what_waits() {
    let (busy, other) = (engine(2_500), engine(1));
    let link = Link::open(busy.address);
    let own = link.entry(entry(&busy, "busy"));
    let cut_off = Rc::new(TestInstance::start_peer("a", "here", vec![own]).await);
    let entries = vec![entry(&busy, "busy"), entry(&other, "other")];
    let peer = Rc::new(TestInstance::start_peer("b", "here", entries).await);
    for instance in [&cut_off, &peer] {
        assert!(instance.relay.configure(keyed(2)));
    }
    meet(&[&cut_off, &peer]).await;
    let ends = fill(&cut_off, &busy).await;
    let at_peer = peer.relay.upstreams.borrow().get("busy").cloned();
    at_peer
        .expect("it")
        .extend_rest(peer.relay.now_ms(), 10_000);
    link.set(LinkState::Hanging);
    // The peer goes on to hear engines of the service.
    let heard = async {
        loop {
            peer.fetch(short(50)).await;
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let served = wait_until(|| ends[0].get() >= 2);
    tokio::select! {
        is_served = served => assert!(is_served, "{ends:?}"),
        () = heard => {}
    }
    assert!(metric(&cut_off, "handed_over_total").contains("answered"));
}

/// Guards against requests that are drawn to an engine which has a free place because it is silent.
#[actix_rt::test]
async fn a_stalled_engine_has_no_room() {
    let (silent, sound) = (engine(4_000), engine(300));
    let instance = waiting_instance(vec![entry(&silent, "silent"), entry(&sound, "sound")]);
    let relay = &instance.relay;
    let upstream = |id: &str| relay.upstreams.borrow().get(id).cloned().expect("listed");
    for id in ["silent", "sound"] {
        let usual = plan::Pace::from_percent(100.0).expect("in bounds");
        upstream(id).note_pace(relay.now_ms(), usual);
    }
    upstream("sound").extend_rest(relay.now_ms(), 100);
    let send = |id: usize| {
        let instance = Rc::clone(&instance);
        actix_rt::spawn(async move { instance.fetch(short(id)).await.0 })
    };
    let lost = send(0);
    assert!(wait_until(|| silent.count() == 1).await);
    assert!(!upstream("silent").is_stalled(relay.now_ms()));
    assert!(wait_until(|| upstream("silent").is_stalled(relay.now_ms())).await);
    let served = [send(1), send(2), send(3)];
    for each in served {
        assert_eq!(each.await.expect("no panic"), 200);
    }
    assert_eq!((silent.count(), sound.count()), (1, 3));
    lost.abort();
}
