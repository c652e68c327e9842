//! A request under which every upstream ends that begins to run it.
//!
//! It comes again and again, each time under another attempt's id and at whichever instance its caller
//! reaches. What is asked stays the same.

mod common;

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use common::{
    Action, ReceivedRequest, StubUpstream, TestInstance, config, deliver_gossip, request,
    wait_until,
};
use http::{HeaderValue, Method, Request};
use http_body_util::Full;
use relay::config::{Config, Limits, Route};
use relay::upstream::Stage;
use relay::upstreams::ListChange;
use view::RequestKey;

/// Body of the request that no upstream survives.
const POISON: &str = "poison";

/// Upstreams that may end under one request before none runs it any more.
const MOST_ENDED: usize = 3;

fn poison(path: &str, attempt: usize) -> Request<Full<Bytes>> {
    let mut req = request(Method::POST, path, &attempt.to_string());
    *req.body_mut() = Full::from(POISON);
    req
}

fn poisoned_question(attempt: usize) -> Request<Full<Bytes>> {
    let mut req = poison("/grades/1", attempt);
    let prompt = HeaderValue::from_static("7:50,8:40");
    req.headers_mut().insert("x-prompt", prompt);
    req
}

/// Answers all but the one request, in whose answer it ends.
fn fragile(received: &ReceivedRequest) -> Vec<Action> {
    let events = "id: 1\ndata: 1\n\n";
    let head = "content-type: text/event-stream\r\n";
    if received.body == POISON {
        let whole = received.response_text("200 OK", head, events);
        let cut = whole.len() - events.len();
        return vec![Action::Write(whole[..cut].to_owned()), Action::Crash];
    }
    received.response("200 OK", head, events)
}

fn fleet(size: usize) -> Vec<StubUpstream> {
    (0..size).map(|_| StubUpstream::start(fragile)).collect()
}

fn entries(
    fleet: &[StubUpstream],
    service: &str,
    stage: Stage,
) -> Vec<relay::upstream::UpstreamEntry> {
    let entry = |(at, each): (usize, &StubUpstream)| each.entry(&format!("u{at}"), service, stage);
    fleet.iter().enumerate().map(entry).collect()
}

/// Waits until it is found out of each upstream whose connection ended whether it has ended.
async fn looked(instance: &TestInstance) {
    let is_over = || {
        let upstreams = instance.relay.upstreams.borrow();
        upstreams.iter().all(|each| !each.is_health_check_running())
    };
    assert!(wait_until(is_over).await);
}

fn crashed(fleet: &[StubUpstream]) -> usize {
    fleet.iter().filter(|each| each.has_crashed()).count()
}

/// A caller's question ends the engine that begins to answer it. It is sent on to another one, which ends
/// too; the caller comes back with the same question under a new attempt, and again. Taken for what it was
/// each time, an engine that failed a question, it went through the whole fleet: at each of eleven ends of
/// an engine there was one question of 912 prompt tokens, `"message":"stream broke off","last_event":0`, 60
/// to 190 ms after it had begun. Other questions must find engines that live.
#[actix_rt::test]
async fn a_question_that_ends_engines_does_not_end_the_fleet() {
    let fleet = fleet(8);
    let instance = TestInstance::start(entries(&fleet, "llm", Stage::Decode));
    for attempt in 0..8 {
        instance.fetch(poisoned_question(attempt)).await;
    }
    assert!(crashed(&fleet) <= MOST_ENDED, "{} ended", crashed(&fleet));
    let mut other = request(Method::POST, "/grades/2", "other");
    let prompt = HeaderValue::from_static("7:50,8:40");
    other.headers_mut().insert("x-prompt", prompt);
    assert_eq!(instance.fetch(other).await.0, 200);
}

/// The same for a read, which is no stream: no answer comes, and the read is sent on, since it may run twice.
#[actix_rt::test]
async fn a_read_that_ends_services_does_not_end_all() {
    let fleet = fleet(8);
    let instance = TestInstance::start(entries(&fleet, "desk", Stage::Whole));
    for attempt in 0..8 {
        instance.fetch(poison("/reads/1", attempt)).await;
    }
    assert!(crashed(&fleet) <= MOST_ENDED, "{} ended", crashed(&fleet));
}

