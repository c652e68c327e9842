//! A request under which every upstream ends that begins to run it.
//!
//! It comes again and again, each time under another attempt's id and at whichever instance its caller
//! reaches. What is asked stays the same.

mod common;

use std::rc::Rc;

use bytes::Bytes;
use common::{Act, Bed, Seen, StandIn, request, tell, until};
use http::{HeaderValue, Method, Request};
use http_body_util::Full;
use relay::upstream::Stage;

/// Body of the request that no upstream survives.
const POISON: &str = "poison";

/// Upstreams that may end under one request before none runs it any more.
const MOST_ENDED: usize = 3;

fn poison(path: &str, attempt: usize) -> Request<Full<Bytes>> {
    let mut asked = request(Method::POST, path, &attempt.to_string());
    *asked.body_mut() = Full::from(POISON);
    asked
}

fn poisoned_question(attempt: usize) -> Request<Full<Bytes>> {
    let mut asked = poison("/grades/1", attempt);
    let prompt = HeaderValue::from_static("7:50,8:40");
    asked.headers_mut().insert("x-prompt", prompt);
    asked
}

/// Answers all but the one request, in whose answer it ends.
fn fragile(seen: &Seen) -> Vec<Act> {
    let events = "id: 1\ndata: 1\n\n";
    let head = "content-type: text/event-stream\r\n";
    if seen.body == POISON {
        let whole = seen.text("200 OK", head, events);
        let cut = whole.len() - events.len();
        return vec![Act::Say(whole[..cut].to_owned()), Act::Crash];
    }
    seen.answer("200 OK", head, events)
}

fn fleet(size: usize) -> Vec<StandIn> {
    (0..size).map(|_| StandIn::start(fragile)).collect()
}

fn entries(fleet: &[StandIn], service: &str, stage: Stage) -> Vec<relay::upstream::Entry> {
    let entry = |(at, each): (usize, &StandIn)| each.entry(&format!("u{at}"), service, stage);
    fleet.iter().enumerate().map(entry).collect()
}

/// Waits until it is found out of each upstream whose connection ended whether it has ended.
async fn looked(bed: &Bed) {
    let is_over = || {
        let upstreams = bed.relay.upstreams.borrow();
        upstreams.iter().all(|each| !each.is_looked_at.get())
    };
    assert!(until(is_over).await);
}

fn crashed(fleet: &[StandIn]) -> usize {
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
    let bed = Bed::start(entries(&fleet, "llm", Stage::Decode));
    for attempt in 0..8 {
        bed.get(poisoned_question(attempt)).await;
    }
    assert!(crashed(&fleet) <= MOST_ENDED, "{} ended", crashed(&fleet));
    let mut other = request(Method::POST, "/grades/2", "other");
    let prompt = HeaderValue::from_static("7:50,8:40");
    other.headers_mut().insert("x-prompt", prompt);
    assert_eq!(bed.get(other).await.0, 200);
}

/// The same for a read, which is no stream: no answer comes, and the read is sent on, since it may run twice.
#[actix_rt::test]
async fn a_read_that_ends_services_does_not_end_all() {
    let fleet = fleet(8);
    let bed = Bed::start(entries(&fleet, "desk", Stage::Whole));
    for attempt in 0..8 {
        bed.get(poison("/reads/1", attempt)).await;
    }
    assert!(crashed(&fleet) <= MOST_ENDED, "{} ended", crashed(&fleet));
}

