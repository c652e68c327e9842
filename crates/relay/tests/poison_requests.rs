//! Poison requests: requests that crash every upstream that starts to run them.
//!
//! The caller keeps retrying such a request, with a new attempt id each time and at any instance; the content
//! of the request stays the same.

mod common;

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use common::{
    Action, Ending, ReceivedRequest, StubUpstream, TestInstance, config, deliver_gossip, request,
    wait_until,
};
use http::{HeaderValue, Method, Request};
use http_body_util::Full;
use relay::config::{Config, Limits, Route};
use relay::upstream::Stage;
use relay::upstreams::ListChange;
use view::RequestKey;

/// Body of the request that no upstream survives.
const POISON: &str = "poison";

/// The most upstreams that may crash under one request.
const MAX_CRASHES: usize = 3;

fn poison_request(path: &str, attempt: usize) -> Request<Full<Bytes>> {
    let mut req = request(Method::POST, path, &attempt.to_string());
    *req.body_mut() = Full::from(POISON);
    req
}

fn poison_generation(attempt: usize) -> Request<Full<Bytes>> {
    let mut req = poison_request("/grades/1", attempt);
    let prompt = HeaderValue::from_static("7:50,8:40");
    req.headers_mut().insert("x-prompt", prompt);
    req
}

/// Serves all requests but the poison request, in whose response the process ends.
fn crash_on_poison(received: &ReceivedRequest) -> Vec<Action> {
    let events = "id: 1\ndata: 1\n\n";
    let head = "content-type: text/event-stream\r\n";
    if received.body == POISON {
        let whole = received.response_text("200 OK", head, events);
        let cut = whole.len() - events.len();
        return vec![Action::Write(whole[..cut].to_owned()), Action::Crash];
    }
    received.response("200 OK", head, events)
}

fn fleet(size: usize) -> Vec<StubUpstream> {
    (0..size)
        .map(|_| StubUpstream::start(crash_on_poison))
        .collect()
}

fn entries(
    fleet: &[StubUpstream],
    service: &str,
    stage: Stage,
) -> Vec<relay::upstream::UpstreamEntry> {
    let entry =
        |(index, stub): (usize, &StubUpstream)| stub.entry(&format!("u{index}"), service, stage);
    fleet.iter().enumerate().map(entry).collect()
}

/// Waits until the health checks of upstreams whose connections broke are done.
async fn health_checks_done(instance: &TestInstance) {
    let all_done = || {
        let upstreams = instance.relay.upstreams.borrow();
        upstreams.iter().all(|each| !each.is_health_check_running())
    };
    assert!(wait_until(all_done).await);
}

fn crash_count(fleet: &[StubUpstream]) -> usize {
    fleet.iter().filter(|stub| stub.has_crashed()).count()
}

/// Guards against a request that takes down the whole fleet. An engine crashes as it begins to respond; the
/// request is retried at another one, which crashes too, and the caller sends the same request under new
/// attempt ids. If each crash were attributed to the engine and none to the request, the request would reach
/// all engines. Other requests must still be served.
#[actix_rt::test]
async fn a_poison_generation_does_not_take_down_the_fleet() {
    let fleet = fleet(8);
    let instance = TestInstance::start(entries(&fleet, "llm", Stage::Decode));
    for attempt in 0..8 {
        instance.fetch(poison_generation(attempt)).await;
    }
    assert!(
        crash_count(&fleet) <= MAX_CRASHES,
        "{} crashed",
        crash_count(&fleet)
    );
    let mut harmless = request(Method::POST, "/grades/2", "other");
    let prompt = HeaderValue::from_static("7:50,8:40");
    harmless.headers_mut().insert("x-prompt", prompt);
    assert_eq!(instance.fetch(harmless).await.0, 200);
}

/// The same for a safe request without a stream: no response comes, and it is retried since it may
/// run twice.
#[actix_rt::test]
async fn a_poison_read_does_not_take_down_the_service() {
    let fleet = fleet(8);
    let instance = TestInstance::start(entries(&fleet, "desk", Stage::Whole));
    for attempt in 0..8 {
        instance.fetch(poison_request("/reads/1", attempt)).await;
    }
    assert!(
        crash_count(&fleet) <= MAX_CRASHES,
        "{} crashed",
        crash_count(&fleet)
    );
}

