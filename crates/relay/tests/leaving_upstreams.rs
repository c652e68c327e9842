//! Upstreams that announce in their answers that they are leaving, while their entries still say ready.

mod common;

use std::rc::Rc;

use common::{
    Action, EVENTS, ReceivedRequest, StubUpstream, TestInstance, config, generation_request,
    in_other_zone, is_prefill, peer_member, read_request,
};
use futures_util::FutureExt;
use http::Request;
use http_body_util::Full;
use relay::pool::{ExchangeError, Pool, exchange};
use relay::snapshot::{self, Snapshot};
use relay::upstream::{Stage, UpstreamEntry, UpstreamState};
use relay::upstreams::ListChange;
use relay::{Origin, Relay};
use tick::Clock;

const LEAVING: &str = "x-leaving: 1\r\n";

/// Requests that a test sends.
const REQUESTS: usize = 20;

/// Requests that may reach a leaving upstream: the one whose answer announces it.
const REQUESTS_TO_LEARN: usize = 1;

fn upstream_with_headers(headers: &'static str) -> StubUpstream {
    StubUpstream::start(move |received| {
        let body = if is_prefill(received) { "kv-1" } else { EVENTS };
        received.response("200 OK", headers, body)
    })
}

/// Two upstreams of a service, of which the nearer one is leaving.
fn leaving_and_staying(
    service: &str,
    stage: Stage,
) -> (StubUpstream, StubUpstream, Vec<UpstreamEntry>) {
    let (leaving, staying) = (upstream_with_headers(LEAVING), upstream_with_headers(""));
    let near = leaving.entry("leaving", service, stage);
    let far = in_other_zone(staying.entry("staying", service, stage));
    (leaving, staying, vec![near, far])
}

/// Sends the requests one after the other; all must be served.
async fn send_all(
    instance: &TestInstance,
    make_request: impl Fn(usize) -> Request<Full<bytes::Bytes>>,
) {
    for id in 0..REQUESTS {
        let (status, _) = instance.fetch(make_request(id)).await;
        assert_eq!(status, 200, "request {id}");
    }
}

/// Guards against calls to a service that announced its leaving in an answer.
#[actix_rt::test]
async fn a_service_that_announces_leaving_gets_no_more_calls() {
    let (leaving, _staying, entries) = leaving_and_staying("desk", Stage::Whole);
    let instance = TestInstance::start(entries);
    send_all(&instance, read_request).await;
    assert_eq!(leaving.count(), REQUESTS_TO_LEARN);
}

/// Guards against generations at an engine whose stream announced its leaving.
#[actix_rt::test]
async fn an_engine_that_announces_leaving_gets_no_more_generations() {
    let (leaving, _staying, entries) = leaving_and_staying("llm", Stage::Decode);
    let instance = TestInstance::start(entries);
    send_all(&instance, |id| generation_request("/once/x", id, 50)).await;
    assert_eq!(leaving.count(), REQUESTS_TO_LEARN);
}

/// Guards against prefills at an engine whose answer to a prefill announced its leaving.
#[actix_rt::test]
async fn an_engine_that_announces_leaving_gets_no_more_prefills() {
    let (leaving, staying, mut entries) = leaving_and_staying("llm", Stage::Prefill);
    let decode_engine = upstream_with_headers("");
    entries.push(decode_engine.entry("decode", "llm", Stage::Decode));
    let instance = TestInstance::start(entries);
    send_all(&instance, |id| generation_request("/once/x", id, 17_000)).await;
    let received = leaving.received.borrow();
    let prefills = received.iter().filter(|received| is_prefill(received));
    assert_eq!(prefills.count(), REQUESTS_TO_LEARN);
    assert!(
        staying.count() > 0,
        "prefill still goes to a separate engine"
    );
}

/// An instance that has learned from an answer that its only upstream, `leaving`, leaves.
async fn instance_that_was_told(
    leaving: &StubUpstream,
    service: &str,
    stage: Stage,
) -> TestInstance {
    let instance = TestInstance::start(vec![leaving.entry("leaving", service, stage)]);
    let req = match service {
        "desk" => read_request(0),
        _ => generation_request("/grades/x", 0, 50),
    };
    assert_eq!(instance.fetch(req).await.0, 200);
    assert_eq!(leaving.count(), REQUESTS_TO_LEARN);
    instance
}

fn add(instance: &TestInstance, entry: UpstreamEntry) {
    instance
        .relay
        .apply_change(ListChange::Put(entry), Origin::Read);
}

fn is_used(relay: &Relay, service: &str) -> bool {
    let upstreams = relay.upstreams.borrow();
    upstreams.ready(service, relay.now_ms()).next().is_some()
}

