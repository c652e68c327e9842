//! Sound upstreams that fall silent for a second or so and go on.

mod common;

use common::{
    Action, ReceivedRequest, StubUpstream, TestInstance, generation_request, in_other_zone,
    read_request, settings,
};
use futures_util::future::join_all;
use http::HeaderValue;
use plan::{HealthStatus, RetryBudgetSettings};
use relay::Settings;
use relay::upstream::{Stage, UpstreamEntry};
use tokio::net::TcpSocket;

/// Time for which the engine of the test is silent within a stream, in ms.
const SILENCE_MS: u64 = 1_100;

/// The events of a stream, the second after a silence.
const EVENTS: [&str; 2] = ["id: 1\ndata: 1\n\n", "id: 2\ndata: 2\n\n"];

/// Where in its answer an upstream falls silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Place {
    /// Before the head.
    Head,
    /// Between the head and the first event.
    FirstEvent,
    /// Before the second event.
    SecondEvent,
}

/// A stream that is silent at `place` for `silence_ms`.
fn silent_stream(received: &ReceivedRequest, place: Place, silence_ms: u64) -> Vec<Action> {
    let whole = received.response_text("200 OK", "", &EVENTS.concat());
    let events_at = whole.len() - EVENTS.concat().len();
    let at = match place {
        Place::Head => 0,
        Place::FirstEvent => events_at,
        Place::SecondEvent => events_at + EVENTS[0].len(),
    };
    vec![
        Action::Write(whole[..at].to_owned()),
        Action::Wait(silence_ms),
        Action::Write(whole[at..].to_owned()),
    ]
}

/// The other upstream of the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Other {
    /// There is none.
    None,
    /// It rejects all requests.
    Rejects,
    /// Nothing listens at its address.
    Dead,
    /// It is silent before its answer's head as well.
    Silent,
    /// It is sound, but no retry is left.
    NoRetryLeft,
    /// It is sound.
    Sound,
}

const OTHERS: [Other; 6] = [
    Other::None,
    Other::Rejects,
    Other::Dead,
    Other::Silent,
    Other::NoRetryLeft,
    Other::Sound,
];

impl Other {
    fn stub(self) -> Option<StubUpstream> {
        match self {
            Self::None | Self::Dead => None,
            Self::Rejects => Some(StubUpstream::start(|received| {
                received.response("503 Service Unavailable", "x-not-run: 1\r\n", "")
            })),
            Self::Silent => Some(StubUpstream::start(|received| {
                silent_stream(received, Place::Head, 10_000)
            })),
            Self::NoRetryLeft | Self::Sound => Some(StubUpstream::start(|received| {
                received.response("200 OK", "", &EVENTS.concat())
            })),
        }
    }

    fn settings(self) -> Settings {
        let mut settings = settings();
        if self == Self::NoRetryLeft {
            settings.retry_budget = RetryBudgetSettings {
                ratio: 0.0,
                slack: 0.0,
                ..settings.retry_budget
            };
        }
        settings
    }
}

/// An instance whose first choice is `first`, and what keeps the other upstream's address.
struct Fleet {
    instance: TestInstance,
    _refusing: TcpSocket,
}

impl Fleet {
    /// Starts the instance; the other upstream is in another availability zone.
    fn start(first: &StubUpstream, other: Other, service: &str, stage: Stage) -> Self {
        let refusing = TcpSocket::new_v4().expect("a socket");
        refusing
            .bind("127.0.0.1:0".parse().expect("an address"))
            .expect("a port");
        let mut entries = vec![first.entry("one", service, stage)];
        if let Some(second) = other.stub() {
            entries.push(in_other_zone(second.entry("two", service, stage)));
        }
        if other == Other::Dead {
            entries.push(in_other_zone(UpstreamEntry {
                address: refusing.local_addr().expect("an address"),
                ..first.entry("two", service, stage)
            }));
        }
        Self {
            instance: TestInstance::start_with(other.settings(), entries),
            _refusing: refusing,
        }
    }
}

/// What became of a stream whose first engine is silent; none if it was whole and made once there.
async fn silent_stream_fault(other: Other, place: Place, silence_ms: u64) -> Option<String> {
    let first = StubUpstream::start(move |received| silent_stream(received, place, silence_ms));
    let fleet = Fleet::start(&first, other, "llm", Stage::Decode);
    let request = generation_request("/grades/x", 1, 300);
    let (status, body) = fleet.instance.fetch(request).await;
    let is_whole = status == 200 && body.as_deref() == Some(&EVENTS.concat());
    let fault = format!(
        "{other:?}, silent for {silence_ms} ms at {place:?}: {status}, {body:?}, made {} times there",
        first.count()
    );
    (!is_whole || first.count() != 1).then_some(fault)
}

/// Guards against a stream that is broken off since its engine was silent, although nothing else could take it up and
/// the engine went on.
#[actix_rt::test]
async fn a_silent_stream_is_whole_whatever_the_other_engine_does() {
    let mut cases = Vec::new();
    for other in OTHERS {
        for place in [Place::Head, Place::FirstEvent, Place::SecondEvent] {
            for silence_ms in [1_500, 1_900, 2_400] {
                cases.push(silent_stream_fault(other, place, silence_ms));
            }
        }
    }
    let faults: Vec<String> = join_all(cases).await.into_iter().flatten().collect();
    assert!(faults.is_empty(), "{faults:#?}");
}