/// The same where the caller reaches another instance each time. Without gossip about crashes under a
/// request, each instance would start counting at zero.
#[actix_rt::test]
async fn crashes_under_a_request_are_gossiped() {
    let fleet = fleet(12);
    let instances: Vec<Rc<TestInstance>> = (0..4)
        .map(|_| Rc::new(TestInstance::start(entries(&fleet, "llm", Stage::Decode))))
        .collect();
    for (attempt, instance) in instances.iter().enumerate() {
        instance.fetch(poison_generation(attempt)).await;
        for other in &instances {
            if !Rc::ptr_eq(instance, other) {
                deliver_gossip(&instance.relay, &other.relay);
            }
        }
    }
    assert!(
        crash_count(&fleet) <= MAX_CRASHES,
        "{} crashed",
        crash_count(&fleet)
    );
}

/// An unsafe request runs once at the most, so an attempt is sent to one upstream. When its caller
/// sends it again after two crashes it is refused as not run, which is true of that attempt.
#[actix_rt::test]
async fn a_poison_claim_is_refused_as_not_run() {
    let fleet = fleet(8);
    let instance = TestInstance::start(entries(&fleet, "desk", Stage::Whole));
    let mut statuses = Vec::new();
    for attempt in 0..5 {
        statuses.push(instance.fetch(poison_request("/claims/1", attempt)).await.0);
        health_checks_done(&instance).await;
    }
    assert_eq!(crash_count(&fleet), 2);
    assert_eq!(statuses, [502, 502, 503, 503, 503]);
}

/// Guards against counting only crashes during decode. A prefill engine crashes; the prompt is then
/// sent to a decode engine, which prefills it and crashes too. Both count.
#[actix_rt::test]
async fn crashes_during_prefill_count() {
    let prefill_engines: Vec<StubUpstream> = (0..6)
        .map(|_| StubUpstream::start(|_| vec![Action::Crash]))
        .collect();
    let decode_engines = fleet(6);
    let mut all = entries(&prefill_engines, "llm", Stage::Prefill);
    let decode_entry = |(index, stub): (usize, &StubUpstream)| {
        stub.entry(&format!("m{index}"), "llm", Stage::Decode)
    };
    all.extend(decode_engines.iter().enumerate().map(decode_entry));
    let instance = TestInstance::start(all);
    for attempt in 0..6 {
        let mut req = poison_generation(attempt);
        let prompt = HeaderValue::from_static("7:13000,8:4000");
        req.headers_mut().insert("x-prompt", prompt);
        instance.fetch(req).await;
    }
    let crashes = crash_count(&prefill_engines) + crash_count(&decode_engines);
    assert!(crashes <= MAX_CRASHES, "{crashes} crashed");
}

/// Guards against refusing other requests after an engine crashed under a poison request: they are
/// served elsewhere, since a single crash is no reason to refuse a request.
#[actix_rt::test]
async fn other_requests_of_a_crashed_engine_are_served() {
    let fleet = fleet(3);
    let instance = TestInstance::start(entries(&fleet, "llm", Stage::Decode));
    instance.fetch(poison_generation(0)).await;
    for attempt in 1..5 {
        let mut req = request(Method::POST, "/grades/3", &attempt.to_string());
        let prompt = HeaderValue::from_static("7:50,8:40");
        req.headers_mut().insert("x-prompt", prompt);
        let (status, body) = instance.fetch(req).await;
        assert_eq!((status, body.is_some()), (200, true));
    }
}

/// An instance that starts, or comes back from a partition, learns the known poison requests with
/// the snapshot of a peer and refuses them without losing an engine.
#[actix_rt::test]
async fn a_starting_instance_learns_poison_requests_from_a_peer() {
    let fleet = fleet(8);
    let all = entries(&fleet, "llm", Stage::Decode);
    let old = TestInstance::start(all.clone());
    for attempt in 0..4 {
        old.fetch(poison_generation(attempt)).await;
        health_checks_done(&old).await;
    }
    let crashes = crash_count(&fleet);
    let new = TestInstance::start(all);
    let peer = "127.0.0.1:1".parse().expect("an address");
    relay::snapshot::merge(&new.relay, &old.relay.snapshot(), peer);
    assert_eq!(new.fetch(poison_generation(9)).await.0, 503);
    assert_eq!(crash_count(&fleet), crashes);
}

