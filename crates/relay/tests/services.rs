//! Plain services: what runs once, what is retried, what is refused and which headers are
//! forwarded.

mod common;

use common::{Action, StubUpstream, TestInstance, request, wait_until};
use http::{HeaderValue, Method};
use relay::upstream::{Stage, UpstreamEntry};

fn elsewhere(entry: UpstreamEntry) -> UpstreamEntry {
    UpstreamEntry {
        zone: "there".to_owned(),
        ..entry
    }
}

/// Guards against running an unsafe request twice. The upstream ran it and the answer was lost, so
/// the caller gets 502, which doesn't promise that it was not run.
#[actix_rt::test]
async fn a_claim_whose_answer_was_lost_is_not_retried() {
    let desk = StubUpstream::start(|_| vec![Action::Close]);
    let other = StubUpstream::start(|received| received.response("200 OK", "", "ok"));
    let instance = TestInstance::start(vec![
        desk.entry("one", "desk", Stage::Whole),
        elsewhere(other.entry("two", "desk", Stage::Whole)),
    ]);
    let (status, _) = instance
        .fetch(request(Method::POST, "/claims/x", "1"))
        .await;
    assert_eq!(status, 502);
    assert_eq!((desk.count(), other.count()), (1, 0));
}

/// The upstream is full and says that it did not run the claim, so the caller gets 503 with a
/// retry-after.
#[actix_rt::test]
async fn a_claim_that_an_upstream_rejects_is_refused_as_not_run() {
    let desk =
        StubUpstream::start(|received| received.response("503 Full", "x-not-run: 1\r\n", ""));
    let instance = TestInstance::start(vec![desk.entry("one", "desk", Stage::Whole)]);
    let response = instance
        .send(request(Method::POST, "/claims/x", "1"))
        .await
        .unwrap();
    assert_eq!(response.status(), 503);
    assert!(response.headers().contains_key("retry-after"));
    assert!(!response.headers().contains_key("x-signature"));
}

/// An idempotent request that fails at the first upstream is served by the second.
#[actix_rt::test]
async fn a_failed_read_is_retried_at_another_upstream() {
    let desk = StubUpstream::start(|received| received.response("500 Oops", "", "oops"));
    let other = StubUpstream::start(|received| received.response("200 OK", "", "ok"));
    let instance = TestInstance::start(vec![
        desk.entry("one", "desk", Stage::Whole),
        elsewhere(other.entry("two", "desk", Stage::Whole)),
    ]);
    let answer = instance.fetch(request(Method::GET, "/reads/x", "1")).await;
    assert_eq!(answer, (200, Some("ok".to_owned())));
}

/// Guards against passing on a truncated answer as complete: the read is retried at another
/// upstream.
#[actix_rt::test]
async fn a_truncated_read_is_retried_at_another_upstream() {
    let desk = StubUpstream::start(|received| {
        let whole = received.response_text("200 OK", "", "a long body");
        vec![
            Action::Write(whole[..whole.len() - 4].to_owned()),
            Action::Close,
        ]
    });
    let other = StubUpstream::start(|received| received.response("200 OK", "", "a long body"));
    let instance = TestInstance::start(vec![
        desk.entry("one", "desk", Stage::Whole),
        elsewhere(other.entry("two", "desk", Stage::Whole)),
    ]);
    let answer = instance.fetch(request(Method::GET, "/reads/x", "1")).await;
    assert_eq!(answer, (200, Some("a long body".to_owned())));
}

/// Guards against giving a caller the answer to another request. The upstream answers each request
/// twice, and the second answer comes where the one to the next request is due; each caller gets
/// its own answer or an error.
#[actix_rt::test]
async fn an_extra_answer_reaches_no_caller() {
    let desk = StubUpstream::start(|received| {
        let text =
            received.response_text("200 OK", "", received.header("x-attempt").unwrap_or("-"));
        vec![
            Action::Write(text.clone()),
            Action::Wait(30),
            Action::Write(text),
        ]
    });
    let instance = TestInstance::start(vec![desk.entry("one", "desk", Stage::Whole)]);
    for id in ["1", "2", "3", "4"] {
        let (status, body) = instance.fetch(request(Method::POST, "/claims/x", id)).await;
        assert!(
            status == 502 || body.as_deref() == Some(id),
            "{id}: {status} {body:?}"
        );
    }
}