/// The caller comes back at another instance each time, where nobody has seen the request. The instances tell
/// each other what they have outstanding, and nothing of what became of it: each one would begin anew.
#[actix_rt::test]
async fn what_ended_under_a_question_elsewhere_is_known() {
    let fleet = fleet(12);
    let instances: Vec<Rc<TestInstance>> = (0..4)
        .map(|_| Rc::new(TestInstance::start(entries(&fleet, "llm", Stage::Decode))))
        .collect();
    for (attempt, instance) in instances.iter().enumerate() {
        instance.fetch(poisoned_question(attempt)).await;
        for other in &instances {
            if !Rc::ptr_eq(instance, other) {
                deliver_gossip(&instance.relay, &other.relay);
            }
        }
    }
    assert!(crashed(&fleet) <= MOST_ENDED, "{} ended", crashed(&fleet));
}

/// A claim runs once at the most, so it is sent to one upstream an attempt. Its caller comes back by itself, and
/// is told by then that the claim was not run, which is true of that attempt.
#[actix_rt::test]
async fn a_claim_that_ends_services_is_refused_as_unrun() {
    let fleet = fleet(8);
    let instance = TestInstance::start(entries(&fleet, "desk", Stage::Whole));
    let mut statuses = Vec::new();
    for attempt in 0..5 {
        statuses.push(instance.fetch(poison("/claims/1", attempt)).await.0);
        looked(&instance).await;
    }
    assert_eq!(crashed(&fleet), 2);
    assert_eq!(statuses, [502, 502, 503, 503, 503]);
}

/// An engine ends while it reads the prompt, before any output is asked of another one. The prompt is then sent
/// whole to an engine for output, which ends too. Both count, whatever they were doing.
#[actix_rt::test]
async fn a_prompt_that_ends_its_readers_is_known() {
    let readers: Vec<StubUpstream> = (0..6)
        .map(|_| StubUpstream::start(|_| vec![Action::Crash]))
        .collect();
    let makers = fleet(6);
    let mut all = entries(&readers, "llm", Stage::Prefill);
    let named =
        |(at, each): (usize, &StubUpstream)| each.entry(&format!("m{at}"), "llm", Stage::Decode);
    all.extend(makers.iter().enumerate().map(named));
    let instance = TestInstance::start(all);
    for attempt in 0..6 {
        let mut req = poisoned_question(attempt);
        let prompt = HeaderValue::from_static("7:13000,8:4000");
        req.headers_mut().insert("x-prompt", prompt);
        instance.fetch(req).await;
    }
    let ended = crashed(&readers) + crashed(&makers);
    assert!(ended <= MOST_ENDED, "{ended} ended");
}

/// An engine ends with four questions in hand, one of which is to blame. The others are gone on with elsewhere
/// and answered; having met one end they are refused nowhere.
#[actix_rt::test]
async fn those_that_were_there_are_answered() {
    let fleet = fleet(3);
    let instance = TestInstance::start(entries(&fleet, "llm", Stage::Decode));
    instance.fetch(poisoned_question(0)).await;
    for attempt in 1..5 {
        let mut req = request(Method::POST, "/grades/3", &attempt.to_string());
        let prompt = HeaderValue::from_static("7:50,8:40");
        req.headers_mut().insert("x-prompt", prompt);
        let (status, body) = instance.fetch(req).await;
        assert_eq!((status, body.is_some()), (200, true));
    }
}

/// An instance starts, or comes back from a partition, when the fleet knows already. It asks another one what it
/// knows, for its configuration, and refuses the request without having lost an engine.
#[actix_rt::test]
async fn one_that_starts_is_told() {
    let fleet = fleet(8);
    let all = entries(&fleet, "llm", Stage::Decode);
    let old = TestInstance::start(all.clone());
    for attempt in 0..4 {
        old.fetch(poisoned_question(attempt)).await;
        looked(&old).await;
    }
    let ended = crashed(&fleet);
    let new = TestInstance::start(all);
    let peer = "127.0.0.1:1".parse().expect("an address");
    relay::snapshot::merge(&new.relay, &old.relay.snapshot(), peer);
    assert_eq!(new.fetch(poisoned_question(9)).await.0, 503);
    assert_eq!(crashed(&fleet), ended);
}

