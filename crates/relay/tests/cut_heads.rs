//! Answers that stop after each byte of their head, at everything that reads one.

mod common;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use common::{
    Action, EVENTS, Link, LinkState, ReceivedRequest, StubUpstream, TestInstance,
    generation_request, in_other_zone, is_prefill, meet, request, settings,
};
use http::{Method, Request};
use http_body_util::Full;
use plan::Sign;
use relay::inquiry::ask;
use relay::listener::bind;
use relay::snapshot::query_peer;
use relay::upstream::{Stage, UpstreamEntry};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// An answer's framing: interim answers before its head, its version, and its last headers.
type Framing = (&'static str, &'static str, &'static str);

const FRAMINGS: [Framing; 7] = [
    ("", "1.1", "content-length: 14\r\nx-last: 1\r\n"),
    ("", "1.1", "x-first: 1\r\ncontent-length: 14\r\n"),
    ("", "1.1", "transfer-encoding: chunked\r\n"),
    ("", "1.1", "x-neither: 1\r\n"),
    ("", "1.0", "x-neither: 1\r\n"),
    ("", "1.0", "content-length: 14\r\n"),
    (
        "HTTP/1.1 100 Continue\r\n\r\n",
        "1.1",
        "content-length: 14\r\n",
    ),
];

/// Headers of an answer that is empty on purpose.
const EMPTY: Framing = ("", "1.1", "content-length: 0\r\n");

/// Paths of an unsafe and a safe request, and of a stream that may be resumed and one that may not.
const PATHS: [&str; 4] = ["/claims/", "/reads/", "/grades/", "/once/"];

/// How a cut answer's connection ends.
const ENDINGS: [fn() -> Action; 2] = [|| Action::Close, || Action::Reset];

/// The head of a signed success to this request.
fn head(received: &ReceivedRequest, (interim, version, headers): Framing) -> String {
    let attempt = received.header("x-attempt").unwrap_or("none");
    format!(
        "{interim}HTTP/{version} 200 OK\r\nx-attempt: {attempt}\r\nx-signature: p\r\n{headers}\r\n"
    )
}

/// Steps that write the first `length` bytes of a text and end its connection.
fn cut(text: &str, length: usize, end: fn() -> Action) -> Vec<Action> {
    let written = Action::Write(text[..length.min(text.len())].to_owned());
    match end() {
        // What a reset overtakes was never sent.
        Action::Reset => vec![written, Action::Wait(1), Action::Reset],
        end => vec![written, end],
    }
}

fn caller_request(path: &str, id: usize) -> Request<Full<Bytes>> {
    let path = format!("{path}{id}");
    match path.split('/').nth(1) {
        Some("claims") => request(Method::POST, &path, &id.to_string()),
        Some("reads") => request(Method::GET, &path, &id.to_string()),
        _ => generation_request(&path, id, 90),
    }
}

/// In the paths of requests that are answered whole, so that their connections are kept.
const FIRST: &str = "/9000";

/// The kind of upstream that serves a path.
fn served_by(path: &str) -> (&'static str, Stage) {
    match path {
        "/claims/" | "/reads/" => ("desk", Stage::Whole),
        _ => ("llm", Stage::Decode),
    }
}

/// An upstream whose answers stop after as many bytes as the cell says, and the length of a head.
struct CutUpstream {
    stub: StubUpstream,
    length: Rc<Cell<usize>>,
    head_bytes: Rc<Cell<usize>>,
}

impl CutUpstream {
    /// Starts one that answers the first requests on its connections whole.
    fn start(framing: Framing, end: fn() -> Action) -> Self {
        let length = Rc::new(Cell::new(0));
        let head_bytes = Rc::new(Cell::new(usize::MAX));
        let (cut_at, bytes) = (Rc::clone(&length), Rc::clone(&head_bytes));
        let stub = StubUpstream::start(move |received| {
            if received.request_line.contains(FIRST) {
                return received.response("200 OK", "", EVENTS);
            }
            let head = head(received, framing);
            bytes.set(head.len());
            cut(&head, cut_at.get(), end)
        });
        Self {
            stub,
            length,
            head_bytes,
        }
    }

    fn entry(&self, id: &str, path: &str) -> UpstreamEntry {
        let (service, stage) = served_by(path);
        self.stub.entry(id, service, stage)
    }
}

/// Whether a caller got a success that looks complete.
fn is_whole((status, body): &(u16, Option<String>)) -> bool {
    *status == 200 && body.is_some()
}

/// Sends one request for each cut of an upstream's head, and returns those that got a success that looks complete.
async fn send_cut(
    instance: &TestInstance,
    upstream: &CutUpstream,
    path: &str,
    id: &mut usize,
    is_second: bool,
) -> Vec<String> {
    let mut wrong = Vec::new();
    let mut length = 0;
    while length <= upstream.head_bytes.get() {
        upstream.length.set(length);
        if is_second {
            let first = caller_request(path, 900_000_000 + *id);
            assert!(is_whole(&instance.fetch(first).await), "{path} {length}");
        }
        *id += 1;
        let count = upstream.stub.count();
        let got = instance.fetch(caller_request(path, *id)).await;
        if is_whole(&got) {
            wrong.push(format!("{path} after {length} bytes: {got:?}"));
        }
        assert!(upstream.stub.count() > count, "{path} {length}: not sent");
        length += 1;
    }
    assert!(length > 60, "{path}: {length}");
    wrong
}

/// Requests of each kind whose answers stop in each framing and way; those that look complete.
async fn send_all_cut(is_second: bool) -> Vec<String> {
    let mut id = 0;
    let mut wrong = Vec::new();
    for path in PATHS {
        for framing in FRAMINGS {
            for end in ENDINGS {
                let upstream = CutUpstream::start(framing, end);
                let instance = TestInstance::start(vec![upstream.entry("one", path)]);
                let got = send_cut(&instance, &upstream, path, &mut id, is_second).await;
                wrong.extend(got.into_iter().map(|it| format!("{framing:?} {it}")));
            }
        }
    }
    wrong
}

/// Guards against an answer whose head was cut and that reaches its caller as a whole one.
#[actix_rt::test]
async fn an_answer_that_stops_in_its_head_is_none() {
    assert_eq!(send_all_cut(false).await, Vec::<String>::new());
}

/// Guards against the same on a connection that brought a whole answer before.
#[actix_rt::test]
async fn a_second_answer_that_stops_in_its_head_is_none() {
    assert_eq!(send_all_cut(true).await, Vec::<String>::new());
}

/// Guards against a cut head that is passed on, or ends the request, though another upstream may serve it.
#[actix_rt::test]
async fn a_sound_upstream_serves_what_may_be_repeated() {
    let mut id = 0;
    for path in ["/reads/", "/grades/"] {
        for framing in FRAMINGS {
            for end in ENDINGS {
                for length in (0..200).step_by(12).chain([usize::MAX]) {
                    let upstream = CutUpstream::start(framing, end);
                    upstream.length.set(length);
                    let sound =
                        StubUpstream::start(|received| received.response("200 OK", "", EVENTS));
                    let (service, stage) = served_by(path);
                    let beside = in_other_zone(sound.entry("two", service, stage));
                    let entries = vec![upstream.entry("one", path), beside];
                    let instance = TestInstance::start(entries);
                    id += 1;
                    let got = instance.fetch(caller_request(path, id)).await;
                    let served = (200, Some(EVENTS.to_owned()));
                    assert_eq!(got, served, "{path} {framing:?} after {length} bytes");
                    if length >= upstream.head_bytes.get() {
                        break;
                    }
                }
            }
        }
    }
}

/// Guards against a KV cache that a cut answer to a separate prefill names, or a request that fails for it.
#[actix_rt::test]
async fn a_prefill_answer_that_stops_in_its_head_names_no_cache() {
    let mut id = 0;
    for framing in FRAMINGS {
        for end in ENDINGS {
            for length in (0..200).step_by(12).chain([usize::MAX]) {
                let upstream = CutUpstream::start(framing, end);
                upstream.length.set(length);
                let decode =
                    StubUpstream::start(|received| received.response("200 OK", "", EVENTS));
                let instance = TestInstance::start(vec![
                    upstream.stub.entry("prefill", "llm", Stage::Prefill),
                    decode.entry("decode", "llm", Stage::Decode),
                ]);
                id += 1;
                let request = generation_request(&format!("/once/{id}"), id, 17_000);
                let got = instance.fetch(request).await;
                assert_eq!(got, (200, Some(EVENTS.to_owned())), "{framing:?} {length}");
                assert!(upstream.stub.received.borrow().iter().all(is_prefill));
                let received = decode.received.borrow();
                let is_named = received.iter().any(|it| it.header("x-kv").is_some());
                assert!(!is_named, "{framing:?} {length}");
                if length >= upstream.head_bytes.get() {
                    break;
                }
            }
        }
    }
}

/// Guards against a report whose head was cut and that counts as a sign of life.
#[actix_rt::test]
async fn a_report_that_stops_in_its_head_shows_nothing() {
    for framing in FRAMINGS {
        for end in ENDINGS {
            let length = Rc::new(Cell::new(0));
            let head_bytes = Rc::new(Cell::new(usize::MAX));
            let (cut_at, bytes) = (Rc::clone(&length), Rc::clone(&head_bytes));
            let listener = bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
            let stub = StubUpstream::start_on(listener, move |received| {
                let head = head(received, framing);
                bytes.set(head.len());
                cut(&head, cut_at.get(), end)
            });
            let instance = TestInstance::start(vec![stub.entry("one", "desk", Stage::Whole)]);
            let upstream = instance.relay.upstreams.borrow().get("one").cloned();
            let upstream = upstream.expect("an upstream");
            while length.get() <= head_bytes.get() {
                let sign = ask(&instance.relay, &upstream).await;
                assert_eq!(sign, Sign::Unanswered, "{framing:?} {}", length.get());
                length.set(length.get() + 1);
            }
        }
    }
}

/// An instance that is cut off from its upstream, and a peer that answers what is handed over as `respond` says.
async fn start_cut_off(
    respond: impl Fn(&ReceivedRequest) -> Vec<Action> + 'static,
) -> (TestInstance, Vec<StubUpstream>) {
    let desk = StubUpstream::start(|received| received.response("200 OK", "", EVENTS));
    let link = Link::open(desk.address);
    let entry = desk.entry("up", "desk", Stage::Whole);
    let instance = TestInstance::start_peer("a", "here", vec![link.entry(entry.clone())]).await;
    let (peer, listener) = TestInstance::start_gossiping("b", "here", vec![entry]).await;
    let at_peer = StubUpstream::start_on(listener, respond);
    meet(&[&instance, &peer]).await;
    link.set(LinkState::Refusing);
    actix_rt::spawn(async move {
        for id in 1.. {
            peer.fetch(caller_request("/reads/", 1_000_000 + id)).await;
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    });
    for id in 1..200 {
        if instance.relay.is_cut_off("desk") {
            break;
        }
        instance
            .fetch(caller_request("/reads/", 2_000_000 + id))
            .await;
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(instance.relay.is_cut_off("desk"));
    (instance, vec![at_peer, desk])
}

/// Guards against an answer of a peer whose head was cut and that reaches the caller as a whole one.
#[actix_rt::test]
async fn a_peers_answer_that_stops_in_its_head_is_none() {
    let state = Rc::new(Cell::new((FRAMINGS[0], 0, 0)));
    let head_bytes = Rc::new(Cell::new(usize::MAX));
    let (cut_at, bytes) = (Rc::clone(&state), Rc::clone(&head_bytes));
    let (instance, stubs) = start_cut_off(move |received| {
        let (framing, length, end) = cut_at.get();
        let head = head(received, framing).replace("x-signature: p", "relay-handover: up");
        bytes.set(head.len());
        cut(&head, length, ENDINGS[end])
    })
    .await;
    let mut id = 0;
    for path in ["/reads/", "/claims/"] {
        for framing in FRAMINGS {
            for end in 0..ENDINGS.len() {
                head_bytes.set(usize::MAX);
                let mut length = 0;
                while length <= head_bytes.get() {
                    state.set((framing, length, end));
                    id += 1;
                    let count = stubs[0].count();
                    let got = instance.fetch(caller_request(path, id)).await;
                    assert!(!is_whole(&got), "{path} {framing:?} {length}: {got:?}");
                    assert!(stubs[0].count() > count, "{path} {length}: not sent");
                    length += 1;
                }
            }
        }
    }
}

/// Guards against a peer's state of which only a part came.
#[actix_rt::test]
async fn a_peers_state_that_stops_in_its_head_is_none() {
    for framing in FRAMINGS {
        for length in (0..200).step_by(12) {
            let listener = bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
            let stub = StubUpstream::start_on(listener, move |received| {
                cut(&head(received, framing), length, ENDINGS[0])
            });
            let mut own = settings();
            own.seeds = vec![stub.address];
            let instance = TestInstance::unconfigured(own);
            query_peer(&instance.relay).await;
            assert_eq!(stub.count(), 1);
            assert!(!instance.relay.is_ready(), "{framing:?} {length}");
        }
    }
}

/// All that a caller reads of the answer to a request until its connection ends in order.
async fn read_raw(instance: &TestInstance, path: &str, version: &str) -> String {
    let stream = TcpStream::connect(instance.address).await;
    let mut stream = stream.expect("a connection");
    let text = format!(
        "GET {path} HTTP/{version}\r\nhost: host.test\r\nx-attempt: 1\r\nx-left-ms: 3000\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).await.expect("a request");
    let mut received = String::new();
    let read = stream.read_to_string(&mut received);
    let read = actix_rt::time::timeout(Duration::from_secs(2), read).await;
    read.expect("an end").expect("an orderly end");
    received.to_ascii_lowercase()
}

/// An answer whose end only the close marks.
fn unframed(received: &ReceivedRequest, version: &'static str) -> Vec<Action> {
    let head = head(received, ("", version, "x-neither: 1\r\n"));
    cut(&(head + "its body"), usize::MAX, ENDINGS[0])
}

fn ends_only_by_close(answer: &str) -> bool {
    let (head, body) = answer.split_once("\r\n\r\n").expect("a head");
    let vouches = head.contains("content-length") || head.contains("transfer-encoding");
    head.contains(" 200 ok") && !vouches && body == "its body"
}

/// Guards against an end that only the close of a connection marks and that becomes one which is vouched for.
#[actix_rt::test]
async fn an_end_that_only_the_close_marks_stays_one() {
    for upstream_version in ["1.0", "1.1"] {
        for path in ["/reads/x", "/claims/x"] {
            for version in ["1.0", "1.1"] {
                let desk =
                    StubUpstream::start(move |received| unframed(received, upstream_version));
                let instance = TestInstance::start(vec![desk.entry("one", "desk", Stage::Whole)]);
                let answer = read_raw(&instance, path, version).await;
                assert!(ends_only_by_close(&answer), "{path} {version}: {answer}");
            }
        }
    }
}

/// Guards against the same on the way over a peer.
#[actix_rt::test]
async fn an_end_that_only_the_close_marks_stays_one_over_a_peer() {
    let desk = StubUpstream::start(|received| match received.header("x-attempt") {
        Some("1") => unframed(received, "1.1"),
        _ => received.response("200 OK", "", EVENTS),
    });
    let link = Link::open(desk.address);
    let entry = desk.entry("up", "desk", Stage::Whole);
    let instance = TestInstance::start_peer("a", "here", vec![link.entry(entry.clone())]).await;
    let peer = Rc::new(TestInstance::start_peer("b", "here", vec![entry]).await);
    meet(&[&instance, &peer]).await;
    link.set(LinkState::Refusing);
    for id in 1..200 {
        if instance.relay.is_cut_off("desk") {
            break;
        }
        peer.fetch(caller_request("/reads/", 1_000_000 + id)).await;
        instance
            .fetch(caller_request("/reads/", 2_000_000 + id))
            .await;
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(instance.relay.is_cut_off("desk"));
    let answer = read_raw(&instance, "/reads/x", "1.1").await;
    assert!(ends_only_by_close(&answer), "{answer}");
}

/// Guards against a stream without one event that looks like a whole generation, since its engine told a length of 0.
#[actix_rt::test]
async fn a_stream_that_is_empty_by_its_length_is_no_answer() {
    let engine_of = |stage| {
        let stub = StubUpstream::start(|received| vec![Action::Write(head(received, EMPTY))]);
        stub.entry("one", "llm", stage)
    };
    let engine = || engine_of(Stage::Decode);
    for path in ["/once/", "/grades/"] {
        let instance = TestInstance::start(vec![engine()]);
        let (status, _) = instance.fetch(caller_request(path, 1)).await;
        assert_eq!(status, 502, "{path}");
    }
    let sound = StubUpstream::start(|received| received.response("200 OK", "", EVENTS));
    let beside = in_other_zone(sound.entry("two", "llm", Stage::Decode));
    let instance = TestInstance::start(vec![engine(), beside]);
    let got = instance.fetch(caller_request("/grades/", 1)).await;
    assert_eq!(got, (200, Some(EVENTS.to_owned())));
    // Without a declared prompt only an engine without stages is asked.
    let instance = TestInstance::start(vec![engine_of(Stage::Whole)]);
    let (status, _) = instance.fetch(request(Method::POST, "/once/x", "1")).await;
    assert_eq!(status, 502, "without a declared prompt");
}

/// Guards against a plain answer that is empty on purpose and is taken for a cut one.
#[actix_rt::test]
async fn a_plain_answer_that_is_empty_by_its_length_is_whole() {
    for path in ["/claims/", "/reads/"] {
        let desk = StubUpstream::start(|received| vec![Action::Write(head(received, EMPTY))]);
        let instance = TestInstance::start(vec![desk.entry("one", "desk", Stage::Whole)]);
        let got = instance.fetch(caller_request(path, 1)).await;
        assert_eq!(got, (200, Some(String::new())), "{path}");
    }
}