/// Guards against passing on an answer without the upstream's signature, whatever its status: the
/// caller gets 502.
#[actix_rt::test]
async fn a_success_without_signature_is_not_passed_on() {
    let desk = StubUpstream::start(|_| {
        let text = "HTTP/1.1 200 OK\r\nx-attempt: 1\r\ncontent-length: 2\r\n\r\nok";
        vec![Action::Write(text.to_owned())]
    });
    let instance = TestInstance::start(vec![desk.entry("one", "desk", Stage::Whole)]);
    let (status, _) = instance
        .fetch(request(Method::POST, "/claims/x", "1"))
        .await;
    assert_eq!(status, 502);
}

/// The upstream gets the request as the caller sent it, except for hop-by-hop headers and those
/// that only the system sets. A caller that names `x-attempt` in `Connection` can't remove it.
#[actix_rt::test]
async fn only_end_to_end_headers_are_passed_on() {
    let desk = StubUpstream::start(|received| received.response("200 OK", "", "ok"));
    let instance = TestInstance::start(vec![desk.entry("one", "desk", Stage::Whole)]);
    let mut req = request(Method::POST, "/claims/x?y=%2f", "1");
    let headers = req.headers_mut();
    headers.insert(
        "connection",
        HeaderValue::from_static("x-attempt, x-left-ms, private"),
    );
    headers.insert("private", HeaderValue::from_static("1"));
    headers.insert("x-instance", HeaderValue::from_static("forged"));
    headers.insert("kept", HeaderValue::from_static("1"));
    let (status, _) = instance.fetch(req).await;
    assert_eq!(status, 200);
    let received = desk.received.borrow()[0].clone();
    assert_eq!(received.request_line, "POST /claims/x?y=%2f HTTP/1.1");
    assert_eq!(received.body, "body");
    assert_eq!(received.header("x-instance"), Some("one"));
    assert_eq!(received.header("x-attempt"), Some("1"));
    assert_eq!(received.header("kept"), Some("1"));
    assert_eq!(received.header("private"), None);
    assert!(
        received
            .header("x-left-ms")
            .unwrap()
            .parse::<u64>()
            .unwrap()
            <= 3_000
    );
}

/// Guards against an upstream that keeps working past the deadline: the caller gets 504, and the
/// upstream's connection is closed.
#[actix_rt::test]
async fn a_request_past_its_deadline_is_ended() {
    let desk = StubUpstream::start(|_| vec![Action::Wait(5_000)]);
    let instance = TestInstance::start(vec![desk.entry("one", "desk", Stage::Whole)]);
    let mut req = request(Method::POST, "/claims/x", "1");
    req.headers_mut()
        .insert("x-left-ms", HeaderValue::from_static("900"));
    let (status, _) = instance.fetch(req).await;
    assert_eq!(status, 504);
    assert!(wait_until(|| *desk.closed_by_relay.borrow() == 1).await);
}

/// Guards against requests to an address that another incarnation has taken over. It rejects the
/// first read without running it; the read goes to the next upstream at once, and the old entry
/// gets no more requests.
#[actix_rt::test]
async fn a_reused_address_is_detected() {
    let reused =
        StubUpstream::start(|received| received.response("421 Other", "x-instance: other\r\n", ""));
    let desk = StubUpstream::start(|received| received.response("200 OK", "", "ok"));
    let instance = TestInstance::start(vec![
        reused.entry("gone", "desk", Stage::Whole),
        elsewhere(desk.entry("two", "desk", Stage::Whole)),
    ]);
    for id in ["1", "2"] {
        let (status, _) = instance.fetch(request(Method::GET, "/reads/x", id)).await;
        assert_eq!(status, 200);
    }
    assert_eq!(reused.count(), 1);
}