/// Guards against a rejection whose announcement is not read because nothing ran.
#[actix_rt::test]
async fn a_rejection_that_announces_leaving_counts() {
    let rejecting = StubUpstream::start(|received| {
        received.response(
            "503 Service Unavailable",
            "x-not-run: 1\r\nx-leaving: 1\r\n",
            "",
        )
    });
    let staying = upstream_with_headers("");
    let instance = TestInstance::start(vec![
        rejecting.entry("leaving", "desk", Stage::Whole),
        in_other_zone(staying.entry("staying", "desk", Stage::Whole)),
    ]);
    send_all(&instance, read_request).await;
    assert_eq!(rejecting.count(), REQUESTS_TO_LEARN);
}

/// Guards against a retry that goes to a leaving upstream after another one failed the request.
#[actix_rt::test]
async fn a_retry_goes_to_no_leaving_upstream() {
    let leaving = upstream_with_headers(LEAVING);
    let instance = instance_that_was_told(&leaving, "desk", Stage::Whole).await;
    let failing =
        StubUpstream::start(|received| received.response("500 Internal Server Error", "", ""));
    let staying = upstream_with_headers("");
    add(&instance, failing.entry("failing", "desk", Stage::Whole));
    add(
        &instance,
        in_other_zone(staying.entry("staying", "desk", Stage::Whole)),
    );
    send_all(&instance, read_request).await;
    assert!(failing.count() > 0);
    assert_eq!(leaving.count(), REQUESTS_TO_LEARN);
}

/// Guards against a stream that is resumed at a leaving engine.
#[actix_rt::test]
async fn a_stream_is_resumed_at_no_leaving_engine() {
    let leaving = upstream_with_headers(LEAVING);
    let instance = instance_that_was_told(&leaving, "llm", Stage::Decode).await;
    let breaking = StubUpstream::start(|received| {
        let whole = received.response_text("200 OK", "", &EVENTS.repeat(2));
        vec![
            Action::Write(whole[..whole.len() - 5].to_owned()),
            Action::Close,
        ]
    });
    let staying = StubUpstream::start(|received| {
        let rest = "id: 2\ndata: 2\n\n";
        received.response("200 OK", "", rest)
    });
    add(&instance, breaking.entry("breaking", "llm", Stage::Decode));
    add(
        &instance,
        in_other_zone(staying.entry("staying", "llm", Stage::Decode)),
    );
    let (status, body) = instance.fetch(generation_request("/grades/x", 1, 50)).await;
    let whole = format!("{EVENTS}id: 2\ndata: 2\n\n");
    assert_eq!((status, body), (200, Some(whole)));
    assert_eq!((breaking.count(), staying.count()), (1, 1));
    assert_eq!(leaving.count(), REQUESTS_TO_LEARN);
}

/// Guards against a request that was placed before the upstream began to leave, and is sent once its
/// connection is open.
#[actix_rt::test]
async fn a_request_that_waited_for_a_connection_is_not_sent() {
    let upstream = upstream_with_headers("");
    let pool = Pool::new(upstream.address, Clock::default());
    let mut sending = Box::pin(exchange(&pool, 1, read_request(0)));
    assert!(
        sending.as_mut().now_or_never().is_none(),
        "the connection is being opened"
    );
    pool.close();
    let peer = upstream.address;
    assert_eq!(sending.await.err(), Some(ExchangeError::Leaving { peer }));
    assert_eq!((upstream.count(), pool.open()), (0, 0));
}

/// Guards against an announcement that is lost, or believed of another incarnation, because the answer
/// belongs to an earlier request on its connection.
#[actix_rt::test]
async fn a_late_answer_counts_for_the_incarnation_that_it_names() {
    for (named, is_used_afterwards) in [
        ("x-instance: one\r\n", false),
        ("x-instance: other\r\n", true),
        ("", true),
    ] {
        let late = StubUpstream::start(move |received| {
            let earlier = ReceivedRequest {
                headers: "x-attempt: earlier".to_owned(),
                ..received.clone()
            };
            earlier.response("200 OK", &format!("{LEAVING}{named}"), EVENTS)
        });
        let instance = TestInstance::start(vec![late.entry("one", "desk", Stage::Whole)]);
        instance.fetch(read_request(0)).await;
        let relay = &instance.relay;
        assert_eq!(is_used(relay, "desk"), is_used_afterwards, "{named:?}");
    }
}

/// Guards against an announcement of another incarnation at the address, which rejects the request as
/// misdirected without naming itself.
#[actix_rt::test]
async fn a_misdirected_rejection_says_nothing_of_the_expected_incarnation() {
    let other =
        StubUpstream::start(|received| received.response("421 Misdirected Request", LEAVING, ""));
    let instance = TestInstance::start(vec![other.entry("one", "desk", Stage::Whole)]);
    assert_eq!(instance.fetch(read_request(0)).await.0, 503);
    assert!(is_used(&instance.relay, "desk"));
}

