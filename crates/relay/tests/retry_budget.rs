//! What reaches upstreams a second time, counted as they count it: each arrival beyond the first of its
//! request, whether it was rejected, broken off or run, but for the first read of a prompt that was accepted.

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

/// Bound on repeats of these tests: a fifth of the requests and five.
const TERMS: RetryBudgetSettings = RetryBudgetSettings {
    ratio: 0.2,
    window_ms: 10_000,
    slack: 5.0,
};

/// Requests of a test; all are over within one window.
const REQUESTS: usize = 60;

/// Parts of a prompt.
const PARTS: usize = 100;

const EVENTS: &str = "id: 1\ndata: 1\n\n";

fn generation(path: &str, id: usize) -> Request<Full<bytes::Bytes>> {
    let mut req = request(Method::POST, path, &id.to_string());
    // Worth reading apart, and of parts so short that nobody counts on their being held anywhere.
    let parts: Vec<String> = (0..PARTS)
        .map(|part| format!("{}:100", id * PARTS + part))
        .collect();
    let prompt = HeaderValue::from_str(&parts.join(",")).expect("a valid value");
    req.headers_mut().insert("x-prompt", prompt);
    req
}

fn is_read(received: &ReceivedRequest) -> bool {
    received.header("x-step") == Some("prefill")
}

fn rejects(received: &ReceivedRequest) -> Vec<Action> {
    received.response("503 Service Unavailable", "x-not-run: 1\r\n", "")
}

fn closes(_: &ReceivedRequest) -> Vec<Action> {
    vec![Action::Close]
}

fn makes(received: &ReceivedRequest) -> Vec<Action> {
    received.response("200 OK", "content-type: text/event-stream\r\n", EVENTS)
}

/// An engine that answers reads of prompts and requests for output as told.
fn engine(
    reads: fn(&ReceivedRequest) -> Vec<Action>,
    makes: fn(&ReceivedRequest) -> Vec<Action>,
) -> StubUpstream {
    StubUpstream::start(move |received| {
        if received.request_line.starts_with("DELETE") {
            return received.response("200 OK", "", "");
        }
        if is_read(received) {
            reads(received)
        } else {
            makes(received)
        }
    })
}

fn start_instance(readers: &[StubUpstream], makers: &[StubUpstream]) -> TestInstance {
    let entries = |all: &[StubUpstream], name: &str, stage| -> Vec<_> {
        let entry =
            |(at, each): (usize, &StubUpstream)| each.entry(&format!("{name}{at}"), "llm", stage);
        all.iter().enumerate().map(entry).collect()
    };
    let mut all = entries(readers, "reader", Stage::Prefill);
    all.extend(entries(makers, "maker", Stage::Decode));
    let settings = relay::Settings {
        retry_budget: TERMS,
        ..settings()
    };
    TestInstance::start_with(settings, all)
}

/// Arrivals beyond the first of each request; `accepts` tells whether reads of prompts were accepted.
fn again(engines: &[&[StubUpstream]], accepts: bool) -> usize {
    let mut arrivals: HashMap<String, usize> = HashMap::new();
    let mut free: HashMap<String, usize> = HashMap::new();
    for engine in engines.iter().copied().flatten() {
        for received in engine.received.borrow().iter() {
            let Some(id) = received.header("x-attempt") else {
                continue;
            };
            if accepts && is_read(received) && free.insert(id.to_owned(), 1).is_none() {
                continue;
            }
            *arrivals.entry(id.to_owned()).or_default() += 1;
        }
    }
    arrivals.values().map(|count| count - 1).sum()
}

/// One of seven instances, which has been running for `age`.
fn one_of_seven(age: Duration) -> Rc<Relay> {
    let relay = Relay::new(settings(), Rc::new(TestDialect), Clock::of_age(age));
    let own = relay.heartbeat();
    let names = ["b", "c", "d", "e", "f", "g"];
    let others = names.map(|name| Member {
        name: name.to_owned(),
        ready: true,
        ..own.clone()
    });
    let mut members = relay.members.borrow_mut();
    let own = Member { ready: true, ..own };
    for member in others.into_iter().chain([own]) {
        members.record_heartbeat(relay.now_ms(), member);
    }
    drop(members);
    relay
}