/// Connections are reset under one read, again and again, by upstreams that live and answer all others: they fail
/// a part of their answers, and this read met several. That is no fault of its own, and it is served in the end.
#[actix_rt::test]
async fn a_reset_connection_is_not_an_end() {
    let left = Rc::new(Cell::new(9));
    let resets = || {
        let left = Rc::clone(&left);
        StubUpstream::start(move |received| {
            if left.get() == 0 {
                return received.response("200 OK", "", "ok");
            }
            left.set(left.get() - 1);
            vec![Action::Close]
        })
    };
    let fleet: Vec<StubUpstream> = (0..5).map(|_| resets()).collect();
    let instance = TestInstance::start(entries(&fleet, "desk", Stage::Whole));
    let mut statuses = Vec::new();
    for attempt in 0..6 {
        statuses.push(instance.fetch(poison("/reads/1", attempt)).await.0);
        looked(&instance).await;
    }
    assert_eq!(statuses, [502, 502, 502, 502, 200, 200]);
}

/// A service has one upstream, which ends under a claim and is back at the same address before anybody has looked.
/// The list names the new incarnation, under the old id or a new one; each of them that ended counts.
#[actix_rt::test]
async fn one_that_is_back_at_once_has_ended_all_the_same() {
    let desk = StubUpstream::start(|_| vec![Action::Close]);
    let entry = |nth: u64| relay::upstream::UpstreamEntry {
        started_ms: nth,
        ..desk.entry("desk", "desk", Stage::Whole)
    };
    let instance = TestInstance::start(vec![entry(0)]);
    let mut statuses = Vec::new();
    for attempt in 0..4 {
        statuses.push(instance.fetch(poison("/claims/1", attempt)).await.0);
        looked(&instance).await;
        instance.relay.apply_change(
            ListChange::Put(entry(1 + attempt as u64)),
            relay::Origin::Read,
        );
    }
    assert_eq!(statuses, [502, 502, 503, 503]);
}

/// The prompt of a question is read by one engine. Meanwhile this instance hears from the others that engines end
/// under the question, and the engine for output, which would be the third, is not asked.
#[actix_rt::test]
async fn a_question_found_out_while_it_was_read_gets_no_output() {
    let reader = StubUpstream::start(|received| {
        let mut actions = vec![Action::Wait(300)];
        actions.extend(received.response("200 OK", "", "kv-1"));
        actions
    });
    let makers = fleet(2);
    let mut all = entries(&makers, "llm", Stage::Decode);
    all.push(reader.entry("reader", "llm", Stage::Prefill));
    let instance = Rc::new(TestInstance::start(all));
    let mut req = poisoned_question(0);
    let prompt = HeaderValue::from_static("7:13000,8:4000");
    req.headers_mut().insert("x-prompt", prompt);
    let answer = actix_rt::spawn({
        let instance = Rc::clone(&instance);
        async move { instance.fetch(req).await.0 }
    });
    assert!(wait_until(|| reader.count() == 1).await);
    let key = RequestKey::of("host.test", "POST", "/grades/1", POISON.as_bytes());
    instance.relay.learn_poison_requests(&[key]);
    assert_eq!(answer.await.expect("an answer"), 503);
    assert_eq!(crashed(&makers), 0);
}

/// A route lets one attempt go to six upstreams. Under a read and a question the second one ends too, and a third
/// is there at once; it must not be asked before it is known whether the second has ended.
#[actix_rt::test]
async fn one_attempt_ends_two_upstreams_at_the_most() {
    for (path, service, stage) in [
        ("/reads/1", "desk", Stage::Whole),
        ("/grades/1", "llm", Stage::Decode),
    ] {
        let fleet = fleet(8);
        let instance = TestInstance::start(entries(&fleet, service, stage));
        let usual = config(2);
        let routes = usual.all_routes().cloned().map(|route| Route {
            max_attempts: 6,
            ..route
        });
        let services = usual.services().clone();
        let patient = Config::new(2, routes.collect(), services, Limits::default());
        assert!(instance.relay.configure(patient));
        let mut req = poison(path, 0);
        if stage == Stage::Decode {
            req = poisoned_question(0);
        }
        instance.fetch(req).await;
        looked(&instance).await;
        assert_eq!(crashed(&fleet), 2, "{path}");
    }
}
