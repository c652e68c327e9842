//! Upstreams that reject requests and ask the instance for rest, while their entries say ready.

mod common;

use std::time::Duration;

use common::{ReceivedRequest, StubUpstream, TestInstance, request};
use http::{HeaderValue, Method, Request};
use http_body_util::Full;
use relay::upstream::{Stage, UpstreamEntry};

/// A rejection that asks for more rest than a test takes.
const REST: &str = "x-not-run: 1\r\nx-rest-ms: 50000\r\n";

const EVENTS: &str = "id: 1\ndata: 1\n\n";

/// Rounds of requests of a test, with a pause between them that is longer than the time for which an upstream
/// that just rejected a request gets no other one anyway.
const ROUNDS: usize = 3;
const PAUSE: Duration = Duration::from_millis(600);

/// Requests in each round.
const REQUESTS: usize = 10;

/// Requests that may reach a resting upstream: the one whose rejection asks for rest.
const REQUESTS_TO_LEARN: usize = 1;

fn is_prefill(received: &ReceivedRequest) -> bool {
    received.header("x-step") == Some("prefill")
}

fn serving() -> StubUpstream {
    StubUpstream::start(|received| {
        let body = if is_prefill(received) { "kv-1" } else { EVENTS };
        received.response("200 OK", "", body)
    })
}

fn resting() -> StubUpstream {
    StubUpstream::start(|received| received.response("503 Service Unavailable", REST, ""))
}

fn in_other_zone(entry: UpstreamEntry) -> UpstreamEntry {
    UpstreamEntry {
        zone: "there".to_owned(),
        ..entry
    }
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

/// Sends all rounds and returns the number of requests that were served.
async fn send_rounds(
    instance: &TestInstance,
    make_request: impl Fn(usize) -> Request<Full<bytes::Bytes>>,
) -> usize {
    let mut served = 0;
    for round in 0..ROUNDS {
        if round > 0 {
            actix_rt::time::sleep(PAUSE).await;
        }
        for id in 0..REQUESTS {
            let (status, _) = instance.fetch(make_request(round * REQUESTS + id)).await;
            assert!([200, 503].contains(&status), "{status}");
            served += usize::from(status == 200);
        }
    }
    served
}

/// Guards against calls to a service in the time for which it asked for rest.
#[actix_rt::test]
async fn a_resting_service_gets_no_calls() {
    let (resting, serving) = (resting(), serving());
    let instance = TestInstance::start(vec![
        resting.entry("resting", "desk", Stage::Whole),
        in_other_zone(serving.entry("serving", "desk", Stage::Whole)),
    ]);
    assert_eq!(
        send_rounds(&instance, read_request).await,
        ROUNDS * REQUESTS
    );
    assert_eq!(resting.count(), REQUESTS_TO_LEARN);
}

/// Guards against generations at an engine in the time for which it asked for rest.
#[actix_rt::test]
async fn a_resting_engine_gets_no_generations() {
    let (resting, serving) = (resting(), serving());
    let instance = TestInstance::start(vec![
        resting.entry("resting", "llm", Stage::Decode),
        in_other_zone(serving.entry("serving", "llm", Stage::Decode)),
    ]);
    // The first one is rejected and may not be retried on this route.
    let served = send_rounds(&instance, |id| generation_request("/once/x", id, 50)).await;
    assert!(served >= ROUNDS * REQUESTS - 1, "{served}");
    assert_eq!(resting.count(), REQUESTS_TO_LEARN);
}

/// Guards against requests that are tried at all upstreams of a service although all of them rest.
#[actix_rt::test]
async fn a_service_that_rests_as_a_whole_gets_no_calls() {
    let (one, other) = (resting(), resting());
    let instance = TestInstance::start(vec![
        one.entry("one", "desk", Stage::Whole),
        other.entry("other", "desk", Stage::Whole),
    ]);
    assert_eq!(send_rounds(&instance, read_request).await, 0);
    assert_eq!(
        (one.count(), other.count()),
        (REQUESTS_TO_LEARN, REQUESTS_TO_LEARN)
    );
}
