//! What callers get when the answer of an engine ends, however its end is marked.

mod common;

use std::io::ErrorKind;

use common::{
    Action, ReceivedRequest, StubUpstream, TestInstance, generation_request, request, wait_until,
};
use http::{HeaderValue, Method};
use relay::framing::Framing;
use relay::upstream::Stage;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Two events and the beginning of a third.
const BROKEN: &str = "id: 1\ndata: one\n\nid: 2\ndata: two\n\nid: 3\nda";

/// Path of a stream that may not be resumed, and of one that may.
const PATHS: [&str; 2] = ["/once/x", "/grades/x"];

const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunks, Framing::Close];

/// An answer with this body whose end is marked in this way; the connection closes after it.
fn answer(received: &ReceivedRequest, framing: Framing, body: &str) -> Vec<Action> {
    let attempt = received.header("x-attempt").unwrap_or("none");
    let (header, body) = match framing {
        Framing::Length => (
            format!("content-length: {}\r\n", body.len()),
            body.to_owned(),
        ),
        Framing::Chunks => ("transfer-encoding: chunked\r\n".to_owned(), chunked(body)),
        Framing::Close => (String::new(), body.to_owned()),
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-attempt: {attempt}\r\nx-signature: p\r\ncontent-type: text/event-stream\r\n{header}\r\n"
    );
    vec![Action::Write(head + &body), Action::Wait(30), Action::Close]
}

fn chunked(body: &str) -> String {
    let chunk = if body.is_empty() {
        String::new()
    } else {
        format!("{:x}\r\n{body}\r\n", body.len())
    };
    chunk + "0\r\n\r\n"
}

/// An engine that always answers so.
fn engine(framing: Framing, body: &str) -> StubUpstream {
    let body = body.to_owned();
    StubUpstream::start(move |received| answer(received, framing, &body))
}

/// What a caller gets of such an answer; `None` if it sees that the answer broke off.
async fn fetch(path: &str, framing: Framing, body: &str) -> Option<String> {
    let engine = engine(framing, body);
    let instance = TestInstance::start(vec![engine.entry("one", "llm", Stage::Decode)]);
    let (status, body) = instance.fetch(generation_request(path, 1, 90)).await;
    assert_eq!(status, 200);
    body
}

/// Guards against an answer that broke off within an event and looks complete, however its end is marked.
#[actix_rt::test]
async fn a_stream_that_broke_off_within_an_event_never_looks_complete() {
    let within_first = &BROKEN[..8];
    let within_second = &BROKEN[..26];
    let without_empty_line = &BROKEN[..33];
    for path in PATHS {
        for framing in FRAMINGS {
            for body in [within_first, within_second, without_empty_line, BROKEN] {
                let received = fetch(path, framing, body).await;
                assert_eq!(received, None, "{path} {framing:?} {body:?}");
            }
        }
    }
}

/// Guards against a whole stream that is taken for a broken one.
#[actix_rt::test]
async fn a_whole_stream_looks_complete_however_its_end_is_marked() {
    let whole = &BROKEN[..34];
    for path in PATHS {
        for framing in FRAMINGS {
            let received = fetch(path, framing, whole).await;
            assert_eq!(received.as_deref(), Some(whole), "{path} {framing:?}");
        }
    }
}

/// Guards against a stream without an event that looks like a whole, empty answer, however its engine marked the end: a
/// generation has one at least.
#[actix_rt::test]
async fn a_stream_without_an_event_is_never_complete() {
    for path in PATHS {
        for framing in FRAMINGS {
            let engine = engine(framing, "");
            let instance = TestInstance::start(vec![engine.entry("one", "llm", Stage::Decode)]);
            let (status, body) = instance.fetch(generation_request(path, 1, 90)).await;
            let is_broken_off = status == 200 && body.is_none();
            assert!(
                status == 502 || is_broken_off,
                "{path} {framing:?}: {status} {body:?}"
            );
        }
    }
}

