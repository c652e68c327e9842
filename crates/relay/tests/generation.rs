//! Generations: read apart, moved, gone on with, left.

mod common;

use std::rc::Rc;

use bytes::Bytes;
use common::{Action, ReceivedRequest, StubUpstream, TestInstance, request, wait_until};
use http::{HeaderValue, Method, Request};
use http_body_util::{BodyExt, Full};
use relay::upstream::{InFlight, PrefillProgress, Stage, UpstreamEntry, UpstreamState, Work};
use relay::upstreams::ListChange;
use view::{GossipMessage, InstanceKey, MessageKind, PendingRoleChange, UpstreamKey};

/// A prompt of 13,000 shared tokens and 4,000 of its own.
const LONG: &str = "7:13000,8:4000";

/// A short question.
const SHORT: &str = "7:50,8:40";

fn generation(path: &str, prompt: &'static str) -> Request<Full<Bytes>> {
    let mut req = request(Method::POST, path, "1");
    let prompt = HeaderValue::from_static(prompt);
    req.headers_mut().insert("x-prompt", prompt);
    req
}

/// A relay with one engine that reads prompts and one for output.
fn reader_and_maker(reader: &StubUpstream, engine: &StubUpstream) -> TestInstance {
    TestInstance::start(vec![
        reader.entry("reader", "llm", Stage::Prefill),
        engine.entry("one", "llm", Stage::Decode),
    ])
}

/// An engine that reads prompts.
fn kv() -> StubUpstream {
    StubUpstream::start(|received| received.response("200 OK", "", "kv-1"))
}

fn events(from: u64, to: u64) -> String {
    let ids = (from..=to).map(|id| id.to_string());
    ids.fold(String::new(), |all, id| {
        all + "id: " + &id + "\ndata: " + &id + "\n\n"
    })
}

fn maker() -> StubUpstream {
    StubUpstream::start(|received| {
        let from = received
            .header("last-event-id")
            .map_or(1, |id| id.parse::<u64>().unwrap() + 1);
        received.response(
            "200 OK",
            "content-type: text/event-stream\r\n",
            &events(from, 3),
        )
    })
}

fn leaving(entry: UpstreamEntry) -> ListChange {
    ListChange::Put(UpstreamEntry {
        state: UpstreamState::Leaving,
        ..entry
    })
}

/// The caller sees its answer as always. While its long prompt is read by one engine, the engine
/// that looked best for the output says that it is leaving; the prompt is done two seconds
/// later. The output must be made elsewhere, since the leaving engine may be gone by then.
#[actix_rt::test]
async fn an_engine_that_left_while_the_prompt_was_read_gets_no_output() {
    let reader = StubUpstream::start(|received| {
        let mut actions = vec![Action::Wait(300)];
        actions.extend(received.response("200 OK", "", "kv-1"));
        actions
    });
    let (near, far) = (maker(), maker());
    let near_entry = near.entry("near", "llm", Stage::Decode);
    let far_entry = UpstreamEntry {
        zone: "there".to_owned(),
        ..far.entry("far", "llm", Stage::Decode)
    };
    let instance = TestInstance::start(vec![
        reader.entry("reader", "llm", Stage::Prefill),
        near_entry.clone(),
        far_entry,
    ]);
    let req = generation("/once/x", LONG);
    let relay = Rc::clone(&instance.relay);
    let received = Rc::clone(&reader.received);
    actix_rt::spawn(async move {
        wait_until(|| !received.borrow().is_empty()).await;
        relay.apply_change(leaving(near_entry), relay::Origin::Read);
    });
    let (status, body) = instance.fetch(req).await;
    assert_eq!((status, body), (200, Some(events(1, 3))));
    assert_eq!(near.count(), 0, "the leaving engine got the output");
    assert_eq!(far.received.borrow()[0].header("x-kv"), Some("kv-1"));
}

