//! Generation requests: prefill at a separate engine, copied prompt parts, resumed streams, role
//! changes and callers that disconnect.

mod common;

use std::rc::Rc;

use bytes::Bytes;
use common::{Action, ReceivedRequest, StubUpstream, TestInstance, request, wait_until};
use http::{HeaderValue, Method, Request};
use http_body_util::{BodyExt, Full};
use relay::upstream::{InFlight, PrefillProgress, Stage, UpstreamEntry, UpstreamState, Work};
use relay::upstreams::ListChange;
use view::{GossipMessage, InstanceKey, MessageKind, PendingRoleChange, UpstreamKey};

/// A prompt of 13,000 shared tokens and 4,000 of its own, long enough for prefill at a separate
/// engine.
const LONG_PROMPT: &str = "7:13000,8:4000";

/// A prompt of 90 tokens.
const SHORT_PROMPT: &str = "7:50,8:40";

fn generation_request(path: &str, prompt: &'static str) -> Request<Full<Bytes>> {
    let mut req = request(Method::POST, path, "1");
    let prompt = HeaderValue::from_static(prompt);
    req.headers_mut().insert("x-prompt", prompt);
    req
}

/// An instance with one prefill engine and one decode engine.
fn prefill_and_decode(prefill: &StubUpstream, engine: &StubUpstream) -> TestInstance {
    TestInstance::start(vec![
        prefill.entry("prefill", "llm", Stage::Prefill),
        engine.entry("one", "llm", Stage::Decode),
    ])
}

/// A prefill engine, which responds with the handle of a KV cache.
fn prefill_engine() -> StubUpstream {
    StubUpstream::start(|received| received.response("200 OK", "", "kv-1"))
}

fn events(from: u64, to: u64) -> String {
    let ids = (from..=to).map(|id| id.to_string());
    ids.fold(String::new(), |text, id| {
        text + "id: " + &id + "\ndata: " + &id + "\n\n"
    })
}