/// Guards against requests that wait for an upstream which accepts connections and never responds:
/// after the first request has waited there, the others go elsewhere.
#[actix_rt::test]
async fn a_silent_upstream_is_avoided() {
    let silent = StubUpstream::start(|_| vec![Action::Wait(60_000)]);
    let desk = StubUpstream::start(|received| received.response("200 OK", "", "ok"));
    let instance = TestInstance::start(vec![
        silent.entry("silent", "desk", Stage::Whole),
        elsewhere(desk.entry("two", "desk", Stage::Whole)),
    ]);
    let mut first = request(Method::POST, "/claims/x", "1");
    first
        .headers_mut()
        .insert("x-left-ms", HeaderValue::from_static("1200"));
    assert_eq!(instance.fetch(first).await.0, 504);
    for id in 2..12 {
        let (status, _) = instance
            .fetch(request(Method::POST, "/claims/x", &id.to_string()))
            .await;
        assert_eq!(status, 200);
    }
    assert_eq!(silent.count(), 1);
}

/// The caller gets 404 for a path without a route. Only a configuration can tell that: an instance
/// without one refuses with 503, which the tests in `access.rs` and `peers.rs` check.
#[actix_rt::test]
async fn a_path_without_a_route_is_not_found() {
    let instance = TestInstance::start(vec![]);
    let (status, _) = instance.fetch(request(Method::GET, "/none/x", "1")).await;
    assert_eq!(status, 404);
}

/// Guards against taking a late rejection of an earlier request for that of this claim, which may
/// run after all. A rejection without the claim's id gives 502 and not 503, which would promise
/// that it was not run.
#[actix_rt::test]
async fn a_rejection_of_another_request_is_not_trusted() {
    let desk = StubUpstream::start(|_| {
        let text = "HTTP/1.1 503 Full\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
        vec![Action::Write(text.to_owned())]
    });
    let instance = TestInstance::start(vec![desk.entry("one", "desk", Stage::Whole)]);
    let (status, _) = instance
        .fetch(request(Method::POST, "/claims/x", "1"))
        .await;
    assert_eq!(status, 502);
}

/// Guards against refusing a read as not run after the only upstream may have run it: the caller
/// gets 502 and not 503.
#[actix_rt::test]
async fn a_read_that_may_have_run_is_not_refused_as_not_run() {
    let desk = StubUpstream::start(|_| vec![Action::Close]);
    let instance = TestInstance::start(vec![desk.entry("one", "desk", Stage::Whole)]);
    let (status, _) = instance.fetch(request(Method::GET, "/reads/x", "1")).await;
    assert_eq!((status, desk.count()), (502, 1));
}

/// Guards against replacing an upstream's own failure by a refusal. The read ran and failed, and
/// there is no other upstream to try.
#[actix_rt::test]
async fn a_failure_is_passed_on_where_no_other_upstream_can_be_tried() {
    let desk = StubUpstream::start(|received| received.response("500 Oops", "", "oops"));
    let instance = TestInstance::start(vec![desk.entry("one", "desk", Stage::Whole)]);
    let answer = instance.fetch(request(Method::GET, "/reads/x", "1")).await;
    assert_eq!(answer, (500, Some("oops".to_owned())));
}

/// Guards against a body that was encoded on the way and reaches the caller as the upstream's own.
#[actix_rt::test]
async fn an_encoded_success_is_not_passed_on() {
    let encoding = StubUpstream::start(|received| {
        received.response("200 OK", "content-encoding: gzip\r\n", "x")
    });
    let instance = TestInstance::start(vec![encoding.entry("one", "desk", Stage::Whole)]);
    let (status, _) = instance
        .fetch(request(Method::POST, "/claims/x", "1"))
        .await;
    assert_eq!(status, 502);
}