/// The caller sees one whole stream. The engine's connection breaks in the middle of the second
/// event; the rest comes from another engine, after the last whole event, without a seam.
#[actix_rt::test]
async fn a_broken_stream_goes_on_at_another_engine() {
    let breaks = |received: &ReceivedRequest| {
        if received.header("last-event-id").is_some() {
            return received.response("200 OK", "", &events(2, 3));
        }
        let whole = received.response_text("200 OK", "", &events(1, 3));
        vec![
            Action::Write(whole[..whole.len() - 22].to_owned()),
            Action::Close,
        ]
    };
    let (one, two) = (StubUpstream::start(breaks), StubUpstream::start(breaks));
    let instance = TestInstance::start(vec![
        one.entry("one", "llm", Stage::Decode),
        two.entry("two", "llm", Stage::Decode),
    ]);
    let req = generation("/grades/x", SHORT);
    let (status, body) = instance.fetch(req).await;
    assert_eq!((status, body), (200, Some(events(1, 3))));
    assert_eq!(one.count() + two.count(), 2);
}

/// The caller sees a stream that breaks off, not one that looks complete: it may not be made a
/// second time, and the engine broke off after two of three events.
#[actix_rt::test]
async fn a_broken_stream_that_may_not_be_resumed_does_not_look_whole() {
    let engine = StubUpstream::start(|received| {
        let whole = received.response_text("200 OK", "", &events(1, 3));
        vec![
            Action::Write(whole[..whole.len() - 15].to_owned()),
            Action::Close,
        ]
    });
    let other = maker();
    let instance = TestInstance::start(vec![
        engine.entry("one", "llm", Stage::Decode),
        UpstreamEntry {
            zone: "there".to_owned(),
            ..other.entry("two", "llm", Stage::Decode)
        },
    ]);
    let req = generation("/once/x", SHORT);
    let (status, body) = instance.fetch(req).await;
    assert_eq!((status, body), (200, None));
    assert_eq!(other.count(), 0);
}

/// The caller leaves while its stream is being made. The engine sees its connection closed and
/// can stop; without that it would work on for nobody.
#[actix_rt::test]
async fn a_caller_that_leaves_stops_the_engine() {
    let engine = StubUpstream::start(|received| {
        let whole = received.response_text("200 OK", "", &events(1, 3));
        let cut = whole.len() - 18;
        vec![Action::Write(whole[..cut].to_owned()), Action::Wait(5_000)]
    });
    let instance = TestInstance::start(vec![engine.entry("one", "llm", Stage::Decode)]);
    let req = generation("/once/x", SHORT);
    let response = instance.send(req).await.unwrap();
    let mut body = response.into_body();
    assert!(body.frame().await.is_some());
    drop(body);
    assert!(
        wait_until(|| *engine.closed_by_relay.borrow() == 1).await,
        "the engine works on"
    );
}

/// The caller leaves before the first event. Its connection is closed while the engine still
/// waits, and the engine must see that too.
#[actix_rt::test]
async fn a_caller_that_leaves_early_stops_the_engine() {
    let engine = StubUpstream::start(|_| vec![Action::Wait(5_000)]);
    let instance = TestInstance::start(vec![engine.entry("one", "llm", Stage::Decode)]);
    let req = generation("/once/x", SHORT);
    let wait = std::time::Duration::from_millis(800);
    let answered = actix_rt::time::timeout(wait, instance.send(req)).await;
    assert!(answered.is_err());
    assert!(
        wait_until(|| *engine.closed_by_relay.borrow() == 1).await,
        "the engine works on"
    );
}

/// The caller sees its answer. The engine cannot fetch the prompt's cache any more and says that
/// nothing ran; it is asked again to read the prompt itself.
#[actix_rt::test]
async fn a_lapsed_cache_is_read_again_by_the_same_engine() {
    let reader = StubUpstream::start(|received| received.response("200 OK", "", "kv-1"));
    let engine = StubUpstream::start(|received| {
        if received.header("x-kv").is_some() {
            return received.response("503 Unavailable", "x-not-run: 1\r\n", "");
        }
        received.response("200 OK", "", &events(1, 3))
    });
    let instance = reader_and_maker(&reader, &engine);
    let req = generation("/once/x", LONG);
    let (status, body) = instance.fetch(req).await;
    assert_eq!((status, body), (200, Some(events(1, 3))));
    assert_eq!(engine.count(), 2);
}