/// The caller comes back at another instance each time, where nobody has seen the request. The instances tell
/// each other what they have outstanding, and nothing of what became of it: each one would begin anew.
#[actix_rt::test]
async fn what_ended_under_a_question_elsewhere_is_known() {
    let fleet = fleet(12);
    let beds: Vec<Rc<Bed>> = (0..4)
        .map(|_| Rc::new(Bed::start(entries(&fleet, "llm", Stage::Decode))))
        .collect();
    for (attempt, bed) in beds.iter().enumerate() {
        bed.get(poisoned_question(attempt)).await;
        for other in &beds {
            if !Rc::ptr_eq(bed, other) {
                tell(&bed.relay, &other.relay);
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
    let bed = Bed::start(entries(&fleet, "desk", Stage::Whole));
    let mut statuses = Vec::new();
    for attempt in 0..5 {
        statuses.push(bed.get(poison("/claims/1", attempt)).await.0);
        looked(&bed).await;
    }
    assert_eq!(crashed(&fleet), 2);
    assert_eq!(statuses, [502, 502, 503, 503, 503]);
}

/// An engine ends while it reads the prompt, before any output is asked of another one. The prompt is then sent
/// whole to an engine for output, which ends too. Both count, whatever they were doing.
#[actix_rt::test]
async fn a_prompt_that_ends_its_readers_is_known() {
    let readers: Vec<StandIn> = (0..6)
        .map(|_| StandIn::start(|_| vec![Act::Crash]))
        .collect();
    let makers = fleet(6);
    let mut all = entries(&readers, "llm", Stage::Prefill);
    let named = |(at, each): (usize, &StandIn)| each.entry(&format!("m{at}"), "llm", Stage::Decode);
    all.extend(makers.iter().enumerate().map(named));
    let bed = Bed::start(all);
    for attempt in 0..6 {
        let mut asked = poisoned_question(attempt);
        let prompt = HeaderValue::from_static("7:13000,8:4000");
        asked.headers_mut().insert("x-prompt", prompt);
        bed.get(asked).await;
    }
    let ended = crashed(&readers) + crashed(&makers);
    assert!(ended <= MOST_ENDED, "{ended} ended");
}

/// An engine ends with four questions in hand, one of which is to blame. The others are gone on with elsewhere
/// and answered; having met one end they are refused nowhere.
#[actix_rt::test]
async fn those_that_were_there_are_answered() {
    let fleet = fleet(3);
    let bed = Bed::start(entries(&fleet, "llm", Stage::Decode));
    bed.get(poisoned_question(0)).await;
    for attempt in 1..5 {
        let mut asked = request(Method::POST, "/grades/3", &attempt.to_string());
        let prompt = HeaderValue::from_static("7:50,8:40");
        asked.headers_mut().insert("x-prompt", prompt);
        let (status, body) = bed.get(asked).await;
        assert_eq!((status, body.is_some()), (200, true));
    }
}

/// An instance starts, or comes back from a partition, when the fleet knows already. It asks another one what it
/// knows, for its configuration, and refuses the request without having lost an engine.
#[actix_rt::test]
async fn one_that_starts_is_told() {
    let fleet = fleet(8);
    let all = entries(&fleet, "llm", Stage::Decode);
    let old = Bed::start(all.clone());
    for attempt in 0..4 {
        old.get(poisoned_question(attempt)).await;
        looked(&old).await;
    }
    let ended = crashed(&fleet);
    let new = Bed::start(all);
    let peer = "127.0.0.1:1".parse().expect("an address");
    relay::state::take(&new.relay, &old.relay.state(), peer);
    assert_eq!(new.get(poisoned_question(9)).await.0, 503);
    assert_eq!(crashed(&fleet), ended);
}

/// Connections are reset under one read, again and again, by upstreams that live and answer all others. They are not
/// taken for ended, so two do not count against the read; a third one does, and the fourth is spared.
#[actix_rt::test]
async fn a_reset_connection_is_not_an_end() {
    let resets = || {
        StandIn::start(|seen| match seen.body.as_str() {
            POISON => vec![Act::Close],
            _ => seen.answer("200 OK", "", "ok"),
        })
    };
    let fleet: Vec<StandIn> = (0..4).map(|_| resets()).collect();
    let bed = Bed::start(entries(&fleet, "desk", Stage::Whole));
    for attempt in 0..12 {
        bed.get(poison("/reads/1", attempt)).await;
        looked(&bed).await;
    }
    let met = fleet.iter().filter(|each| each.count() > 0).count();
    assert_eq!(
        met, MOST_ENDED,
        "two that live are not held against it, three are"
    );
    for path in ["/reads/2", "/reads/3"] {
        assert_eq!(bed.get(request(Method::POST, path, path)).await.0, 200);
    }
}
