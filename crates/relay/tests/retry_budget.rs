//! Retries as upstreams count them: each arrival beyond the first of its request, whether it was
//! rejected, interrupted or run. A request's first accepted prefill doesn't count as an arrival.

mod common;

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use common::{
    Action, PROCESS_AGE, ReceivedRequest, StubUpstream, TestDialect, TestInstance, request,
    settings,
};
use http::{HeaderValue, Method, Request};
use http_body_util::Full;
use plan::RetryBudgetSettings;
use relay::Relay;
use relay::upstream::Stage;
use tick::Clock;
use view::{InstanceKey, Member};

/// Retry budget of these tests: a fifth of the requests and five more.
const RETRY_BUDGET: RetryBudgetSettings = RetryBudgetSettings {
    ratio: 0.2,
    window_ms: 10_000,
    slack: 5.0,
};

/// Requests of a test; all are sent within one window.
const REQUESTS: usize = 60;

/// Parts of a prompt.
const PROMPT_PARTS: usize = 100;

const EVENTS: &str = "id: 1\ndata: 1\n\n";

fn generation_request(path: &str, id: usize) -> Request<Full<bytes::Bytes>> {
    let mut req = request(Method::POST, path, &id.to_string());
    // Long enough for prefill at a separate engine, in parts too short to be noted as cached.
    let parts: Vec<String> = (0..PROMPT_PARTS)
        .map(|part| format!("{}:100", id * PROMPT_PARTS + part))
        .collect();
    let prompt = HeaderValue::from_str(&parts.join(",")).expect("a valid value");
    req.headers_mut().insert("x-prompt", prompt);
    req
}

fn is_prefill(received: &ReceivedRequest) -> bool {
    received.header("x-step") == Some("prefill")
}

fn reject(received: &ReceivedRequest) -> Vec<Action> {
    received.response("503 Service Unavailable", "x-not-run: 1\r\n", "")
}

fn close(_: &ReceivedRequest) -> Vec<Action> {
    vec![Action::Close]
}

fn decode(received: &ReceivedRequest) -> Vec<Action> {
    received.response("200 OK", "content-type: text/event-stream\r\n", EVENTS)
}

/// An engine that responds to prefill and to decode requests as given.
fn engine(
    prefill: fn(&ReceivedRequest) -> Vec<Action>,
    decode: fn(&ReceivedRequest) -> Vec<Action>,
) -> StubUpstream {
    StubUpstream::start(move |received| {
        if received.request_line.starts_with("DELETE") {
            return received.response("200 OK", "", "");
        }
        if is_prefill(received) {
            prefill(received)
        } else {
            decode(received)
        }
    })
}

fn start_instance(
    prefill_engines: &[StubUpstream],
    decode_engines: &[StubUpstream],
) -> TestInstance {
    let entries = |all: &[StubUpstream], name: &str, stage| -> Vec<_> {
        let entry = |(index, stub): (usize, &StubUpstream)| {
            stub.entry(&format!("{name}{index}"), "llm", stage)
        };
        all.iter().enumerate().map(entry).collect()
    };
    let mut all = entries(prefill_engines, "prefill", Stage::Prefill);
    all.extend(entries(decode_engines, "decode", Stage::Decode));
    let settings = relay::Settings {
        retry_budget: RETRY_BUDGET,
        ..settings()
    };
    TestInstance::start_with(settings, all)
}

/// Arrivals beyond the first of each request; with `prefill_accepted`, not counting its first
/// prefill.
fn retry_count(engines: &[&[StubUpstream]], prefill_accepted: bool) -> usize {
    let mut arrivals: HashMap<String, usize> = HashMap::new();
    let mut accepted: HashMap<String, usize> = HashMap::new();
    for engine in engines.iter().copied().flatten() {
        for received in engine.received.borrow().iter() {
            let Some(id) = received.header("x-attempt") else {
                continue;
            };
            if prefill_accepted
                && is_prefill(received)
                && accepted.insert(id.to_owned(), 1).is_none()
            {
                continue;
            }
            *arrivals.entry(id.to_owned()).or_default() += 1;
        }
    }
    arrivals.values().map(|count| count - 1).sum()
}

/// One of seven instances, whose process has been running for `age`.
fn one_of_seven(age: Duration) -> Rc<Relay> {
    let relay = Relay::new(settings(), Rc::new(TestDialect), Clock::of_age(age));
    let own = relay.heartbeat();
    let names = ["b", "c", "d", "e", "f", "g"];
    let peers = names.map(|name| Member {
        name: name.to_owned(),
        ready: true,
        ..own.clone()
    });
    let mut members = relay.members.borrow_mut();
    let own = Member { ready: true, ..own };
    for member in peers.into_iter().chain([own]) {
        members.record_heartbeat(relay.now_ms(), member);
    }
    drop(members);
    relay
}

