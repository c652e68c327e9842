//! A request under which every upstream ends that begins to run it.
//!
//! It comes again and again, each time under another attempt's id and at whichever instance its caller
//! reaches. What is asked stays the same.

mod common;

use std::rc::Rc;

use bytes::Bytes;
use common::{Act, Bed, Seen, StandIn, request, tell};
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