/// Guards against taking a broken connection for a crash. Healthy upstreams break the connection under
/// a safe request several times; it isn't poison, and is served in the end.
#[actix_rt::test]
async fn a_reset_connection_is_not_a_crash() {
    let resets_left = Rc::new(Cell::new(9));
    let resetting_upstream = || {
        let resets_left = Rc::clone(&resets_left);
        StubUpstream::start(move |received| {
            if resets_left.get() == 0 {
                return received.response("200 OK", "", "ok");
            }
            resets_left.set(resets_left.get() - 1);
            vec![Action::Close]
        })
    };
    let fleet: Vec<StubUpstream> = (0..5).map(|_| resetting_upstream()).collect();
    let instance = TestInstance::start(entries(&fleet, "desk", Stage::Whole));
    let mut statuses = Vec::new();
    for attempt in 0..6 {
        statuses.push(instance.fetch(poison_request("/reads/1", attempt)).await.0);
        health_checks_done(&instance).await;
    }
    assert_eq!(statuses, [502, 502, 502, 502, 200, 200]);
}

/// Guards against missing a crash because the upstream restarts at the same address before its
/// health check. The list names the new incarnation, and each one that ended counts.
#[actix_rt::test]
async fn an_upstream_that_restarts_at_once_counts_as_crashed() {
    let desk = StubUpstream::start(|_| vec![Action::Close]);
    let entry = |started_ms: u64| relay::upstream::UpstreamEntry {
        started_ms,
        ..desk.entry("desk", "desk", Stage::Whole)
    };
    let instance = TestInstance::start(vec![entry(0)]);
    let mut statuses = Vec::new();
    for attempt in 0..4 {
        statuses.push(instance.fetch(poison_request("/claims/1", attempt)).await.0);
        health_checks_done(&instance).await;
        instance.relay.apply_change(
            ListChange::Put(entry(1 + attempt as u64)),
            relay::Origin::Read,
        );
    }
    assert_eq!(statuses, [502, 502, 503, 503]);
}

/// Guards against a decode of a request that gossip names as poison during its prefill: it would
/// crash a third engine.
#[actix_rt::test]
async fn a_request_found_poisonous_during_prefill_gets_no_decode() {
    let prefill_engine = StubUpstream::start(|received| {
        let mut actions = vec![Action::Wait(300)];
        actions.extend(received.response("200 OK", "", "kv-1"));
        actions
    });
    let decode_engines = fleet(2);
    let mut all = entries(&decode_engines, "llm", Stage::Decode);
    all.push(prefill_engine.entry("prefill", "llm", Stage::Prefill));
    let instance = Rc::new(TestInstance::start(all));
    let mut req = poison_generation(0);
    let prompt = HeaderValue::from_static("7:13000,8:4000");
    req.headers_mut().insert("x-prompt", prompt);
    let answer = actix_rt::spawn({
        let instance = Rc::clone(&instance);
        async move { instance.fetch(req).await.0 }
    });
    assert!(wait_until(|| prefill_engine.count() == 1).await);
    let key = RequestKey::of("host.test", "POST", "/grades/1", POISON.as_bytes());
    instance.relay.learn_poison_requests(&[key]);
    assert_eq!(answer.await.expect("an answer"), 503);
    assert_eq!(crash_count(&decode_engines), 0);
}

/// Ways in which the process of an upstream ends.
const ENDINGS: [Ending; 7] = [
    Ending::Held(20),
    Ending::Held(400),
    Ending::Held(2_000),
    Ending::ClosingNew(20),
    Ending::ClosingNew(400),
    Ending::ClosingNew(2_000),
    Ending::Restart(40),
];

fn fleet_ending(size: usize, ending: Ending) -> Vec<StubUpstream> {
    (0..size)
        .map(|_| StubUpstream::start_ending(ending, crash_on_poison))
        .collect()
}

/// Entries with the start of the incarnation that the stubs tell in their reports.
fn started_entries(fleet: &[StubUpstream]) -> Vec<relay::upstream::UpstreamEntry> {
    let with_start = |entry| relay::upstream::UpstreamEntry {
        started_ms: 1,
        ..entry
    };
    entries(fleet, "desk", Stage::Whole)
        .into_iter()
        .map(with_start)
        .collect()
}

fn crashes(fleet: &[StubUpstream]) -> usize {
    fleet.iter().map(StubUpstream::crash_count).sum()
}

