//! Upstreams that announce how many requests a second they accept from all instances together.

mod common;

use common::{
    EVENTS, StubUpstream, TestInstance, deliver_gossip, generation_request, in_other_zone,
    is_prefill, read_request,
};
use http::Request;
use http_body_util::Full;
use relay::upstream::{RateLimit, Stage, UpstreamEntry};

/// A limit so low that no second request is due within a test.
const VERY_LOW_LIMIT: &str = "x-limit: 0.001\r\n";

/// Requests that a test sends to each instance.
const REQUESTS: usize = 40;

/// Requests that may reach a limited upstream: the one whose response announces the limit.
const REQUESTS_TO_LEARN: usize = 1;

fn upstream_with_headers(headers: &'static str) -> StubUpstream {
    StubUpstream::start(move |received| {
        let body = if is_prefill(received) { "kv-1" } else { EVENTS };
        received.response("200 OK", headers, body)
    })
}

/// Two upstreams of a service, of which the nearer one is limited.
fn limited_and_free(
    service: &str,
    stage: Stage,
) -> (StubUpstream, StubUpstream, Vec<UpstreamEntry>) {
    let (limited, free) = (
        upstream_with_headers(VERY_LOW_LIMIT),
        upstream_with_headers(""),
    );
    let near = limited.entry("limited", service, stage);
    let far = in_other_zone(free.entry("free", service, stage));
    (limited, free, vec![near, far])
}

/// Sends the requests one after the other and returns how many were served.
async fn send_all(
    instance: &TestInstance,
    make_request: impl Fn(usize) -> Request<Full<bytes::Bytes>>,
) -> usize {
    let mut served = 0;
    for id in 0..REQUESTS {
        let (status, _) = instance.fetch(make_request(id)).await;
        assert!([200, 503].contains(&status), "{status}");
        served += usize::from(status == 200);
    }
    served
}

/// Guards against calls to a service beyond the limit that it announced.
#[actix_rt::test]
async fn a_limited_service_gets_no_more_calls() {
    let (limited, free, entries) = limited_and_free("desk", Stage::Whole);
    let instance = TestInstance::start(entries);
    assert_eq!(send_all(&instance, read_request).await, REQUESTS);
    assert_eq!(limited.count(), REQUESTS_TO_LEARN);
    assert_eq!(free.count(), REQUESTS - REQUESTS_TO_LEARN);
}

/// Guards against prefill at an engine beyond the limit that it announced.
#[actix_rt::test]
async fn a_limited_engine_gets_no_more_prefills() {
    let (limited, free, mut entries) = limited_and_free("llm", Stage::Prefill);
    let decode_engine = upstream_with_headers("");
    entries.push(decode_engine.entry("decode", "llm", Stage::Decode));
    let instance = TestInstance::start(entries);
    assert_eq!(
        send_all(&instance, |id| generation_request("/once/x", id, 17_000)).await,
        REQUESTS
    );
    let prefills_at_limited = limited
        .received
        .borrow()
        .iter()
        .filter(|received| is_prefill(received))
        .count();
    assert_eq!(prefills_at_limited, REQUESTS_TO_LEARN);
    assert!(free.count() > 0, "prefill still goes to a separate engine");
}

/// Guards against a limit that is respected only by the instance to which it was announced.
#[actix_rt::test]
async fn a_limit_announced_to_one_instance_binds_its_peers() {
    let (limited, _free, entries) = limited_and_free("llm", Stage::Decode);
    let one = TestInstance::start(entries.clone());
    assert_eq!(
        send_all(&one, |id| generation_request("/once/x", id, 50)).await,
        REQUESTS
    );
    let before = limited.count();
    let other = TestInstance::start(entries);
    deliver_gossip(&one.relay, &other.relay);
    assert_eq!(
        send_all(&other, |id| generation_request("/once/x", id, 50)).await,
        REQUESTS
    );
    assert_eq!(
        (before, limited.count()),
        (REQUESTS_TO_LEARN, REQUESTS_TO_LEARN)
    );
}

/// Guards against callers that wait while all upstreams of a service are at their limits.
#[actix_rt::test]
async fn a_request_that_no_upstream_accepts_is_refused_at_once() {
    let limited = upstream_with_headers(VERY_LOW_LIMIT);
    let instance = TestInstance::start(vec![limited.entry("limited", "desk", Stage::Whole)]);
    assert_eq!(instance.fetch(read_request(0)).await.0, 200);
    let refused = instance.send(read_request(1)).await.expect("an answer");
    assert_eq!(refused.status(), 503);
    assert!(refused.headers().contains_key("retry-after"));
    assert_eq!(limited.count(), REQUESTS_TO_LEARN);
}

/// Guards against a retry that goes to a limited upstream after another one failed the request.
#[actix_rt::test]
async fn a_retry_goes_to_no_limited_upstream() {
    let (limited, _, entries) = limited_and_free("desk", Stage::Whole);
    let fails =
        StubUpstream::start(|received| received.response("500 Internal Server Error", "", ""));
    let failing = in_other_zone(fails.entry("failing", "desk", Stage::Whole));
    let instance = TestInstance::start(vec![entries[0].clone(), failing]);
    for id in 0..REQUESTS {
        instance.fetch(read_request(id)).await;
    }
    assert!(fails.count() > 0);
    assert_eq!(limited.count(), REQUESTS_TO_LEARN);
}

/// Guards against lifting a limit because of a response that began before the limit was announced
/// and arrives late.
#[test]
fn a_response_without_a_limit_lifts_one_that_is_not_recent() {
    let mut limit = RateLimit::default();
    assert!(limit.observe(1_000, 50_000, Some(4.0)).is_changed);
    assert!(!limit.observe(1_400, 50_400, None).is_changed);
    assert_eq!(limit.per_s(1_400), Some(4.0));
    assert!(limit.observe(2_600, 51_600, None).is_changed);
    assert_eq!(limit.per_s(2_600), None);
}

/// Guards against a limit that older gossip restores, and against one that is kept for good because
/// no requests are sent there any more.
#[test]
fn the_latest_limit_counts_and_expires() {
    let mut limit = RateLimit::default();
    assert!(limit.apply_from_peer(1_000, 50_000, Some(4.0)));
    assert!(limit.apply_from_peer(1_100, 50_200, None));
    assert!(!limit.apply_from_peer(1_200, 50_100, Some(4.0)));
    assert_eq!(limit.per_s(1_200), None);
    // The instance's own observation overrides gossip whose sender's clock is ahead.
    let own = limit.observe(1_300, 40_000, Some(3.0));
    assert_eq!(own.gossip_as_of_ms, Some(50_201));
    assert_eq!(limit.per_s(1_300), Some(3.0));
    assert_eq!(limit.per_s(60_000), None);
}
