//! Requests that wait at an upstream out of reach while a peer is asked beside it, and are rejected there in the end.

mod common;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use common::{Link, LinkState, ReceivedRequest, StubUpstream, TestInstance, meet, read_request};
use relay::upstream::Stage;

/// Attempt that waits, and the first one of the peer's callers.
const WAITING: usize = 777;
const OTHERS: usize = 10_000;

/// Time in which the upstream answers what the peer sends it, in ms.
const PEER_ANSWER_MS: u64 = 400;

/// Whether a request is the one that waits.
fn is_waiting(received: &ReceivedRequest) -> bool {
    received.header("x-attempt") == Some(WAITING.to_string().as_str())
}

/// Sends a request by a path that then falls silent, until a peer has sent it too; the path brings a rejection before the
/// peer's upstream answers with `status`. Returns the status that the caller gets.
async fn rejected_while_a_peer_asks(status: &'static str) -> u16 {
    let arrivals = Rc::new(Cell::new(0));
    let counted = Rc::clone(&arrivals);
    let rejection = "503 Service Unavailable";
    let desk = StubUpstream::start(move |received| {
        if !is_waiting(received) {
            return received.response("200 OK", "", "read");
        }
        counted.set(counted.get() + 1);
        if counted.get() == 1 {
            let text = received.response_text(rejection, "x-not-run: 1\r\n", "");
            return vec![common::Action::Wait(200), common::Action::Write(text)];
        }
        let headers = if status == rejection {
            "x-not-run: 1\r\n"
        } else {
            ""
        };
        let text = received.response_text(status, headers, "read");
        vec![
            common::Action::Wait(PEER_ANSWER_MS),
            common::Action::Write(text),
        ]
    });
    let entry = desk.entry("up", "desk", Stage::Whole);
    let link = Link::open(desk.address);
    let instance = TestInstance::start_peer("a", "here", vec![link.entry(entry.clone())]).await;
    let peer = TestInstance::start_peer("b", "here", vec![entry]).await;
    meet(&[&instance, &peer]).await;
    let busy = actix_rt::spawn(async move {
        for id in OTHERS.. {
            peer.fetch(read_request(id)).await;
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    });
    let path = async {
        while arrivals.get() == 0 {
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
        link.set(LinkState::RequestsOnly);
        while arrivals.get() == 1 {
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
        link.set(LinkState::Open);
    };
    let (answer, ()) = tokio::join!(instance.fetch(read_request(WAITING)), path);
    busy.abort();
    answer.0
}

/// Guards against a send that is taken off twice from those that may have run: a peer that is cut off itself has not run
/// the request, and does not count as asked.
#[actix_rt::test]
async fn a_peer_that_is_cut_off_too_counts_as_no_send() {
    let desk = StubUpstream::start(|received| received.response("200 OK", "", "read"));
    let entry = desk.entry("up", "desk", Stage::Whole);
    let link = Link::open(desk.address);
    let instance = TestInstance::start_peer("a", "here", vec![link.entry(entry.clone())]).await;
    let (peer, listener) = TestInstance::start_gossiping("b", "here", vec![entry]).await;
    let at_peer = StubUpstream::start_on(listener, |received| {
        let headers = "relay-handover: \r\nrelay-refused: cut_off\r\nrelay-unrun: 1\r\n";
        received.response("503 Service Unavailable", headers, "")
    });
    meet(&[&instance, &peer]).await;
    link.set(LinkState::Refusing);
    let busy = actix_rt::spawn(async move {
        for id in OTHERS.. {
            peer.fetch(read_request(id)).await;
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    });
    let mut statuses = Vec::new();
    for id in 0..100 {
        statuses.push(instance.fetch(read_request(id)).await.0);
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    busy.abort();
    assert!(at_peer.count() > 0, "no peer was asked");
    assert_eq!(statuses, [503; 100]);
}

/// Guards against a caller that gets an error though a peer is about to serve it: the upstream that fell silent rejects
/// the request in the end.
#[actix_rt::test]
async fn a_peer_that_was_asked_is_waited_for_after_a_rejection() {
    assert_eq!(rejected_while_a_peer_asks("200 OK").await, 200);
}

/// Guards against a request that nobody ran and that is answered as if it may have: the peer's upstream rejects it too.
#[actix_rt::test]
async fn a_request_that_was_rejected_at_a_peer_too_has_not_run() {
    assert_eq!(
        rejected_while_a_peer_asks("503 Service Unavailable").await,
        503
    );
}