/// Guards against a stream that its caller has whole already, and that is taken for a broken one when it is taken up.
#[actix_rt::test]
async fn the_rest_of_a_stream_may_be_empty_if_its_engine_marked_the_end() {
    for framing in FRAMINGS {
        let engine = engine(framing, "");
        let instance = TestInstance::start(vec![engine.entry("one", "llm", Stage::Decode)]);
        let mut request = generation_request("/grades/x", 1, 90);
        request
            .headers_mut()
            .insert("last-event-id", HeaderValue::from_static("2"));
        let (status, body) = instance.fetch(request).await;
        let expected = (framing != Framing::Close).then(String::new);
        assert_eq!((status, body), (200, expected), "{framing:?}");
    }
}

/// Guards against a whole stream that is taken for a broken one because of its line ends, which a stream may mix.
#[actix_rt::test]
async fn a_whole_stream_looks_complete_whatever_its_line_ends() {
    let mixed = "id: 1\r\ndata: one\n\r\nid: 2\rdata: two\n\n";
    for body in [
        BROKEN[..34].replace('\n', "\r\n"),
        BROKEN[..34].replace('\n', "\r"),
        mixed.to_owned(),
    ] {
        for path in PATHS {
            for framing in FRAMINGS {
                let received = fetch(path, framing, &body).await;
                assert_eq!(
                    received.as_deref(),
                    Some(body.as_str()),
                    "{path} {framing:?}"
                );
            }
        }
    }
}

/// What a caller that speaks HTTP/1.0 reads until its connection ends, or the error with which it ends.
async fn fetch_http10(path: &str, body: &str) -> Result<String, ErrorKind> {
    let engine = engine(Framing::Close, body);
    let instance = TestInstance::start(vec![engine.entry("one", "llm", Stage::Decode)]);
    let mut stream = TcpStream::connect(instance.address)
        .await
        .expect("a connection");
    let request = format!(
        "POST {path} HTTP/1.0\r\nhost: host.test\r\nx-attempt: 1\r\nx-left-ms: 3000\r\nx-prompt: 1:90\r\ncontent-length: 0\r\n\r\n"
    );
    stream
        .write_all(request.as_bytes())
        .await
        .expect("a request");
    let mut received = String::new();
    let read = stream.read_to_string(&mut received).await;
    read.map(|_| received).map_err(|error| error.kind())
}

/// Guards against a broken answer that a caller of HTTP/1.0 takes for a whole one: only the end of its connection tells.
#[actix_rt::test]
async fn a_broken_stream_resets_the_connection_of_a_caller_without_chunks() {
    for path in PATHS {
        let broken = fetch_http10(path, BROKEN).await;
        assert_eq!(broken, Err(ErrorKind::ConnectionReset), "{path}");
        let whole = fetch_http10(path, &BROKEN[..34]).await;
        let whole = whole.expect("an orderly end");
        assert!(whole.ends_with(&BROKEN[..34]), "{path}: {whole}");
    }
}

/// Guards against a stream whose request declares no prompt: it is no plain answer, which is complete as its end is.
#[actix_rt::test]
async fn a_broken_stream_without_a_declared_prompt_never_looks_complete() {
    for framing in FRAMINGS {
        let engine = engine(framing, BROKEN);
        let instance = TestInstance::start(vec![engine.entry("one", "llm", Stage::Whole)]);
        let (status, body) = instance.fetch(request(Method::POST, "/once/x", "1")).await;
        assert_eq!((status, body), (200, None), "{framing:?}");
    }
}

/// Guards against an engine that crashes within the answer of a separate prefill without being asked for a sign of life:
/// where only the close marks the end, the answer looks like a whole one that cannot be read.
#[actix_rt::test]
async fn a_prefill_answer_that_broke_off_counts_as_lost() {
    let prefill = StubUpstream::start(|received| {
        let mut actions = answer(received, Framing::Close, "kv");
        actions.pop();
        actions.push(Action::Crash);
        actions
    });
    let engine = engine(Framing::Length, &BROKEN[..34]);
    let instance = TestInstance::start(vec![
        prefill.entry("prefill", "llm", Stage::Prefill),
        engine.entry("one", "llm", Stage::Decode),
    ]);
    let (status, _) = instance
        .fetch(generation_request("/once/x", 1, 17_000))
        .await;
    assert_eq!((status, prefill.count()), (200, 1));
    let is_asked = || {
        let metrics = String::from_utf8(instance.relay.metrics_text()).expect("text");
        metrics.contains("chicoryrack_inquiries_total{")
    };
    assert!(wait_until(is_asked).await, "nobody asked the engine");
}