/// Repeats that an instance may make without a request to pay for them.
fn unpaid(relay: &Relay) -> usize {
    (0..100).filter(|_| relay.take_retry("desk")).count()
}

/// Guards against a part of the allowance that is there anew each time a process is killed and starts again.
#[test]
fn a_process_that_starts_again_takes_no_second_part() {
    let part = settings().retry_budget.slack / 7.0;
    let before = unpaid(&one_of_seven(PROCESS_AGE));
    let after = unpaid(&one_of_seven(Duration::ZERO));
    assert!(before > 0);
    assert!(
        (before + after) as f64 <= part,
        "{before} and {after} of {part}"
    );
}

/// Guards against parts that grow as instances fall silent, which may only be cut off and go on with theirs.
#[test]
fn instances_that_fall_silent_leave_their_parts_to_nobody() {
    let relay = one_of_seven(PROCESS_AGE);
    let silent_ms = relay.now_ms() + 3_000;
    let mut members = relay.members.borrow_mut();
    for name in ["b", "c"] {
        members.record_alive(silent_ms, InstanceKey::of(name));
    }
    assert!(members.reachable_count() < 7, "silence is noticed");
    drop(members);
    let part = settings().retry_budget.slack / 7.0;
    let taken = unpaid(&relay);
    assert!(taken > 0 && taken as f64 <= part, "{taken} of {part}");
}

/// Guards against parts that grow while others start again: they are not ready yet, and will be within a window.
#[test]
fn instances_that_are_not_ready_leave_their_parts_to_nobody() {
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
    let part = settings().retry_budget.slack / 7.0;
    let taken = unpaid(&relay);
    assert!(taken > 0 && taken as f64 <= part, "{taken} of {part}");
}

/// Asks one after the other, and gives how many were served.
async fn ask_all(instance: &TestInstance, path: &str) -> usize {
    let mut served = 0;
    for id in 0..REQUESTS {
        let (status, _) = instance.fetch(generation(path, id)).await;
        assert!([200, 502, 503].contains(&status), "{status}");
        served += usize::from(status == 200);
    }
    served
}

fn bound() -> usize {
    (TERMS.ratio * REQUESTS as f64 + TERMS.slack) as usize
}

/// Asks before engines that take no prompt to be read apart, and do so as `reads` says.
async fn where_no_prompt_is_read(reads: fn(&ReceivedRequest) -> Vec<Action>) {
    let readers = [engine(reads, makes), engine(reads, makes)];
    let makers = [engine(reads, makes)];
    let instance = start_instance(&readers, &makers);
    let served = ask_all(&instance, "/once/x").await;
    let again = again(&[&readers, &makers], false);
    assert!(again <= bound(), "{again} of {} allowed", bound());
    assert!(served > 0, "what the bound allows is served");
}

/// Guards against repeats without a bound where engines reject the prompts that they are to read.
#[actix_rt::test]
async fn prompts_that_readers_reject_are_sent_on_within_the_bound() {
    where_no_prompt_is_read(rejects).await;
}

/// Guards against repeats without a bound where the connections of readers end under prompts.
#[actix_rt::test]
async fn prompts_that_readers_lose_are_sent_on_within_the_bound() {
    where_no_prompt_is_read(closes).await;
}

/// Guards against a repeat that is counted once and arrives twice, as its prompt is read again.
#[actix_rt::test]
async fn a_prompt_read_again_is_within_the_bound() {
    let reads: fn(&ReceivedRequest) -> Vec<Action> =
        |received| received.response("200 OK", "", "kv-1");
    let readers = [engine(reads, makes)];
    let makers = [engine(reads, closes), engine(reads, closes)];
    let instance = start_instance(&readers, &makers);
    ask_all(&instance, "/grades/x").await;
    let again = again(&[&readers, &makers], true);
    assert!(again <= bound(), "{again} of {} allowed", bound());
}
