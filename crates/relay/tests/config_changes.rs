//! Requests under way while the configuration changes.

mod common;

use std::rc::Rc;
use std::time::Duration;

use common::{
    Action, EVENTS, ReceivedRequest, StubUpstream, TestInstance, config, generation_request,
    in_other_zone, read_request, request, wait_until,
};
use futures_util::future::join_all;
use http::Method;
use relay::config::{Config, Limits, Target};
use relay::upstream::{Stage, UpstreamEntry};

/// Time for which upstreams work on a request, in ms.
const WORK_MS: u64 = 400;

/// Tokens of a prompt that is long enough for a separate prefill.
const PROMPT_TOKENS: usize = 17_000;

/// A change of the configuration that takes away what the requests under way were admitted by.
#[derive(Debug, Clone, Copy)]
enum Change {
    RoutesMoved,
    WeightsZero,
    TimeoutsShort,
    LimitsLow,
    RoutesGone,
    ServicesGone,
}

fn changed(change: Change) -> Config {
    let before = config(1);
    let mut routes: Vec<_> = before.all_routes().cloned().collect();
    let mut services = before.services().clone();
    let mut limits = Limits::default();
    for route in &mut routes {
        match change {
            Change::RoutesMoved => {
                route.targets = vec![Target {
                    service: "other".to_owned(),
                    weight: 1,
                }];
            }
            Change::WeightsZero => route.targets[0].weight = 0,
            Change::TimeoutsShort => route.timeout_ms = 10,
            Change::LimitsLow | Change::RoutesGone | Change::ServicesGone => {}
        }
    }
    match change {
        Change::LimitsLow => {
            limits = Limits {
                idle_ms: 50,
                body_bytes: 1,
                ..limits
            };
        }
        Change::ServicesGone => {
            services.clear();
            routes.clear();
        }
        Change::RoutesGone => routes.clear(),
        Change::RoutesMoved | Change::WeightsZero | Change::TimeoutsShort => {}
    }
    Config::new(2, routes, services, limits)
}

const CHANGES: [Change; 6] = [
    Change::RoutesMoved,
    Change::WeightsZero,
    Change::TimeoutsShort,
    Change::LimitsLow,
    Change::RoutesGone,
    Change::ServicesGone,
];

/// The second event of a stream, whose first is [`EVENTS`].
const LAST_EVENT: &str = "id: 2\ndata: 2\n\n";

/// Works for a while, and then answers claims and prefills, and breaks off whatever another upstream may go on with.
fn breaking(received: &ReceivedRequest) -> Vec<Action> {
    let work = Action::Wait(WORK_MS);
    if received.header("x-step") == Some("prefill") {
        let answer = received.response_text("200 OK", "", "kv-1");
        return vec![work, Action::Write(answer)];
    }
    if received.header("x-prompt").is_none() {
        let is_claim = received.request_line.starts_with("POST");
        let answer = Action::Write(received.response_text("200 OK", "", EVENTS));
        return vec![work, if is_claim { answer } else { Action::Close }];
    }
    let whole = received.response_text("200 OK", "", &format!("{EVENTS}{LAST_EVENT}"));
    let begin = whole.strip_suffix(LAST_EVENT).expect("two events");
    vec![Action::Write(begin.to_owned()), work, Action::Close]
}

/// Serves what is left of a request at once.
fn serving(received: &ReceivedRequest) -> Vec<Action> {
    let body = match received.header("last-event-id") {
        Some(_) => LAST_EVENT.to_owned(),
        None if received.header("x-prompt").is_some() => format!("{EVENTS}{LAST_EVENT}"),
        None => EVENTS.to_owned(),
    };
    received.response("200 OK", "", &body)
}

fn start() -> (TestInstance, [StubUpstream; 3]) {
    let stubs = [breaking, breaking, breaking].map(StubUpstream::start);
    let [desk, engine, prefill] = &stubs;
    let others: [StubUpstream; 2] = [serving, serving].map(StubUpstream::start);
    let second = |stub: &StubUpstream, id: &str, service: &str, stage: Stage| -> UpstreamEntry {
        in_other_zone(stub.entry(id, service, stage))
    };
    let instance = TestInstance::start(vec![
        desk.entry("desk-1", "desk", Stage::Whole),
        second(&others[0], "desk-2", "desk", Stage::Whole),
        engine.entry("llm-1", "llm", Stage::Decode),
        second(&others[1], "llm-2", "llm", Stage::Decode),
        prefill.entry("prefill", "llm", Stage::Prefill),
    ]);
    (instance, stubs)
}

/// The answers to requests that are under way while a change comes.
async fn answers_through(change: Change) -> Vec<(u16, Option<String>)> {
    let (instance, stubs) = start();
    let requests = vec![
        read_request(1),
        request(Method::POST, "/claims/x", "2"),
        generation_request("/grades/x", 3, 300),
        generation_request("/grades/x", 4, PROMPT_TOKENS),
    ];
    let under_way = requests.into_iter().map(|request| instance.fetch(request));
    let relay = Rc::clone(&instance.relay);
    let change = async {
        let all_busy = || stubs.iter().all(|stub| stub.count() > 0);
        assert!(wait_until(all_busy).await);
        actix_rt::time::sleep(Duration::from_millis(WORK_MS / 4)).await;
        assert!(relay.configure(changed(change)));
    };
    let (ended, ()) = tokio::join!(join_all(under_way), change);
    ended
}

/// Guards against requests that are lost or refused because what they were admitted by is no longer configured when
/// they are retried, resumed or measured.
#[actix_rt::test]
async fn requests_under_way_are_served_whatever_the_next_version_takes_away() {
    for change in CHANGES {
        let ended = answers_through(change).await;
        let is_served = |(status, body): &(u16, Option<String>)| *status == 200 && body.is_some();
        assert!(ended.iter().all(is_served), "{change:?}: {ended:?}");
    }
}
