//! Upstreams that announce in their answers that they are leaving, while their entries still say ready.

mod common;

use common::{ReceivedRequest, StubUpstream, TestInstance, request};
use http::{HeaderValue, Method, Request};
use http_body_util::Full;
use relay::upstream::{Stage, UpstreamEntry};

const LEAVING: &str = "x-leaving: 1\r\n";

const EVENTS: &str = "id: 1\ndata: 1\n\n";

/// Requests that a test sends.
const REQUESTS: usize = 20;

/// Requests that may reach a leaving upstream: the one whose answer announces it.
const REQUESTS_TO_LEARN: usize = 1;

fn is_prefill(received: &ReceivedRequest) -> bool {
    received.header("x-step") == Some("prefill")
}

fn upstream_with_headers(headers: &'static str) -> StubUpstream {
    StubUpstream::start(move |received| {
        let body = if is_prefill(received) { "kv-1" } else { EVENTS };
        received.response("200 OK", headers, body)
    })
}

fn in_other_zone(entry: UpstreamEntry) -> UpstreamEntry {
    UpstreamEntry {
        zone: "there".to_owned(),
        ..entry
    }
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

fn read_request(id: usize) -> Request<Full<bytes::Bytes>> {
    request(Method::GET, "/reads/x", &id.to_string())
}

fn generation_request(path: &str, id: usize, tokens: usize) -> Request<Full<bytes::Bytes>> {
    let mut req = request(Method::POST, path, &id.to_string());
    let prompt = HeaderValue::from_str(&format!("{id}:{tokens}")).expect("a valid value");
    req.headers_mut().insert("x-prompt", prompt);
    req
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