/// What became of a read whose first upstream is silent; none if it was answered.
async fn silent_read_fault(other: Other) -> Option<String> {
    let first = StubUpstream::start(|received| {
        let mut actions = vec![Action::Wait(2_500)];
        actions.extend(received.response("200 OK", "", "ok"));
        actions
    });
    let fleet = Fleet::start(&first, other, "desk", Stage::Whole);
    let mut request = read_request(1);
    let left = HeaderValue::from_static("3500");
    request.headers_mut().insert("x-left-ms", left);
    let (status, body) = fleet.instance.fetch(request).await;
    (status != 200 || body.is_none()).then(|| format!("{other:?}: {status}, {body:?}"))
}

/// Guards against a read that is given up since its upstream was silent, although nothing else could answer it and the
/// upstream went on.
#[actix_rt::test]
async fn a_silent_read_is_answered_whatever_the_other_upstream_does() {
    let cases = OTHERS.map(silent_read_fault);
    let faults: Vec<String> = join_all(cases).await.into_iter().flatten().collect();
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Status of a read whose first upstream answers after 2,500 of 3,500 ms and is asked beside `other`.
async fn read_beside(other: impl Fn(&ReceivedRequest) -> Vec<Action> + 'static) -> u16 {
    let first = StubUpstream::start(|received| {
        let mut actions = vec![Action::Wait(2_500)];
        actions.extend(received.response("200 OK", "", "ok"));
        actions
    });
    let other = StubUpstream::start(other);
    let instance = TestInstance::start(vec![
        first.entry("one", "desk", Stage::Whole),
        in_other_zone(other.entry("two", "desk", Stage::Whole)),
    ]);
    let mut request = read_request(1);
    let left = HeaderValue::from_static("3500");
    request.headers_mut().insert("x-left-ms", left);
    let (status, _) = instance.fetch(request).await;
    assert_eq!(other.count(), 1, "the other upstream was asked");
    status
}

/// Guards against a read that gets the error of another upstream while the silent one is about to answer.
#[actix_rt::test]
async fn a_silent_read_outlasts_an_error_of_the_other_upstream() {
    let status = read_beside(|received| received.response("500 Oops", "", "no")).await;
    assert_eq!(status, 200);
}

/// Guards against a read whose answer lies unread while the body of another one is waited for.
#[actix_rt::test]
async fn a_silent_read_is_answered_beside_a_body_that_stops() {
    let status = read_beside(|received| {
        let text = received.response_text("200 OK", "", "ok");
        let cut = text[..text.len() - 1].to_owned();
        vec![Action::Write(cut), Action::Wait(10_000)]
    });
    assert_eq!(status.await, 200);
}

/// Guards against a read that waits for a silent upstream alone although another one is sound.
#[actix_rt::test]
async fn a_read_whose_upstream_stays_silent_is_answered_elsewhere() {
    let first = StubUpstream::start(|_| vec![Action::Wait(10_000)]);
    let other = StubUpstream::start(|received| received.response("200 OK", "", "ok"));
    let instance = TestInstance::start(vec![
        first.entry("one", "desk", Stage::Whole),
        in_other_zone(other.entry("two", "desk", Stage::Whole)),
    ]);
    let (status, _) = instance.fetch(read_request(1)).await;
    assert_eq!((status, first.count(), other.count()), (200, 1, 1));
}

/// Guards against a stream that is cut because its silent engine ended while another one was about to answer.
#[actix_rt::test]
async fn a_silent_engine_that_ends_does_not_end_the_search_for_another() {
    let first = StubUpstream::start(|received| {
        let mut actions = silent_stream(received, Place::SecondEvent, 1_500);
        actions.pop();
        actions.push(Action::Close);
        actions
    });
    let other = StubUpstream::start(|received| {
        let mut actions = vec![Action::Wait(800)];
        actions.extend(received.response("200 OK", "", &EVENTS.concat()));
        actions
    });
    let instance = TestInstance::start(vec![
        first.entry("one", "llm", Stage::Decode),
        in_other_zone(other.entry("two", "llm", Stage::Decode)),
    ]);
    let request = generation_request("/grades/x", 1, 300);
    let (status, body) = instance.fetch(request).await;
    assert_eq!((status, body), (200, Some(EVENTS.concat())));
}

/// Guards against a stream that is made a second time, and an engine that gets no requests, because it was silent for
/// a second.
#[actix_rt::test]
async fn a_stream_whose_engine_is_silent_for_a_second_is_not_made_again() {
    let engine =
        || StubUpstream::start(|received| silent_stream(received, Place::SecondEvent, SILENCE_MS));
    let engines = [engine(), engine()];
    let ids = ["one", "two"];
    let entries = engines.iter().zip(ids);
    let entries = entries.map(|(engine, id)| engine.entry(id, "llm", Stage::Decode));
    let instance = TestInstance::start(entries.collect());
    let (status, body) = instance
        .fetch(generation_request("/grades/x", 1, 300))
        .await;
    let sends: usize = engines.iter().map(StubUpstream::count).sum();
    assert_eq!((status, body.is_some(), sends), (200, true, 1));
    let now_ms = instance.relay.now_ms();
    let upstreams = instance.relay.upstreams.borrow();
    for id in ids {
        let engine = upstreams.get(id).expect("listed");
        assert_eq!(engine.health_status(now_ms), HealthStatus::Healthy);
    }
}