fn decode_engine() -> StubUpstream {
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

/// Guards against a decode engine that is chosen before prefill and not checked after it. Here the
/// engine that looked best announces during prefill that it is leaving; it may be gone when prefill
/// is done, so decode must go to another engine.
#[actix_rt::test]
async fn an_engine_that_leaves_during_prefill_gets_no_decode() {
    let prefill = StubUpstream::start(|received| {
        let mut actions = vec![Action::Wait(300)];
        actions.extend(received.response("200 OK", "", "kv-1"));
        actions
    });
    let (near, far) = (decode_engine(), decode_engine());
    let near_entry = near.entry("near", "llm", Stage::Decode);
    let far_entry = UpstreamEntry {
        zone: "there".to_owned(),
        ..far.entry("far", "llm", Stage::Decode)
    };
    let instance = TestInstance::start(vec![
        prefill.entry("prefill", "llm", Stage::Prefill),
        near_entry.clone(),
        far_entry,
    ]);
    let req = generation_request("/once/x", LONG_PROMPT);
    let relay = Rc::clone(&instance.relay);
    let received = Rc::clone(&prefill.received);
    actix_rt::spawn(async move {
        wait_until(|| !received.borrow().is_empty()).await;
        relay.apply_change(leaving(near_entry), relay::Origin::Read);
    });
    let (status, body) = instance.fetch(req).await;
    assert_eq!((status, body), (200, Some(events(1, 3))));
    assert_eq!(near.count(), 0, "the leaving engine got the decode");
    assert_eq!(far.received.borrow()[0].header("x-kv"), Some("kv-1"));
}

/// Guards against a stream that shows where it was resumed. The connection breaks in the middle of
/// the second event; another engine continues after the last complete event, and the caller gets
/// each event once.
#[actix_rt::test]
async fn a_broken_stream_is_resumed_at_another_engine() {
    let truncate = |received: &ReceivedRequest| {
        if received.header("last-event-id").is_some() {
            return received.response("200 OK", "", &events(2, 3));
        }
        let whole = received.response_text("200 OK", "", &events(1, 3));
        vec![
            Action::Write(whole[..whole.len() - 22].to_owned()),
            Action::Close,
        ]
    };
    let (one, two) = (StubUpstream::start(truncate), StubUpstream::start(truncate));
    let instance = TestInstance::start(vec![
        one.entry("one", "llm", Stage::Decode),
        two.entry("two", "llm", Stage::Decode),
    ]);
    let req = generation_request("/grades/x", SHORT_PROMPT);
    let (status, body) = instance.fetch(req).await;
    assert_eq!((status, body), (200, Some(events(1, 3))));
    assert_eq!(one.count() + two.count(), 2);
}

/// Guards against a truncated stream that looks complete. The engine breaks off after two of three
/// events of a request that may run only once, so the caller must see a truncated body.
#[actix_rt::test]
async fn a_broken_stream_that_may_not_be_resumed_is_truncated() {
    let engine = StubUpstream::start(|received| {
        let whole = received.response_text("200 OK", "", &events(1, 3));
        vec![
            Action::Write(whole[..whole.len() - 15].to_owned()),
            Action::Close,
        ]
    });
    let other = decode_engine();
    let instance = TestInstance::start(vec![
        engine.entry("one", "llm", Stage::Decode),
        UpstreamEntry {
            zone: "there".to_owned(),
            ..other.entry("two", "llm", Stage::Decode)
        },
    ]);
    let req = generation_request("/once/x", SHORT_PROMPT);
    let (status, body) = instance.fetch(req).await;
    assert_eq!((status, body), (200, None));
    assert_eq!(other.count(), 0);
}

/// Guards against an engine that keeps decoding for a caller that has disconnected: the engine must
/// see its own connection closed.
#[actix_rt::test]
async fn a_caller_that_disconnects_stops_the_engine() {
    let engine = StubUpstream::start(|received| {
        let whole = received.response_text("200 OK", "", &events(1, 3));
        let cut = whole.len() - 18;
        vec![Action::Write(whole[..cut].to_owned()), Action::Wait(5_000)]
    });
    let instance = TestInstance::start(vec![engine.entry("one", "llm", Stage::Decode)]);
    let req = generation_request("/once/x", SHORT_PROMPT);
    let response = instance.send(req).await.unwrap();
    let mut body = response.into_body();
    assert!(body.frame().await.is_some());
    drop(body);
    assert!(
        wait_until(|| *engine.closed_by_relay.borrow() == 1).await,
        "the engine is still decoding"
    );
}

/// The same for a caller that disconnects before the first event, while the engine hasn't responded.
#[actix_rt::test]
async fn a_caller_that_disconnects_before_the_first_event_stops_the_engine() {
    let engine = StubUpstream::start(|_| vec![Action::Wait(5_000)]);
    let instance = TestInstance::start(vec![engine.entry("one", "llm", Stage::Decode)]);
    let req = generation_request("/once/x", SHORT_PROMPT);
    let wait = std::time::Duration::from_millis(800);
    let answered = actix_rt::time::timeout(wait, instance.send(req)).await;
    assert!(answered.is_err());
    assert!(
        wait_until(|| *engine.closed_by_relay.borrow() == 1).await,
        "the engine is still decoding"
    );
}

/// Guards against a request that fails because its KV cache has expired. The decode engine can't
/// fetch the cache and rejects the request as not run; it gets the request again and prefills the
/// prompt itself.
#[actix_rt::test]
async fn an_expired_kv_cache_is_recomputed_by_the_same_engine() {
    let prefill = StubUpstream::start(|received| received.response("200 OK", "", "kv-1"));
    let engine = StubUpstream::start(|received| {
        if received.header("x-kv").is_some() {
            return received.response("503 Unavailable", "x-not-run: 1\r\n", "");
        }
        received.response("200 OK", "", &events(1, 3))
    });
    let instance = prefill_and_decode(&prefill, &engine);
    let req = generation_request("/once/x", LONG_PROMPT);
    let (status, body) = instance.fetch(req).await;
    assert_eq!((status, body), (200, Some(events(1, 3))));
    assert_eq!(engine.count(), 2);
}

/// Guards against waiting until the deadline for a prefill whose response is lost. The prefill
/// engine never responds, and the decode engine prefills the prompt itself.
#[actix_rt::test]
async fn a_prompt_whose_prefill_is_lost_is_prefilled_elsewhere() {
    let prefill = StubUpstream::start(|_| vec![Action::Wait(60_000)]);
    let engine = decode_engine();
    let instance = prefill_and_decode(&prefill, &engine);
    let req = generation_request("/once/x", LONG_PROMPT);
    let (status, body) = instance.fetch(req).await;
    assert_eq!((status, body), (200, Some(events(1, 3))));
    assert_eq!((prefill.count(), engine.count()), (1, 1));
    assert!(wait_until(|| *prefill.closed_by_relay.borrow() == 1).await);
}

/// Guards against decoding from the KV cache of another prompt, which would answer a different
/// question. The prefill engine sends a late response to an earlier request where the one to this
/// request is due, and its handle must not be used.
#[actix_rt::test]
async fn a_kv_handle_of_another_request_is_not_used() {
    let prefill = StubUpstream::start(|_| {
        let text = "HTTP/1.1 200 OK\r\nx-attempt: other\r\ncontent-length: 4\r\n\r\nkv-9";
        vec![Action::Write(text.to_owned())]
    });
    let engine = decode_engine();
    let instance = prefill_and_decode(&prefill, &engine);
    let req = generation_request("/once/x", LONG_PROMPT);
    let (status, body) = instance.fetch(req).await;
    assert_eq!((status, body), (200, Some(events(1, 3))));
    assert_eq!(engine.received.borrow()[0].header("x-kv"), None);
}

/// Guards against refusing a request as not run after it ran. A resumable generation fails at the
/// only engine, and the caller gets that engine's response.
#[actix_rt::test]
async fn a_failed_generation_is_not_refused_as_not_run() {
    let engine = StubUpstream::start(|received| received.response("500 Oops", "", "oops"));
    let instance = TestInstance::start(vec![engine.entry("one", "llm", Stage::Decode)]);
    let req = generation_request("/grades/x", SHORT_PROMPT);
    assert_eq!(instance.fetch(req).await, (500, Some("oops".to_owned())));
}

/// Records at the instance that an engine caches the shared part of the long prompts, with its
/// prefill progress.
fn note_shared_part(instance: &TestInstance, id: &str, progress: PrefillProgress) {
    let upstreams = instance.relay.upstreams.borrow();
    let engine = upstreams.get(id).unwrap();
    engine.note_cached_part(7, 13_000.0, progress, 400_000.0);
}

/// Guards against a second prefill of 13,000 shared tokens, and against waiting for it. One engine
/// holds the shared part and has seconds of other work; an idle engine copies the part and prefills
/// the rest.
#[actix_rt::test]
async fn a_prompt_part_is_copied_from_a_busy_engine() {
    let (busy, idle, engine) = (prefill_engine(), prefill_engine(), decode_engine());
    let instance = TestInstance::start(vec![
        busy.entry("busy", "llm", Stage::Prefill),
        idle.entry("idle", "llm", Stage::Prefill),
        engine.entry("one", "llm", Stage::Decode),
    ]);
    note_shared_part(&instance, "busy", PrefillProgress::Done);
    let busy_engine = Rc::clone(instance.relay.upstreams.borrow().get("busy").unwrap());
    let work = Work {
        prefill_tokens: 100_000.0,
        ..Work::default()
    };
    let _guard = InFlight::begin(&busy_engine, instance.relay.now_ms(), work);
    let mut req = generation_request("/once/x", LONG_PROMPT);
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

/// Guards against copying a prompt part before its prefill is done, when there is nothing to copy.
/// The request waits for that engine or is prefilled at another one without a copy.
#[actix_rt::test]
async fn a_prompt_part_still_in_prefill_is_not_copied() {
    let (busy, idle, engine) = (prefill_engine(), prefill_engine(), decode_engine());
    let instance = TestInstance::start(vec![
        busy.entry("busy", "llm", Stage::Prefill),
        idle.entry("idle", "llm", Stage::Prefill),
        engine.entry("one", "llm", Stage::Decode),
    ]);
    note_shared_part(&instance, "busy", PrefillProgress::Begun);
    let (status, _) = instance
        .fetch(generation_request("/once/x", LONG_PROMPT))
        .await;
    assert_eq!(status, 200);
    let stubs = [&busy, &idle, &engine].map(|stub| stub.received.borrow().clone());
    let copies = stubs
        .iter()
        .flatten()
        .filter_map(|received| received.header("x-copy"));
    assert_eq!(copies.count(), 0);
}

/// Peers learn by gossip which prompt parts an engine holds and whether their prefill is done; only
/// then may their requests copy from it.
#[actix_rt::test]
async fn cached_prompt_parts_are_gossiped() {
    let engine = decode_engine();
    let instance = TestInstance::start(vec![engine.entry("one", "llm", Stage::Decode)]);
    let (status, _) = instance
        .fetch(generation_request("/once/x", LONG_PROMPT))
        .await;
    assert_eq!(status, 200);
    let other = TestInstance::start(vec![engine.entry("one", "llm", Stage::Decode)]);
    common::deliver_gossip(&instance.relay, &other.relay);
    let upstreams = other.relay.upstreams.borrow();
    let known = upstreams.get("one").unwrap();
    assert!((known.copyable_tokens(7) - 13_000.0).abs() < 1.0);
    assert!(known.copyable_tokens(9) < 1.0);
}

/// Guards against refusing a caller a second time after it waited for the announced retry delay. An
/// engine has work for more than three times the route's goal, so a new request is refused with a
/// retry-after. A request whose shorter deadline shows that its caller has waited before is served.
#[actix_rt::test]
async fn a_returning_caller_is_admitted_before_a_new_one() {
    let engine = decode_engine();
    let instance = TestInstance::start(vec![engine.entry("one", "llm", Stage::Decode)]);
    let one = Rc::clone(instance.relay.upstreams.borrow().get("one").unwrap());
    let work = Work {
        prefill_tokens: 66_000.0,
        rank: 1,
        ..Work::default()
    };
    let _guard = InFlight::begin(&one, instance.relay.now_ms(), work);
    let mut new = generation_request("/once/x", SHORT_PROMPT);
    let left = HeaderValue::from_static("6000");
    new.headers_mut().insert("x-left-ms", left);
    let response = instance.send(new).await.unwrap();
    assert_eq!(response.status().as_u16(), 503);
    assert!(response.headers().contains_key("retry-after"));
    assert_eq!(engine.count(), 0);
    let mut returning = generation_request("/once/x", SHORT_PROMPT);
    let left = HeaderValue::from_static("5700");
    returning.headers_mut().insert("x-left-ms", left);
    assert_eq!(instance.fetch(returning).await, (200, Some(events(1, 3))));
}

/// Guards against further requests to an engine that changed its role while the list couldn't be
/// read. It rejects the first decode as not for its stage; the caller is still served, by another
/// engine that gets the same KV cache, without a second prefill and without more requests to the
/// first.
#[actix_rt::test]
async fn a_rejected_step_reveals_a_role_change() {
    let prefill = prefill_engine();
    let changed = StubUpstream::start(|received| {
        received.response(
            "421 Misdirected Request",
            "x-instance: changed\r\nx-not-run: 1\r\n",
            "",
        )
    });
    let other = decode_engine();
    let instance = TestInstance::start(vec![
        prefill.entry("prefill", "llm", Stage::Prefill),
        changed.entry("changed", "llm", Stage::Decode),
        UpstreamEntry {
            zone: "far".to_owned(),
            ..other.entry("other", "llm", Stage::Decode)
        },
    ]);
    let own = instance.relay.heartbeat();
    instance.relay.members.borrow_mut().record_heartbeat(0, own);
    for _ in 0..3 {
        let answer = instance
            .send(generation_request("/grades/x", LONG_PROMPT))
            .await
            .unwrap();
        assert_eq!(answer.status().as_u16(), 200);
    }
    assert_eq!(changed.count(), 1);
    assert_eq!(
        prefill.count(),
        1,
        "the part was prefilled once and is copied from then on"
    );
    assert_eq!(other.received.borrow()[0].header("x-kv"), Some("kv-1"));
    let upstreams = instance.relay.upstreams.borrow();
    assert_eq!(upstreams.get("changed").unwrap().stage(), Stage::Prefill);
}

/// Guards against requests to an engine that a peer has ordered to change its role, which would all
/// be rejected until it is done. The engine is avoided from the receipt of the gossip message until
/// the list shows its new role.
#[actix_rt::test]
async fn an_engine_changing_its_role_gets_no_new_requests() {
    let (changing, other) = (decode_engine(), decode_engine());
    let instance = TestInstance::start(vec![
        changing.entry("changing", "llm", Stage::Decode),
        UpstreamEntry {
            zone: "far".to_owned(),
            ..other.entry("other", "llm", Stage::Decode)
        },
    ]);
    let message = GossipMessage {
        role_changes: vec![PendingRoleChange {
            upstream: UpstreamKey::of("changing", 0),
            stage: Stage::Prefill,
            remaining_ms: 60_000,
        }],
        ..GossipMessage::new(InstanceKey::of("b"), MessageKind::Sum)
    };
    instance
        .relay
        .receive_gossip(&message, "127.0.0.1:2".parse().unwrap());
    let answer = instance
        .send(generation_request("/grades/x", SHORT_PROMPT))
        .await
        .unwrap();
    assert_eq!(answer.status().as_u16(), 200);
    assert_eq!((changing.count(), other.count()), (0, 1));
    instance.relay.apply_change(
        ListChange::Put(UpstreamEntry {
            seq: 2,
            ..changing.entry("changing", "llm", Stage::Prefill)
        }),
        relay::Origin::Read,
    );
    let upstreams = instance.relay.upstreams.borrow();
    assert!(
        !upstreams
            .get("changing")
            .unwrap()
            .is_changing_role(instance.relay.now_ms())
    );
}

/// Guards against sending many requests to an engine that rejects them. It finishes its running
/// requests before a role change, and the list still shows it as a decode engine. The first request
/// is retried at another engine; the next ones are sent there directly, since each rejection would
/// cost a retry.
#[actix_rt::test]
async fn an_engine_that_rejects_new_requests_is_avoided_for_a_moment() {
    for status in ["503 Service Unavailable", "429 Too Many Requests"] {
        assert_one_request_reaches_a_rejecting_engine(status).await;
    }
}

async fn assert_one_request_reaches_a_rejecting_engine(status: &'static str) {
    let rejecting =
        StubUpstream::start(move |received| received.response(status, "x-not-run: 1\r\n", ""));
    let other = decode_engine();
    let instance = TestInstance::start(vec![
        rejecting.entry("rejecting", "llm", Stage::Decode),
        UpstreamEntry {
            zone: "far".to_owned(),
            ..other.entry("other", "llm", Stage::Decode)
        },
    ]);
    for _ in 0..5 {
        let answer = instance
            .send(generation_request("/grades/x", SHORT_PROMPT))
            .await
            .unwrap();
        assert_eq!(answer.status().as_u16(), 200);
    }
    assert_eq!((rejecting.count(), other.count()), (1, 5));
}
