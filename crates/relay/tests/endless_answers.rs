//! Upstreams that write bytes which are no answer until the other side closes.

mod common;

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use common::{
    Action, EVENTS, ReceivedRequest, StubUpstream, TestInstance, generation_request, in_other_zone,
    is_prefill, read_request,
};
use http::{HeaderValue, Request};
use http_body_util::Full;
use relay::bounded_body::MAX_CALL_ANSWER_BYTES;
use relay::pool::{Pool, call_on_new_connection};
use relay::upstream::Stage;
use tick::Clock;

/// Requests of a test, one after the other.
const REQUESTS: usize = 6;

/// Longest time that one of them may take beside a sound upstream, in ms.
const MAX_TOOK_MS: u128 = 1_000;

/// Time to the deadline of a stream that is never silent, in ms.
const DEADLINE_MS: u64 = 1_000;

/// Time by which it may end later, in ms.
const MAX_LATE_MS: u128 = 500;

/// Most that all of them together may make this instance take from the upstream, in bytes.
const MAX_TAKEN_BYTES: usize = 64 << 20;

/// What an upstream writes after the head of its answer, or in place of one.
#[derive(Debug, Clone, Copy)]
enum Shape {
    NoStatusLine,
    Header,
    InterimAnswers,
    ChunkExtension,
    Chunks,
    TinyChunks,
    UntilClose,
    Event,
    Comments,
}

const ALL: [Shape; 9] = [
    Shape::NoStatusLine,
    Shape::Header,
    Shape::InterimAnswers,
    Shape::ChunkExtension,
    Shape::Chunks,
    Shape::TinyChunks,
    Shape::UntilClose,
    Shape::Event,
    Shape::Comments,
];

impl Shape {
    fn actions(self, received: &ReceivedRequest) -> Vec<Action> {
        let attempt = received.header("x-attempt").unwrap_or("none");
        let head = |framing: &str| {
            format!("HTTP/1.1 200 OK\r\nx-attempt: {attempt}\r\nx-signature: p\r\n{framing}\r\n")
        };
        let chunked = "transfer-encoding: chunked\r\n";
        let (begin, endless) = match self {
            Self::NoStatusLine => (String::new(), "x".to_owned()),
            Self::Header => ("HTTP/1.1 200 OK\r\nx-long: ".to_owned(), "x".to_owned()),
            Self::InterimAnswers => (
                String::new(),
                "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n".to_owned(),
            ),
            Self::ChunkExtension => (head(chunked) + "5;x=", "x".to_owned()),
            Self::Chunks => {
                let chunk = format!("10000\r\n{}\r\n", "x".repeat(0x1_0000));
                (head(chunked), chunk)
            }
            Self::TinyChunks => (head(chunked), "8\r\nxxxxxxxx\r\n".to_owned()),
            Self::UntilClose => (head(""), "xxxxxxxx".to_owned()),
            Self::Event => (head("") + "id: 1\ndata: ", "x".to_owned()),
            Self::Comments => (head(""), ": nothing\n".to_owned()),
        };
        vec![Action::Write(begin), Action::WriteWithoutEnd(endless)]
    }

    fn upstream(self) -> StubUpstream {
        StubUpstream::start(move |received| self.actions(received))
    }
}

/// Sends requests one after the other, which a sound upstream answers beside one of this shape.
async fn check_served(
    shape: Shape,
    endless: &StubUpstream,
    instance: &TestInstance,
    request: impl Fn(usize) -> Request<Full<Bytes>>,
) {
    for id in 1..=REQUESTS {
        let began = Instant::now();
        let (status, body) = instance.fetch(request(id)).await;
        let took_ms = began.elapsed().as_millis();
        assert_eq!((status, body.as_deref()), (200, Some(EVENTS)), "{shape:?}");
        assert!(took_ms <= MAX_TOOK_MS, "{shape:?}: {took_ms} ms");
    }
    assert!(endless.count() > 0, "{shape:?}: the upstream was not asked");
    let taken = endless.endless_bytes.get();
    assert!(taken <= MAX_TAKEN_BYTES, "{shape:?}: {taken} bytes taken");
}

fn sound() -> StubUpstream {
    StubUpstream::start(|received| received.response("200 OK", "", EVENTS))
}

/// Guards against requests that wait until their deadline, and an instance that runs out of memory, because a plain
/// upstream writes without end.
#[actix_rt::test]
async fn a_plain_answer_without_end_is_no_answer() {
    for shape in ALL {
        let (endless, sound) = (shape.upstream(), sound());
        let entries = vec![
            endless.entry("endless", "desk", Stage::Whole),
            in_other_zone(sound.entry("sound", "desk", Stage::Whole)),
        ];
        let instance = TestInstance::start(entries);
        check_served(shape, &endless, &instance, read_request).await;
    }
}