/// Retries that an instance may make before any request has added to its budget.
fn retries_before_requests(relay: &Relay) -> usize {
    (0..100).filter(|_| relay.take_retry("desk")).count()
}

/// Guards against a share of the retry budget that is available again each time a process is killed
/// and restarts.
#[test]
fn a_restarted_process_takes_no_second_share() {
    let share = settings().retry_budget.slack / 7.0;
    let before = retries_before_requests(&one_of_seven(PROCESS_AGE));
    let after = retries_before_requests(&one_of_seven(Duration::ZERO));
    assert!(before > 0);
    assert!(
        (before + after) as f64 <= share,
        "{before} and {after} of {share}"
    );
}

/// Guards against a share that grows as peers fall silent: they may only be cut off and still use
/// their own shares.
#[test]
fn shares_do_not_grow_when_peers_fall_silent() {
    let relay = one_of_seven(PROCESS_AGE);
    let silent_ms = relay.now_ms() + 3_000;
    let mut members = relay.members.borrow_mut();
    for name in ["b", "c"] {
        members.record_alive(silent_ms, InstanceKey::of(name));
    }
    assert!(
        members.reachable_count() < 7,
        "the silent peers are noticed"
    );
    drop(members);
    let share = settings().retry_budget.slack / 7.0;
    let taken = retries_before_requests(&relay);
    assert!(taken > 0 && taken as f64 <= share, "{taken} of {share}");
}

/// Guards against a share that grows while peers restart: they aren't ready yet, and will be within
/// a window.
#[test]
fn shares_do_not_grow_when_peers_are_not_ready() {
    let relay = one_of_seven(PROCESS_AGE);
    let now_ms = relay.now_ms();
    let own = relay.heartbeat();
    for name in ["b", "c", "d", "e", "f", "g"] {
        let starting = Member {
            name: name.to_owned(),
            ready: false,
            ..own.clone()
        };
        relay
            .members
            .borrow_mut()
            .record_heartbeat(now_ms, starting);
    }
    let share = settings().retry_budget.slack / 7.0;
    let taken = retries_before_requests(&relay);
    assert!(taken > 0 && taken as f64 <= share, "{taken} of {share}");
}

/// Sends the requests one after the other and returns how many were served.
async fn send_all(instance: &TestInstance, path: &str) -> usize {
    let mut served = 0;
    for id in 0..REQUESTS {
        let (status, _) = instance.fetch(generation_request(path, id)).await;
        assert!([200, 502, 503].contains(&status), "{status}");
        served += usize::from(status == 200);
    }
    served
}

fn retry_limit() -> usize {
    (RETRY_BUDGET.ratio * REQUESTS as f64 + RETRY_BUDGET.slack) as usize
}

/// Sends requests whose separate prefills all fail in the given way, and checks the number of
/// retries.
async fn assert_failed_prefill_within_budget(prefill: fn(&ReceivedRequest) -> Vec<Action>) {
    let prefill_engines = [engine(prefill, decode), engine(prefill, decode)];
    let decode_engines = [engine(prefill, decode)];
    let instance = start_instance(&prefill_engines, &decode_engines);
    let served = send_all(&instance, "/once/x").await;
    let retries = retry_count(&[&prefill_engines, &decode_engines], false);
    assert!(
        retries <= retry_limit(),
        "{retries} of {} allowed",
        retry_limit()
    );
    assert!(served > 0, "requests within the retry budget are served");
}

/// Guards against unbounded retries where engines reject prefill requests.
#[actix_rt::test]
async fn rejected_prefills_are_retried_within_the_budget() {
    assert_failed_prefill_within_budget(reject).await;
}

/// Guards against unbounded retries where connections break during prefill.
#[actix_rt::test]
async fn lost_prefills_are_retried_within_the_budget() {
    assert_failed_prefill_within_budget(close).await;
}

/// Guards against a retry that is counted once and arrives twice, because its prompt is prefilled a
/// second time.
#[actix_rt::test]
async fn repeated_prefills_are_within_the_budget() {
    let prefill: fn(&ReceivedRequest) -> Vec<Action> =
        |received| received.response("200 OK", "", "kv-1");
    let prefill_engines = [engine(prefill, decode)];
    let decode_engines = [engine(prefill, close), engine(prefill, close)];
    let instance = start_instance(&prefill_engines, &decode_engines);
    send_all(&instance, "/grades/x").await;
    let retries = retry_count(&[&prefill_engines, &decode_engines], true);
    assert!(
        retries <= retry_limit(),
        "{retries} of {} allowed",
        retry_limit()
    );
}
