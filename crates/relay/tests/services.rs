//! Plain services: what runs once, what is sent again, what is refused and what is passed on.

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

/// The caller sees 502, which promises nothing. Its claim was sent, the upstream ran it and the
/// answer was lost; sending it again could claim twice.
#[actix_rt::test]
async fn a_claim_whose_answer_was_lost_is_not_sent_again() {
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

/// The caller sees 503 with a time to come back. The upstream is full and says that it did not
/// run the claim, so the refusal is true.
#[actix_rt::test]
async fn a_claim_that_was_rejected_unrun_is_refused_as_unrun() {
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

/// The caller sees 200. The first upstream fails an idempotent request, the second serves it.
#[actix_rt::test]
async fn a_failed_read_is_sent_to_another_upstream() {
    let desk = StubUpstream::start(|received| received.response("500 Oops", "", "oops"));
    let other = StubUpstream::start(|received| received.response("200 OK", "", "ok"));
    let instance = TestInstance::start(vec![
        desk.entry("one", "desk", Stage::Whole),
        elsewhere(other.entry("two", "desk", Stage::Whole)),
    ]);
    let answer = instance.fetch(request(Method::GET, "/reads/x", "1")).await;
    assert_eq!(answer, (200, Some("ok".to_owned())));
}

/// The caller sees the whole answer. The first upstream's breaks off before its end; it is not
/// passed on as if it were whole, and the read is sent to the other.
#[actix_rt::test]
async fn a_truncated_read_is_sent_to_another_upstream() {
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

/// Each caller sees its own answer or an error, never the other's. The upstream answers the first
/// request twice; the second answer comes where that of the next request is due.
#[actix_rt::test]
async fn an_extra_answer_reaches_nobody() {
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

/// The caller sees 502: an answer without the upstream's signature is nobody's answer, whatever its
/// status says.
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

/// The upstream sees the request as its caller sent it, but for what concerns one connection and
/// what only the system sets. A caller that names its own id in `Connection` cannot hide it.
#[actix_rt::test]
async fn headers_pass_as_they_should() {
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

/// The caller sees 504 when its time is over, and the upstream sees the connection closed, so
/// that it does not work on for nobody.
#[actix_rt::test]
async fn a_request_out_of_time_is_ended() {
    let desk = StubUpstream::start(|_| vec![Action::Wait(5_000)]);
    let instance = TestInstance::start(vec![desk.entry("one", "desk", Stage::Whole)]);
    let mut req = request(Method::POST, "/claims/x", "1");
    req.headers_mut()
        .insert("x-left-ms", HeaderValue::from_static("900"));
    let (status, _) = instance.fetch(req).await;
    assert_eq!(status, 504);
    assert!(wait_until(|| *desk.closed_by_relay.borrow() == 1).await);
}

/// The caller sees 200. The address belongs to another incarnation by now, which rejects the
/// request without running it; a read goes to the next upstream at once, and the old incarnation
/// is not tried again.
#[actix_rt::test]
async fn a_reused_address_is_found_out() {
    let stranger =
        StubUpstream::start(|received| received.response("421 Other", "x-instance: other\r\n", ""));
    let desk = StubUpstream::start(|received| received.response("200 OK", "", "ok"));
    let instance = TestInstance::start(vec![
        stranger.entry("gone", "desk", Stage::Whole),
        elsewhere(desk.entry("two", "desk", Stage::Whole)),
    ]);
    for id in ["1", "2"] {
        let (status, _) = instance.fetch(request(Method::GET, "/reads/x", id)).await;
        assert_eq!(status, 200);
    }
    assert_eq!(stranger.count(), 1);
}

/// Callers see 200 soon. One upstream's machine has gone dark: it takes connections and answers
/// nothing. After the first requests have waited for it, others are not sent there.
#[actix_rt::test]
async fn a_silent_upstream_is_left_alone() {
    let dark = StubUpstream::start(|_| vec![Action::Wait(60_000)]);
    let desk = StubUpstream::start(|received| received.response("200 OK", "", "ok"));
    let instance = TestInstance::start(vec![
        dark.entry("dark", "desk", Stage::Whole),
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
    assert_eq!(dark.count(), 1);
}

/// The caller sees 404 for a path that no route has, and 503 while no configuration is known:
/// the path may well have a route.
#[actix_rt::test]
async fn an_unknown_path_is_not_there_only_if_a_configuration_says_so() {
    let instance = TestInstance::start(vec![]);
    let (status, _) = instance.fetch(request(Method::GET, "/none/x", "1")).await;
    assert_eq!(status, 404);
}

/// The caller sees 502. A rejection without the claim's id came on its connection: it may be a
/// late one of an earlier request, and the claim may run after all, so 503 would not be true.
#[actix_rt::test]
async fn a_rejection_of_another_request_promises_nothing() {
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

/// The caller sees 502, not 503. Its read was sent to the only upstream, which may have run it
/// before the connection closed; no other upstream is there for a second try, and "not run" would
/// not be true.
#[actix_rt::test]
async fn a_read_that_may_have_run_is_not_refused_as_unrun() {
    let desk = StubUpstream::start(|_| vec![Action::Close]);
    let instance = TestInstance::start(vec![desk.entry("one", "desk", Stage::Whole)]);
    let (status, _) = instance.fetch(request(Method::GET, "/reads/x", "1")).await;
    assert_eq!((status, desk.count()), (502, 1));
}

/// The caller sees the upstream's own failure. The read ran and failed, and there is no other
/// upstream to try; the answer that was made must not give way to a refusal of ours.
#[actix_rt::test]
async fn a_failure_is_passed_on_where_nobody_else_can_be_tried() {
    let desk = StubUpstream::start(|received| received.response("500 Oops", "", "oops"));
    let instance = TestInstance::start(vec![desk.entry("one", "desk", Stage::Whole)]);
    let answer = instance.fetch(request(Method::GET, "/reads/x", "1")).await;
    assert_eq!(answer, (500, Some("oops".to_owned())));
}
