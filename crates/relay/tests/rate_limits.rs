//! Upstreams that name how many requests a second they take from all instances together.

mod common;

use common::{ReceivedRequest, StubUpstream, TestInstance, deliver_gossip, request};
use http::{HeaderValue, Method, Request};
use http_body_util::Full;
use relay::upstream::{RateLimit, Stage, UpstreamEntry};

/// So few requests a second that no test lasts until the next one.
const HARDLY_ANY: &str = "x-limit: 0.001\r\n";

/// Requests of a test.
const REQUESTS: usize = 40;

/// Those that may have reached a limited upstream: the one that learned of it.
const LEARNED_BY: usize = 1;

const EVENTS: &str = "id: 1\ndata: 1\n\n";

/// Whether a prompt is to be read apart.
fn is_read(received: &ReceivedRequest) -> bool {
    received.header("x-step") == Some("prefill")
}

fn answers(headers: &'static str) -> StubUpstream {
    StubUpstream::start(move |received| {
        let body = if is_read(received) { "kv-1" } else { EVENTS };
        received.response("200 OK", headers, body)
    })
}

/// Two upstreams of a service, of which the first is nearer and limited.
fn limited_and_free(
    service: &str,
    stage: Stage,
) -> (StubUpstream, StubUpstream, Vec<UpstreamEntry>) {
    let (limited, free) = (answers(HARDLY_ANY), answers(""));
    let near = limited.entry("limited", service, stage);
    let far = UpstreamEntry {
        zone: "there".to_owned(),
        ..free.entry("free", service, stage)
    };
    (limited, free, vec![near, far])
}

fn read(id: usize) -> Request<Full<bytes::Bytes>> {
    request(Method::GET, "/reads/x", &id.to_string())
}

fn generation(id: usize, tokens: usize) -> Request<Full<bytes::Bytes>> {
    let mut req = request(Method::POST, "/once/x", &id.to_string());
    let prompt = HeaderValue::from_str(&format!("{id}:{tokens}")).expect("a valid value");
    req.headers_mut().insert("x-prompt", prompt);
    req
}

/// Asks one after the other, and gives how many were served.
async fn ask_all(
    instance: &TestInstance,
    req: impl Fn(usize) -> Request<Full<bytes::Bytes>>,
) -> usize {
    let mut served = 0;
    for id in 0..REQUESTS {
        let (status, _) = instance.fetch(req(id)).await;
        assert!([200, 503].contains(&status), "{status}");
        served += usize::from(status == 200);
    }
    served
}

/// Guards against calls beyond what a service takes that names a limit.
#[actix_rt::test]
async fn a_service_that_names_a_limit_gets_no_more_calls() {
    let (limited, free, entries) = limited_and_free("desk", Stage::Whole);
    let instance = TestInstance::start(entries);
    assert_eq!(ask_all(&instance, read).await, REQUESTS);
    assert_eq!(limited.count(), LEARNED_BY);
    assert_eq!(free.count(), REQUESTS - LEARNED_BY);
}

/// Guards against prompts that are read at an engine beyond the limit that it names.
#[actix_rt::test]
async fn an_engine_that_names_a_limit_reads_no_more_prompts() {
    let (limited, free, mut entries) = limited_and_free("llm", Stage::Prefill);
    let maker = answers("");
    entries.push(maker.entry("maker", "llm", Stage::Decode));
    let instance = TestInstance::start(entries);
    assert_eq!(
        ask_all(&instance, |id| generation(id, 17_000)).await,
        REQUESTS
    );
    let read_there = limited
        .received
        .borrow()
        .iter()
        .filter(|received| is_read(received))
        .count();
    assert_eq!(read_there, LEARNED_BY);
    assert!(free.count() > 0, "prompts are still read apart");
}

/// Guards against a limit that each instance finds out and keeps for itself.
#[actix_rt::test]
async fn a_limit_that_one_instance_was_told_binds_the_others() {
    let (limited, _free, entries) = limited_and_free("llm", Stage::Decode);
    let one = TestInstance::start(entries.clone());
    assert_eq!(ask_all(&one, |id| generation(id, 50)).await, REQUESTS);
    let before = limited.count();
    let other = TestInstance::start(entries);
    deliver_gossip(&one.relay, &other.relay);
    assert_eq!(ask_all(&other, |id| generation(id, 50)).await, REQUESTS);
    assert_eq!((before, limited.count()), (LEARNED_BY, LEARNED_BY));
}

/// Guards against callers who wait where all upstreams of a service have as much as they take.
#[actix_rt::test]
async fn what_no_upstream_takes_is_refused_at_once_and_unrun() {
    let limited = answers(HARDLY_ANY);
    let instance = TestInstance::start(vec![limited.entry("limited", "desk", Stage::Whole)]);
    assert_eq!(instance.fetch(read(0)).await.0, 200);
    let refused = instance.send(read(1)).await.expect("an answer");
    assert_eq!(refused.status(), 503);
    assert!(refused.headers().contains_key("retry-after"));
    assert_eq!(limited.count(), LEARNED_BY);
}

/// Guards against a request that goes to a limited upstream a second time, after another one failed it.
#[actix_rt::test]
async fn a_repeat_goes_to_no_limited_upstream() {
    let (limited, _, entries) = limited_and_free("desk", Stage::Whole);
    let fails =
        StubUpstream::start(|received| received.response("500 Internal Server Error", "", ""));
    let failing = UpstreamEntry {
        zone: "there".to_owned(),
        ..fails.entry("failing", "desk", Stage::Whole)
    };
    let instance = TestInstance::start(vec![entries[0].clone(), failing]);
    for id in 0..REQUESTS {
        instance.fetch(read(id)).await;
    }
    assert!(fails.count() > 0);
    assert_eq!(limited.count(), LEARNED_BY);
}

/// Guards against a limit that is taken for lifted, since an answer that was begun before it was named comes late.
#[test]
fn an_answer_without_a_limit_lifts_one_that_was_not_named_just_now() {
    let mut limit = RateLimit::default();
    assert!(limit.observe(1_000, 50_000, Some(4.0)).is_changed);
    assert!(!limit.observe(1_400, 50_400, None).is_changed);
    assert_eq!(limit.per_s(1_400), Some(4.0));
    assert!(limit.observe(2_600, 51_600, None).is_changed);
    assert_eq!(limit.per_s(2_600), None);
}

/// Guards against a limit that comes back by an older word of another instance, and against one that stays for good as
/// nobody sends there any more.
#[test]
fn the_latest_word_on_a_limit_counts_and_is_forgotten_in_time() {
    let mut limit = RateLimit::default();
    assert!(limit.apply_from_peer(1_000, 50_000, Some(4.0)));
    assert!(limit.apply_from_peer(1_100, 50_200, None));
    assert!(!limit.apply_from_peer(1_200, 50_100, Some(4.0)));
    assert_eq!(limit.per_s(1_200), None);
    // Its own eyes go before a time of day that is ahead of its own.
    let own = limit.observe(1_300, 40_000, Some(3.0));
    assert_eq!(own.gossip_as_of_ms, Some(50_201));
    assert_eq!(limit.per_s(1_300), Some(3.0));
    assert_eq!(limit.per_s(60_000), None);
}
