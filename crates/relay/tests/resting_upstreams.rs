//! Upstreams that reject requests and ask the instance for rest, while their entries say ready.

mod common;

use std::time::Duration;

use common::{
    Action, EVENTS, ReceivedRequest, StubUpstream, TestInstance, config, generation_request,
    in_other_zone, is_prefill, read_request, request, wait_until,
};
use futures_util::FutureExt;
use futures_util::future::join_all;
use http::{Method, Request};
use http_body_util::Full;
use plan::Rest;
use relay::Origin;
use relay::pool::{ExchangeError, Pool, exchange};
use relay::upstream::{Stage, UpstreamEntry};
use relay::upstreams::ListChange;
use tick::Clock;

/// A rejection that asks for more rest than a test takes.
const REST: &str = "x-not-run: 1\r\nx-rest-ms: 50000\r\n";

/// Rounds of requests of a test, with a pause between them that is longer than the time for which an upstream
/// that just rejected a request gets no other one anyway.
const ROUNDS: usize = 3;
const PAUSE: Duration = Duration::from_millis(600);

/// Requests in each round.
const REQUESTS: usize = 10;

/// Requests that may reach a resting upstream: the one whose rejection asks for rest.
const REQUESTS_TO_LEARN: usize = 1;

fn serving() -> StubUpstream {
    StubUpstream::start(|received| {
        let body = if is_prefill(received) { "kv-1" } else { EVENTS };
        received.response("200 OK", "", body)
    })
}

