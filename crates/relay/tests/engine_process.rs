//! What an engine's report tells of the process that answers for it.

mod common;

use common::{StubUpstream, TestInstance};
use plan::Sign;
use relay::inquiry::ask;
use relay::listener::bind;
use relay::upstream::{Stage, UpstreamEntry};

/// Whether an engine whose entry names this start is confirmed by a report with this body.
async fn is_confirmed(listed_ms: u64, status: &'static str, report: &'static str) -> bool {
    let listener = bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let stub = StubUpstream::start_on(listener, move |it| it.response(status, "", report));
    let entry = UpstreamEntry {
        started_ms: listed_ms,
        ..stub.entry("one", "llm", Stage::Decode)
    };
    let instance = TestInstance::start(vec![entry]);
    let engine = instance.relay.upstreams.borrow().get("one").cloned();
    let engine = engine.expect("an engine");
    let sign = ask(&instance.relay, &engine).await;
    sign == Sign::Answered && engine.is_confirmed_since(0)
}

/// Guards against streams whose version stays in doubt for good, and which are refused when they are taken up: engines that
/// get a new id at each start name no start, in the list or in a report.
#[actix_rt::test]
async fn an_engine_that_names_no_start_is_confirmed_by_its_id() {
    assert!(is_confirmed(0, "200 OK", "{}").await);
    assert!(is_confirmed(7, "200 OK", "7").await);
}

/// Guards against a doubt that ends by an answer which does not tell which incarnation gave it.
#[actix_rt::test]
async fn an_engine_is_not_confirmed_by_another_start_or_none() {
    assert!(!is_confirmed(7, "200 OK", "8").await);
    assert!(!is_confirmed(7, "200 OK", "{}").await);
    assert!(!is_confirmed(0, "200 OK", "8").await);
    assert!(!is_confirmed(0, "404 Not Found", "{}").await);
}