/// Guards against a request that takes down the whole service because connections to an upstream that is ending are
/// still established, or its successor listens at the address: neither shows that the process lives.
#[actix_rt::test]
async fn a_poison_read_does_not_take_down_upstreams_that_end_slowly() {
    let runs = ENDINGS.map(|ending| async move {
        let fleet = fleet_ending(8, ending);
        let instance = TestInstance::start(started_entries(&fleet));
        for attempt in 0..8 {
            instance.fetch(poison_request("/reads/1", attempt)).await;
        }
        (ending, crashes(&fleet))
    });
    for (ending, crashes) in futures_util::future::join_all(runs).await {
        assert!(crashes <= MAX_CRASHES, "{ending:?}: {crashes} crashed");
    }
}

/// Guards against the same where the caller reaches another instance each time, which knows of the losses by gossip
/// alone.
#[actix_rt::test]
async fn crashes_of_upstreams_that_end_slowly_are_gossiped() {
    let runs = ENDINGS.map(|ending| async move {
        let fleet = fleet_ending(12, ending);
        let instances: Vec<Rc<TestInstance>> = (0..4)
            .map(|_| Rc::new(TestInstance::start(started_entries(&fleet))))
            .collect();
        for (attempt, instance) in instances.iter().enumerate() {
            instance.fetch(poison_request("/reads/1", attempt)).await;
            for other in &instances {
                if !Rc::ptr_eq(instance, other) {
                    deliver_gossip(&instance.relay, &other.relay);
                }
            }
        }
        (ending, crashes(&fleet))
    });
    for (ending, crashes) in futures_util::future::join_all(runs).await {
        assert!(crashes <= MAX_CRASHES, "{ending:?}: {crashes} crashed");
    }
}

/// Guards against a third upstream that gets a request before the health check of the second is
/// done, where a route allows six attempts.
#[actix_rt::test]
async fn one_attempt_crashes_two_upstreams_at_the_most() {
    for (path, service, stage) in [
        ("/reads/1", "desk", Stage::Whole),
        ("/grades/1", "llm", Stage::Decode),
    ] {
        let fleet = fleet(8);
        let instance = TestInstance::start(entries(&fleet, service, stage));
        let default = config(2);
        let routes = default.all_routes().cloned().map(|route| Route {
            max_attempts: 6,
            ..route
        });
        let services = default.services().clone();
        let six_attempts = Config::new(2, routes.collect(), services, Limits::default());
        assert!(instance.relay.configure(six_attempts));
        let mut req = poison_request(path, 0);
        if stage == Stage::Decode {
            req = poison_generation(0);
        }
        instance.fetch(req).await;
        health_checks_done(&instance).await;
        assert_eq!(crash_count(&fleet), 2, "{path}");
    }
}

/// Time in which a sound request is served again after its upstreams are back, in ms.
const SERVED_AGAIN_MS: u64 = 6_000;

/// Crashes while it answers its first requests, and serves all later ones.
fn crash_once() -> impl Fn(&ReceivedRequest) -> Vec<Action> {
    let has_crashed = Cell::new(false);
    move |received| {
        if received.body.is_empty() || has_crashed.get() {
            return received.response("200 OK", "", "ok");
        }
        has_crashed.set(true);
        vec![Action::Wait(100), Action::Crash]
    }
}

/// Guards against a request that many callers send and that is refused for ever because all its upstreams ended at one
/// moment for another reason: nothing is sent any more whose answer could clear it.
#[actix_rt::test]
async fn a_sound_read_is_served_again_after_all_its_upstreams_ended_at_once() {
    let start = |_| StubUpstream::start_ending(Ending::Restart(300), crash_once());
    let fleet: Vec<StubUpstream> = (0..3).map(start).collect();
    let instance = TestInstance::start(started_entries(&fleet));
    let reads = (0..9).map(|attempt| instance.fetch(poison_request("/reads/1", attempt)));
    futures_util::future::join_all(reads).await;
    assert_eq!(crashes(&fleet), 3, "all have ended");
    for entry in started_entries(&fleet) {
        let entry = relay::upstream::UpstreamEntry {
            started_ms: 2,
            ..entry
        };
        instance
            .relay
            .apply_change(ListChange::Put(entry), relay::Origin::Read);
    }
    let back = std::time::Instant::now();
    let mut statuses = Vec::new();
    while statuses.last() != Some(&200) && back.elapsed().as_millis() < SERVED_AGAIN_MS.into() {
        let attempt = 100 + statuses.len();
        statuses.push(instance.fetch(poison_request("/reads/1", attempt)).await.0);
        actix_rt::time::sleep(std::time::Duration::from_millis(100)).await;
    }
    assert_eq!(statuses.last(), Some(&200), "{statuses:?}");
    assert_eq!(instance.relay.poison_requests(), []);
}