/// The caller sees its stream. The engine that reads its prompt has run the call and lost the
/// answer; the prompt is not waited for until the deadline but read by the engine for output.
#[actix_rt::test]
async fn a_prompt_whose_answer_is_lost_is_read_elsewhere() {
    let reader = StubUpstream::start(|_| vec![Action::Wait(60_000)]);
    let engine = maker();
    let instance = reader_and_maker(&reader, &engine);
    let req = generation("/once/x", LONG);
    let (status, body) = instance.fetch(req).await;
    assert_eq!((status, body), (200, Some(events(1, 3))));
    assert_eq!((reader.count(), engine.count()), (1, 1));
    assert!(wait_until(|| *reader.closed_by_relay.borrow() == 1).await);
}

/// The caller sees its own answer. The engine that reads prompts sends a second answer to an
/// earlier request where this one's is due; its handle leads to another prompt's cache, and output
/// made from it would answer a question that nobody asked.
#[actix_rt::test]
async fn a_handle_of_another_request_is_not_gone_on_from() {
    let reader = StubUpstream::start(|_| {
        let text = "HTTP/1.1 200 OK\r\nx-attempt: other\r\ncontent-length: 4\r\n\r\nkv-9";
        vec![Action::Write(text.to_owned())]
    });
    let engine = maker();
    let instance = reader_and_maker(&reader, &engine);
    let req = generation("/once/x", LONG);
    let (status, body) = instance.fetch(req).await;
    assert_eq!((status, body), (200, Some(events(1, 3))));
    assert_eq!(engine.received.borrow()[0].header("x-kv"), None);
}

/// The caller sees the engine's own failure: a resumable generation ran and failed at the only
/// engine, and neither "not run" nor another error would be true.
#[actix_rt::test]
async fn a_failed_generation_is_not_refused_as_unrun() {
    let engine = StubUpstream::start(|received| received.response("500 Oops", "", "oops"));
    let instance = TestInstance::start(vec![engine.entry("one", "llm", Stage::Decode)]);
    let req = generation("/grades/x", SHORT);
    assert_eq!(instance.fetch(req).await, (500, Some("oops".to_owned())));
}

/// An engine that reads, and how far it has come with the shared part of the long prompts.
fn reader_with(instance: &TestInstance, id: &str, reading: PrefillProgress) {
    let upstreams = instance.relay.upstreams.borrow();
    let engine = upstreams.get(id).unwrap();
    engine.note_cached_part(7, 13_000.0, reading, 400_000.0);
}

/// The caller sees its stream. One engine holds the prompt's shared part and has seconds of other
/// work; another one is idle. That one copies the part and reads the rest, where it would
/// otherwise have read 13,000 tokens a second time or the caller waited behind the others.
#[actix_rt::test]
async fn a_part_is_copied_from_a_busy_engine() {
    let (busy, idle, engine) = (kv(), kv(), maker());
    let instance = TestInstance::start(vec![
        busy.entry("busy", "llm", Stage::Prefill),
        idle.entry("idle", "llm", Stage::Prefill),
        engine.entry("one", "llm", Stage::Decode),
    ]);
    reader_with(&instance, "busy", PrefillProgress::Done);
    let held = Rc::clone(instance.relay.upstreams.borrow().get("busy").unwrap());
    let work = Work {
        prefill_tokens: 100_000.0,
        ..Work::default()
    };
    let _guard = InFlight::begin(&held, instance.relay.now_ms(), work);
    let mut req = generation("/once/x", LONG);
    let forged = HeaderValue::from_static("6.6.6.6:6");
    req.headers_mut().insert("x-copy", forged);
    let (status, body) = instance.fetch(req).await;
    assert_eq!((status, body), (200, Some(events(1, 3))));
    assert_eq!(busy.count(), 0);
    let received = idle.received.borrow();
    let from = busy.address.to_string();
    assert_eq!(received[0].header("x-copy"), Some(from.as_str()));
    assert_eq!(engine.received.borrow()[0].header("x-copy"), None);
    let metrics = String::from_utf8(instance.relay.metrics_text()).unwrap();
    let placed = r#"placed_total{held="copied",read="apart",service="llm""#;
    assert!(metrics.contains(placed), "the placement is not counted");
}