/// A snapshot of a peer that has applied the list up to `next`.
fn peer_snapshot(entries: Vec<UpstreamEntry>, next: u64) -> Snapshot {
    Snapshot {
        config: None,
        upstreams: entries,
        announced: Vec::new(),
        unconfirmed: Vec::new(),
        list_age_ms: Some(0),
        list_next: Some(next),
        config_age_ms: None,
        config_next: None,
        members: vec![peer_member()],
        poisonous: Vec::new(),
        trial_counts: Vec::new(),
    }
}

/// Guards against a record, a whole list, a peer's snapshot or a configuration that brings a leaving upstream
/// back: while the store is out of reach, all of them may still say ready.
#[actix_rt::test]
async fn nothing_brings_a_leaving_upstream_back() {
    let leaving = upstream_with_headers(LEAVING);
    let instance = instance_that_was_told(&leaving, "desk", Stage::Whole).await;
    let relay = &instance.relay;
    let ready = |seq| UpstreamEntry {
        seq,
        ..leaving.entry("leaving", "desk", Stage::Whole)
    };
    let put = |seq| relay.apply_change(ListChange::Put(ready(seq)), Origin::Read);
    let gone = || relay.apply_change(ListChange::Gone("leaving".to_owned()), Origin::Read);
    let steps: [(&str, &dyn Fn()); 7] = [
        ("the same record", &|| put(1)),
        ("a newer record", &|| put(2)),
        ("a whole list", &|| {
            relay.replace_list(vec![ready(3)], Origin::Whole);
        }),
        ("a peer's snapshot", &|| {
            let peer = peer_member().address;
            snapshot::merge(relay, &peer_snapshot(vec![ready(4)], 9), peer);
        }),
        ("a configuration", &|| {
            relay.configure(config(2));
        }),
        ("an entry that lapsed and is back", &|| {
            gone();
            put(5);
        }),
        ("a list without it, and then one with it", &|| {
            relay.replace_list(Vec::new(), Origin::Whole);
            relay.replace_list(vec![ready(6)], Origin::Whole);
        }),
    ];
    for (step, apply) in steps {
        apply();
        assert!(!is_used(relay, "desk"), "{step}");
    }
    assert_eq!(instance.fetch(read_request(1)).await.0, 503);
    assert_eq!(leaving.count(), REQUESTS_TO_LEARN);
}

/// Guards against an announcement that arrives after the entry was removed, and is forgotten when a later
/// entry of the same incarnation is read.
#[actix_rt::test]
async fn an_announcement_counts_after_the_entry_was_removed() {
    let slow = StubUpstream::start(|received| {
        let mut actions = vec![Action::Wait(100)];
        actions.extend(received.response("200 OK", LEAVING, EVENTS));
        actions
    });
    let entry = slow.entry("leaving", "desk", Stage::Whole);
    let instance = TestInstance::start(vec![entry.clone()]);
    let relay = Rc::clone(&instance.relay);
    let received = Rc::clone(&slow.received);
    actix_rt::spawn(async move {
        common::wait_until(|| !received.borrow().is_empty()).await;
        relay.apply_change(ListChange::Gone("leaving".to_owned()), Origin::Read);
    });
    assert_eq!(instance.fetch(read_request(0)).await.0, 200);
    add(&instance, UpstreamEntry { seq: 2, ..entry });
    assert!(!is_used(&instance.relay, "desk"));
}

/// Guards against an announcement that takes the next incarnation out of use, under the same id or at the
/// same address.
#[actix_rt::test]
async fn the_next_incarnation_is_used() {
    let address = upstream_with_headers(LEAVING);
    let restarted = UpstreamEntry {
        started_ms: 1,
        ..address.entry("leaving", "desk", Stage::Whole)
    };
    let replaced = address.entry("other", "desk", Stage::Whole);
    for next in [restarted, replaced] {
        let leaving = address.clone();
        leaving.received.borrow_mut().clear();
        let instance = instance_that_was_told(&leaving, "desk", Stage::Whole).await;
        assert!(!is_used(&instance.relay, "desk"));
        add(&instance, next);
        assert!(is_used(&instance.relay, "desk"));
    }
}

/// Guards against a peer that asks for the list while the store is out of reach and is told that a leaving
/// upstream is ready.
#[actix_rt::test]
async fn a_peer_that_asks_learns_that_an_upstream_leaves() {
    let leaving = upstream_with_headers(LEAVING);
    let instance = instance_that_was_told(&leaving, "desk", Stage::Whole).await;
    let told = instance.relay.snapshot();
    assert_eq!(told.upstreams[0].state, UpstreamState::Leaving);
}