fn resting() -> StubUpstream {
    StubUpstream::start(|received| received.response("503 Service Unavailable", REST, ""))
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

/// An instance whose only upstream, `resting`, has asked it for rest.
async fn instance_that_was_asked(
    resting: &StubUpstream,
    service: &str,
    stage: Stage,
) -> TestInstance {
    let instance = TestInstance::start(vec![resting.entry("resting", service, stage)]);
    let req = match service {
        "desk" => read_request(0),
        _ => generation_request("/grades/x", 0, 50),
    };
    assert_eq!(instance.fetch(req).await.0, 503);
    assert_eq!(resting.count(), REQUESTS_TO_LEARN);
    instance
}

fn add(instance: &TestInstance, entry: UpstreamEntry) {
    instance
        .relay
        .apply_change(ListChange::Put(entry), Origin::Read);
}

/// Guards against prefills at an engine that asked for rest when it rejected one.
#[actix_rt::test]
async fn a_resting_engine_gets_no_prefills() {
    let (resting, other, decode) = (resting(), serving(), serving());
    let instance = TestInstance::start(vec![
        resting.entry("resting", "llm", Stage::Prefill),
        in_other_zone(other.entry("other", "llm", Stage::Prefill)),
        decode.entry("decode", "llm", Stage::Decode),
    ]);
    let served = send_rounds(&instance, |id| generation_request("/grades/x", id, 17_000)).await;
    assert_eq!(served, ROUNDS * REQUESTS);
    assert_eq!(resting.count(), REQUESTS_TO_LEARN);
    assert!(other.count() > 0, "prefill still goes to a separate engine");
}

/// Guards against a second send to an engine that rejected the transferred KV cache and asked for rest: it
/// would be asked at once to prefill the prompt itself.
#[actix_rt::test]
async fn a_resting_engine_is_not_asked_to_prefill_instead() {
    let (prefill, resting, other) = (serving(), resting(), serving());
    let instance = TestInstance::start(vec![
        prefill.entry("prefill", "llm", Stage::Prefill),
        resting.entry("resting", "llm", Stage::Decode),
        in_other_zone(other.entry("other", "llm", Stage::Decode)),
    ]);
    let req = generation_request("/grades/x", 1, 17_000);
    assert_eq!(instance.fetch(req).await.0, 200);
    assert_eq!(resting.count(), REQUESTS_TO_LEARN);
    let kept_cache = other.received.borrow()[0].header("x-kv").map(str::to_owned);
    assert_eq!(kept_cache.as_deref(), Some("kv-1"));
}

/// Guards against a retry that goes to a resting upstream after another one failed the request.
#[actix_rt::test]
async fn a_retry_goes_to_no_resting_upstream() {
    let resting = resting();
    let instance = instance_that_was_asked(&resting, "desk", Stage::Whole).await;
    let failing =
        StubUpstream::start(|received| received.response("500 Internal Server Error", "", ""));
    let serving = serving();
    add(&instance, failing.entry("failing", "desk", Stage::Whole));
    add(
        &instance,
        in_other_zone(serving.entry("serving", "desk", Stage::Whole)),
    );
    assert_eq!(
        send_rounds(&instance, read_request).await,
        ROUNDS * REQUESTS
    );
    assert!(failing.count() > 0);
    assert_eq!(resting.count(), REQUESTS_TO_LEARN);
}

/// Guards against a stream that is resumed at a resting engine.
#[actix_rt::test]
async fn a_stream_is_resumed_at_no_resting_engine() {
    let resting = resting();
    let instance = instance_that_was_asked(&resting, "llm", Stage::Decode).await;
    let breaking = StubUpstream::start(|received| {
        let whole = received.response_text("200 OK", "", &EVENTS.repeat(2));
        vec![
            Action::Write(whole[..whole.len() - 5].to_owned()),
            Action::Close,
        ]
    });
    let serving = serving();
    add(&instance, breaking.entry("breaking", "llm", Stage::Decode));
    add(
        &instance,
        in_other_zone(serving.entry("serving", "llm", Stage::Decode)),
    );
    let (status, _) = instance.fetch(generation_request("/grades/x", 1, 50)).await;
    assert_eq!((status, breaking.count(), serving.count()), (200, 1, 1));
    assert_eq!(resting.count(), REQUESTS_TO_LEARN);
}

/// Guards against a request that was placed before the upstream asked for rest, and is sent once its
/// connection is open.
#[actix_rt::test]
async fn a_request_that_waited_for_a_connection_is_not_sent() {
    let upstream = serving();
    let pool = Pool::new(upstream.address, Clock::default());
    let mut sending = Box::pin(exchange(&pool, 1, read_request(0)));
    assert!(
        sending.as_mut().now_or_never().is_none(),
        "the connection is being opened"
    );
    let mut rest = Rest::default();
    rest.extend(0, 50_000);
    pool.set_rest(rest);
    let peer = upstream.address;
    assert_eq!(sending.await.err(), Some(ExchangeError::Resting { peer }));
    assert_eq!((upstream.count(), pool.open()), (0, 0));
}

/// Guards against a refusal that comes late, or names a time at which the caller is refused again.
#[actix_rt::test]
async fn a_refusal_names_the_rest_that_is_left() {
    let resting = resting();
    let instance = instance_that_was_asked(&resting, "desk", Stage::Whole).await;
    let refused = instance.send(read_request(1)).await.expect("an answer");
    assert_eq!(refused.status(), 503);
    let retry_after = refused.headers()["retry-after"].to_str().expect("text");
    let retry_after_s: f64 = retry_after.parse().expect("a number");
    // The rest is 50 s, the jitter less than half a second.
    assert!((30.0..50.5).contains(&retry_after_s), "{retry_after_s}");
    assert_eq!(resting.count(), REQUESTS_TO_LEARN);
    let text = String::from_utf8(instance.relay.metrics_text()).expect("text");
    let has = |line: &str| text.lines().any(|each| each.contains(line));
    assert!(has(r#"reason="resting""#), "{text}");
}

/// Guards against a request that may have run and is refused as not run because the other upstreams rest.
#[actix_rt::test]
async fn a_lost_request_is_not_refused_as_resting() {
    for path in ["/claims/x", "/reads/x"] {
        let (losing, resting) = (StubUpstream::start(|_| vec![Action::Close]), resting());
        let instance = instance_that_was_asked(&resting, "desk", Stage::Whole).await;
        add(&instance, losing.entry("losing", "desk", Stage::Whole));
        let (status, _) = instance.fetch(request(Method::POST, path, "1")).await;
        assert_eq!((status, losing.count()), (502, 1), "{path}");
    }
}

/// Guards against requests that are placed at one resting upstream after the other, until they are refused.
#[actix_rt::test]
async fn requests_are_placed_past_many_resting_upstreams() {
    let all_resting: Vec<StubUpstream> = (0..4).map(|_| resting()).collect();
    let serving = serving();
    let entry = |(number, resting): (usize, &StubUpstream)| {
        resting.entry(&format!("resting-{number}"), "desk", Stage::Whole)
    };
    let mut entries: Vec<UpstreamEntry> = all_resting.iter().enumerate().map(entry).collect();
    entries.push(in_other_zone(serving.entry(
        "serving",
        "desk",
        Stage::Whole,
    )));
    let instance = TestInstance::start(entries);
    for id in 0..REQUESTS {
        instance.fetch(read_request(id)).await;
    }
    for id in 0..REQUESTS {
        assert_eq!(instance.fetch(read_request(id)).await.0, 200);
    }
    let asked: Vec<usize> = all_resting.iter().map(StubUpstream::count).collect();
    assert_eq!(asked, [REQUESTS_TO_LEARN; 4]);
}

/// Guards against a rest that is kept for good, and one that a short later one ends early.
#[actix_rt::test]
async fn an_upstream_is_used_again_after_its_rest() {
    let tired = StubUpstream::start(|received| match received.header("x-attempt") {
        Some("0") => {
            let rest = "x-not-run: 1\r\nx-rest-ms: 300\r\n";
            received.response("503 Service Unavailable", rest, "")
        }
        _ => received.response("200 OK", "", EVENTS),
    });
    let instance = instance_that_was_asked(&tired, "desk", Stage::Whole).await;
    assert_eq!(instance.fetch(read_request(1)).await.0, 503);
    let relay = &instance.relay;
    let rests = || {
        let upstreams = relay.upstreams.borrow();
        let tired = upstreams.get("resting").expect("listed");
        tired.rest_left_ms(relay.now_ms()) > 0
    };
    assert!(wait_until(|| !rests()).await);
    assert_eq!(instance.fetch(read_request(2)).await.0, 200);
    assert_eq!(tired.count(), 2);
}

/// Guards against a list, a removed entry that is back or a configuration that ends a rest.
#[actix_rt::test]
async fn nothing_ends_a_rest_early() {
    let resting = resting();
    let instance = instance_that_was_asked(&resting, "desk", Stage::Whole).await;
    let relay = &instance.relay;
    let entry = |seq| UpstreamEntry {
        seq,
        ..resting.entry("resting", "desk", Stage::Whole)
    };
    add(&instance, entry(2));
    relay.replace_list(vec![entry(3)], Origin::Whole);
    relay.configure(config(2));
    relay.apply_change(ListChange::Gone("resting".to_owned()), Origin::Read);
    add(&instance, entry(4));
    assert_eq!(instance.fetch(read_request(1)).await.0, 503);
    assert_eq!(resting.count(), REQUESTS_TO_LEARN);
}

/// Guards against a rest that is carried to the next incarnation, under the same id or at the same address, or
/// believed of one that another incarnation asked for.
#[actix_rt::test]
async fn a_rest_is_of_one_incarnation() {
    for named in ["x-instance: other\r\n", ""] {
        let misdirected = StubUpstream::start(move |received| {
            let earlier = ReceivedRequest {
                headers: "x-attempt: earlier".to_owned(),
                ..received.clone()
            };
            earlier.response("503 Service Unavailable", &format!("{REST}{named}"), "")
        });
        let instance = TestInstance::start(vec![misdirected.entry("one", "desk", Stage::Whole)]);
        instance.fetch(read_request(0)).await;
        let upstreams = instance.relay.upstreams.borrow();
        let one = upstreams.get("one").expect("listed");
        assert_eq!(one.rest_left_ms(instance.relay.now_ms()), 0, "{named:?}");
    }
    let address = resting();
    let restarted = UpstreamEntry {
        started_ms: 1,
        ..address.entry("resting", "desk", Stage::Whole)
    };
    let replaced = address.entry("other", "desk", Stage::Whole);
    for next in [restarted, replaced] {
        address.received.borrow_mut().clear();
        let instance = instance_that_was_asked(&address, "desk", Stage::Whole).await;
        add(&instance, next);
        instance.fetch(read_request(1)).await;
        assert_eq!(address.count(), REQUESTS_TO_LEARN + 1);
    }
}

/// Guards against a call that frees an unused KV cache at an engine while it rests, and a cache that is then kept.
#[actix_rt::test]
async fn a_cache_at_a_resting_engine_is_freed_after_the_rest() {
    let prefill = StubUpstream::start(|received| {
        if received.header("x-attempt") == Some("2") {
            let rest = "x-not-run: 1\r\nx-rest-ms: 600\r\n";
            return received.response("503 Service Unavailable", rest, "");
        }
        let mut actions = vec![Action::Wait(150)];
        actions.extend(received.response("200 OK", "", "kv-1"));
        actions
    });
    let rejecting = StubUpstream::start(|received| {
        received.response("503 Service Unavailable", "x-not-run: 1\r\n", "")
    });
    let instance = TestInstance::start(vec![
        prefill.entry("prefill", "llm", Stage::Prefill),
        rejecting.entry("decode", "llm", Stage::Decode),
    ]);
    let prefilled = instance.fetch(generation_request("/once/x", 1, 17_000));
    let rejected = async {
        wait_until(|| prefill.count() > 0).await;
        instance
            .fetch(generation_request("/once/x", 2, 17_000))
            .await
    };
    tokio::join!(prefilled, rejected);
    let is_freed = || {
        let received = prefill.received.borrow();
        let mut lines = received.iter().map(|each| &each.request_line);
        lines.any(|line| line.starts_with("DELETE"))
    };
    assert!(wait_until(is_freed).await);
    let upstreams = instance.relay.upstreams.borrow();
    let engine = upstreams.get("prefill").expect("listed");
    assert_eq!(engine.rest_left_ms(instance.relay.now_ms()), 0);
}

/// Guards against one neighbour that gets the whole load of a resting upstream: twelve calls at once, three
/// upstreams of four slots beside the resting one.
#[actix_rt::test]
async fn the_load_of_a_resting_upstream_is_shared() {
    let resting = resting();
    let instance = instance_that_was_asked(&resting, "desk", Stage::Whole).await;
    let others: Vec<StubUpstream> = (0..3)
        .map(|_| {
            StubUpstream::start(|received| {
                let mut actions = vec![Action::Wait(200)];
                actions.extend(received.response("200 OK", "", EVENTS));
                actions
            })
        })
        .collect();
    for (number, other) in others.iter().enumerate() {
        add(
            &instance,
            other.entry(&format!("other-{number}"), "desk", Stage::Whole),
        );
    }
    let answers = join_all((1..13).map(|id| instance.fetch(read_request(id)))).await;
    assert!(answers.iter().all(|(status, _)| *status == 200));
    let shares: Vec<usize> = others.iter().map(StubUpstream::count).collect();
    assert_eq!(shares, [4, 4, 4]);
    assert_eq!(resting.count(), REQUESTS_TO_LEARN);
}