/// The caller sees its stream. The engine that would be copied from is still reading the part, so
/// a copy would find nothing: the request waits there, or reads for itself, and asks for no copy.
#[actix_rt::test]
async fn a_part_that_is_still_being_read_is_not_copied() {
    let (busy, idle, engine) = (kv(), kv(), maker());
    let instance = TestInstance::start(vec![
        busy.entry("busy", "llm", Stage::Prefill),
        idle.entry("idle", "llm", Stage::Prefill),
        engine.entry("one", "llm", Stage::Decode),
    ]);
    reader_with(&instance, "busy", PrefillProgress::Begun);
    let (status, _) = instance.fetch(generation("/once/x", LONG)).await;
    assert_eq!(status, 200);
    let all = [&busy, &idle, &engine].map(|each| each.received.borrow().clone());
    let copies = all
        .iter()
        .flatten()
        .filter_map(|received| received.header("x-copy"));
    assert_eq!(copies.count(), 0);
}

/// Which parts an engine holds is told between instances, and whether they have been read: another
/// instance's requests copy from it, but not before.
#[actix_rt::test]
async fn what_an_engine_has_read_is_told() {
    let engine = maker();
    let instance = TestInstance::start(vec![engine.entry("one", "llm", Stage::Decode)]);
    let (status, _) = instance.fetch(generation("/once/x", LONG)).await;
    assert_eq!(status, 200);
    let other = TestInstance::start(vec![engine.entry("one", "llm", Stage::Decode)]);
    common::deliver_gossip(&instance.relay, &other.relay);
    let upstreams = other.relay.upstreams.borrow();
    let known = upstreams.get("one").unwrap();
    assert!((known.copyable_tokens(7) - 13_000.0).abs() < 1.0);
    assert!(known.copyable_tokens(9) < 1.0);
}

/// Two callers see different answers to the same question: an engine has work for more than three
/// objectives, so who is new is refused and told when to come back. Who has come back, as what is left
/// of its deadline tells, is served; refused again it would have waited for nothing.
#[actix_rt::test]
async fn who_came_back_goes_before_who_is_new() {
    let engine = maker();
    let instance = TestInstance::start(vec![engine.entry("one", "llm", Stage::Decode)]);
    let one = Rc::clone(instance.relay.upstreams.borrow().get("one").unwrap());
    let work = Work {
        prefill_tokens: 66_000.0,
        rank: 1,
        ..Work::default()
    };
    let _guard = InFlight::begin(&one, instance.relay.now_ms(), work);
    let mut new = generation("/once/x", SHORT);
    let left = HeaderValue::from_static("6000");
    new.headers_mut().insert("x-left-ms", left);
    let response = instance.send(new).await.unwrap();
    assert_eq!(response.status().as_u16(), 503);
    assert!(response.headers().contains_key("retry-after"));
    assert_eq!(engine.count(), 0);
    let mut again = generation("/once/x", SHORT);
    let left = HeaderValue::from_static("5700");
    again.headers_mut().insert("x-left-ms", left);
    assert_eq!(instance.fetch(again).await, (200, Some(events(1, 3))));
}