/// Guards against the same where the answer is a stream that another engine can go on with.
#[actix_rt::test]
async fn a_stream_without_end_is_no_answer() {
    for shape in ALL {
        let (endless, sound) = (shape.upstream(), sound());
        let entries = vec![
            endless.entry("endless", "llm", Stage::Decode),
            in_other_zone(sound.entry("sound", "llm", Stage::Decode)),
        ];
        let instance = TestInstance::start(entries);
        let request = |id| generation_request("/grades/x", id, 300);
        check_served(shape, &endless, &instance, request).await;
    }
}

/// Guards against a stream that may not be repeated and is kept until its deadline by an event without end.
#[actix_rt::test]
async fn a_stream_that_may_not_be_resumed_is_broken_off_in_an_event_without_end() {
    let endless = Shape::Event.upstream();
    let instance = TestInstance::start(vec![endless.entry("endless", "llm", Stage::Decode)]);
    let began = Instant::now();
    let (_, body) = instance.fetch(generation_request("/once/x", 1, 300)).await;
    assert_eq!(body, None, "it must not look complete");
    assert!(began.elapsed().as_millis() <= MAX_TOOK_MS);
}

/// An engine that writes whole events without end.
fn endless_events() -> StubUpstream {
    StubUpstream::start(|received| {
        let head = received.response_text("200 OK", "", "");
        let head = head.replace("content-length: 0\r\n", "");
        let events = Action::WriteWithoutEnd("data: x\n\n".to_owned());
        vec![Action::Write(head), events]
    })
}

/// Guards against a stream that goes on past its deadline, because there is always something to pass on.
#[actix_rt::test]
async fn a_stream_that_is_never_silent_ends_at_its_deadline() {
    let endless = endless_events();
    let instance = TestInstance::start(vec![endless.entry("endless", "llm", Stage::Whole)]);
    let mut request = generation_request("/once/x", 1, 300);
    request.headers_mut().remove("x-prompt");
    request
        .headers_mut()
        .insert("x-left-ms", HeaderValue::from(DEADLINE_MS));
    let began = Instant::now();
    let (_, body) = instance.fetch(request).await;
    assert_eq!(body, None, "it must not look complete");
    let took_ms = began.elapsed().as_millis();
    assert!(
        took_ms <= u128::from(DEADLINE_MS) + MAX_LATE_MS,
        "{took_ms} ms"
    );
}

/// Guards against callers that get events until their deadline, many more than the output that they asked for has tokens.
#[actix_rt::test]
async fn a_stream_with_more_events_than_tokens_is_broken_off() {
    let endless = endless_events();
    let instance = TestInstance::start(vec![endless.entry("endless", "llm", Stage::Decode)]);
    let began = Instant::now();
    let (_, body) = instance
        .fetch(generation_request("/grades/x", 1, 300))
        .await;
    assert_eq!(body, None, "it must not look complete");
    assert!(began.elapsed().as_millis() <= MAX_TOOK_MS);
}

/// Guards against prompts that are not prefilled, because the answer of the prefill engine does not end.
#[actix_rt::test]
async fn a_prefill_answer_without_end_is_no_answer() {
    for shape in ALL {
        let prefill = shape.upstream();
        let decode = sound();
        let entries = vec![
            prefill.entry("endless", "llm", Stage::Prefill),
            decode.entry("sound", "llm", Stage::Decode),
        ];
        let instance = TestInstance::start(entries);
        let request = |id| generation_request("/grades/x", id, 10_000);
        check_served(shape, &prefill, &instance, request).await;
        assert!(prefill.received.borrow().iter().any(is_prefill));
    }
}

/// Guards against calls of the instance's own, to a peer or an upstream, that read without end.
#[actix_rt::test]
async fn an_answer_without_end_to_an_own_call_is_no_answer() {
    for shape in ALL {
        let endless = shape.upstream();
        let clock = Clock::of_age(Duration::from_secs(60));
        let request = || read_request(1);
        let wait = Duration::from_secs(5);
        let began = Instant::now();
        let answered = call_on_new_connection(
            endless.address,
            clock,
            request(),
            wait,
            MAX_CALL_ANSWER_BYTES,
        )
        .await;
        assert!(answered.is_err(), "{shape:?}");
        let pool: Rc<Pool> = Pool::new(endless.address, clock);
        assert!(pool.call(request(), 350).await.is_err(), "{shape:?}");
        let took_ms = began.elapsed().as_millis();
        assert!(took_ms <= 2 * MAX_TOOK_MS, "{shape:?}: {took_ms} ms");
        let taken = endless.endless_bytes.get();
        assert!(taken <= MAX_TAKEN_BYTES, "{shape:?}: {taken} bytes taken");
    }
}