/// An engine turned from output to reading while the list could not be read. The first request that
/// is handed to it is rejected as not its step; the caller sees its answer all the same. The prompt
/// is not read a second time, the cache goes to another engine, and no further request is sent to the
/// one that turned.
#[actix_rt::test]
async fn a_rejected_step_tells_that_an_engine_has_turned() {
    let reader = kv();
    let turned = StubUpstream::start(|received| {
        received.response(
            "421 Misdirected Request",
            "x-instance: turned\r\nx-not-run: 1\r\n",
            "",
        )
    });
    let other = maker();
    let instance = TestInstance::start(vec![
        reader.entry("reader", "llm", Stage::Prefill),
        turned.entry("turned", "llm", Stage::Decode),
        UpstreamEntry {
            zone: "far".to_owned(),
            ..other.entry("other", "llm", Stage::Decode)
        },
    ]);
    let own = instance.relay.heartbeat();
    instance.relay.members.borrow_mut().record_heartbeat(0, own);
    for _ in 0..3 {
        let answer = instance.send(generation("/grades/x", LONG)).await.unwrap();
        assert_eq!(answer.status().as_u16(), 200);
    }
    assert_eq!(turned.count(), 1);
    assert_eq!(
        reader.count(),
        1,
        "the part was read once and is copied from then on"
    );
    assert_eq!(other.received.borrow()[0].header("x-kv"), Some("kv-1"));
    let upstreams = instance.relay.upstreams.borrow();
    assert_eq!(upstreams.get("turned").unwrap().stage(), Stage::Prefill);
}

/// Another instance has ordered an engine to read prompts. As soon as it tells, nothing is sent there:
/// it would be rejected for as long as the engine is away. The list says when it is there.
#[actix_rt::test]
async fn an_engine_that_is_turning_gets_nothing_new() {
    let (turning, other) = (maker(), maker());
    let instance = TestInstance::start(vec![
        turning.entry("turning", "llm", Stage::Decode),
        UpstreamEntry {
            zone: "far".to_owned(),
            ..other.entry("other", "llm", Stage::Decode)
        },
    ]);
    let told = GossipMessage {
        role_changes: vec![PendingRoleChange {
            upstream: UpstreamKey::of("turning", 0),
            stage: Stage::Prefill,
            remaining_ms: 60_000,
        }],
        ..GossipMessage::new(InstanceKey::of("b"), MessageKind::Sum)
    };
    instance
        .relay
        .receive_gossip(&told, "127.0.0.1:2".parse().unwrap());
    let answer = instance.send(generation("/grades/x", SHORT)).await.unwrap();
    assert_eq!(answer.status().as_u16(), 200);
    assert_eq!((turning.count(), other.count()), (0, 1));
    instance.relay.apply_change(
        ListChange::Put(UpstreamEntry {
            seq: 2,
            ..turning.entry("turning", "llm", Stage::Prefill)
        }),
        relay::Origin::Read,
    );
    let upstreams = instance.relay.upstreams.borrow();
    assert!(
        !upstreams
            .get("turning")
            .unwrap()
            .is_changing_role(instance.relay.now_ms())
    );
}

/// An engine ends what it has before it turns, which takes longer than its instance expected; its list
/// entry still says that it makes output, and it rejects all that is new. The first caller is served
/// by another engine, and those that come in the next moments are not sent there at all: each would
/// be rejected and count as a repeat.
#[actix_rt::test]
async fn an_engine_that_rejects_what_is_new_is_left_alone_for_a_moment() {
    for status in ["503 Service Unavailable", "429 Too Many Requests"] {
        one_is_sent_to_an_engine_that_rejects(status).await;
    }
}

async fn one_is_sent_to_an_engine_that_rejects(status: &'static str) {
    let away =
        StubUpstream::start(move |received| received.response(status, "x-not-run: 1\r\n", ""));
    let other = maker();
    let instance = TestInstance::start(vec![
        away.entry("away", "llm", Stage::Decode),
        UpstreamEntry {
            zone: "far".to_owned(),
            ..other.entry("other", "llm", Stage::Decode)
        },
    ]);
    for _ in 0..5 {
        let answer = instance.send(generation("/grades/x", SHORT)).await.unwrap();
        assert_eq!(answer.status().as_u16(), 200);
    }
    assert_eq!((away.count(), other.count()), (1, 5));
}
