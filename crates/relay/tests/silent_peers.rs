//! Requests that an instance cut off from upstreams has peers serve, whose upstreams fall silent and go on.

mod common;

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use common::{
    Action, EVENTS, Link, LinkState, StubUpstream, TestInstance, generation_request, meet,
    wait_until,
};
use http::{HeaderValue, Request};
use http_body_util::Full;
use relay::upstream::Stage;

/// Time for which the engine is silent before the head of its answer, in ms: more than an attempt's share of the time
/// that the caller has.
const SILENCE_MS: u64 = 1_400;

/// Time that the caller has, in ms.
const LEFT_MS: u64 = 2_000;

/// Id of the request whose engine is silent before its answer.
const SILENT_ID: usize = 900_000;

/// Id of the request whose engine is silent after the head of its answer.
const HEAD_ID: usize = 800_000;

/// Pause between two requests of the traffic that goes on all the time.
const PAUSE: Duration = Duration::from_millis(20);

/// An engine that is silent under some requests, before it answers them.
fn engine() -> StubUpstream {
    StubUpstream::start(|received| {
        let id = received.header("x-attempt").and_then(|id| id.parse().ok());
        let answer = received.response_text("200 OK", "", EVENTS);
        let head = answer.strip_suffix(EVENTS).expect("a body").to_owned();
        let silence = Action::Wait(SILENCE_MS);
        match id {
            Some(SILENT_ID) => vec![silence, Action::Write(answer)],
            Some(HEAD_ID) => vec![
                Action::Write(head),
                silence,
                Action::Write(EVENTS.to_owned()),
            ],
            _ => vec![Action::Write(answer)],
        }
    })
}

/// A peer with an engine of its own, to which requests come all the time.
struct Peer {
    instance: Rc<TestInstance>,
    engine: StubUpstream,
    traffic: actix_rt::task::JoinHandle<()>,
}

impl Peer {
    async fn start(name: &str) -> Self {
        let engine = engine();
        let entry = engine.entry("up", "llm", Stage::Decode);
        let instance = Rc::new(TestInstance::start_peer(name, "here", vec![entry]).await);
        let traffic = actix_rt::spawn(keep_busy(Rc::clone(&instance)));
        Self {
            instance,
            engine,
            traffic,
        }
    }

    /// Whether its engine received the request that meets silence.
    fn is_asked(&self) -> bool {
        let received = self.engine.received.borrow();
        let id = SILENT_ID.to_string();
        received
            .iter()
            .any(|each| each.header("x-attempt") == Some(id.as_str()))
    }
}

impl Drop for Peer {
    fn drop(&mut self) {
        self.traffic.abort();
    }
}

async fn keep_busy(instance: Rc<TestInstance>) {
    for id in 1.. {
        instance
            .fetch(generation_request("/grades/x", id, 300))
            .await;
        actix_rt::time::sleep(PAUSE).await;
    }
}

/// An instance with an engine, and its path to that.
async fn start_among(peers: &[Peer]) -> (TestInstance, Link) {
    let engine = engine();
    let link = Link::open(engine.address);
    let entry = link.entry(engine.entry("up", "llm", Stage::Decode));
    let instance = TestInstance::start_peer("a", "here", vec![entry]).await;
    let mut all = vec![&instance];
    all.extend(peers.iter().map(|peer| &*peer.instance));
    meet(&all).await;
    (instance, link)
}

/// Cuts the path of an instance, and waits until it knows.
async fn cut_off(instance: &TestInstance, link: &Link) {
    link.set(LinkState::Refusing);
    for id in 1..200 {
        if instance.relay.is_cut_off("llm") {
            break;
        }
        let request = generation_request("/grades/x", 50_000 + id, 300);
        instance.fetch(request).await;
        actix_rt::time::sleep(PAUSE).await;
    }
    assert!(instance.relay.is_cut_off("llm"));
}

/// An instance that knows to be cut off from its engine while these peers are not.
async fn start_cut_off(peers: &[Peer]) -> TestInstance {
    let (instance, link) = start_among(peers).await;
    cut_off(&instance, &link).await;
    instance
}

/// The request under which an engine is silent.
fn silent_request() -> Request<Full<Bytes>> {
    let mut request = generation_request("/grades/x", SILENT_ID, 300);
    let left_ms = HeaderValue::from(LEFT_MS);
    request.headers_mut().insert("x-left-ms", left_ms);
    request
}

/// Guards against a request that is given up at the only peer that can serve it, because its engine is silent for a
/// while.
#[actix_rt::test]
async fn a_request_waits_at_the_only_peer_whose_engine_is_silent() {
    let peer = Peer::start("b").await;
    let instance = start_cut_off(std::slice::from_ref(&peer)).await;
    let (status, body) = instance.fetch(silent_request()).await;
    assert_eq!((status, body.as_deref()), (200, Some(EVENTS)));
}

/// Guards against a request that is given up at a peer whose engine is silent, for another one that does not take it.
#[actix_rt::test]
async fn a_request_stays_at_a_silent_peer_until_another_one_has_taken_it() {
    let peers = [Peer::start("b").await, Peer::start("c").await];
    let instance = start_cut_off(&peers).await;
    let others_leave = async {
        assert!(wait_until(|| peers.iter().any(Peer::is_asked)).await);
        for peer in peers.iter().filter(|peer| !peer.is_asked()) {
            peer.instance.relay.enter(relay::Phase::Leaving);
        }
    };
    let ((status, body), ()) = tokio::join!(instance.fetch(silent_request()), others_leave);
    assert_eq!((status, body.as_deref()), (200, Some(EVENTS)));
}

/// Guards against a stream that breaks off without an event, because the path is cut between the head and the first
/// event and a peer that goes on names its version.
#[actix_rt::test]
async fn a_stream_without_an_event_goes_on_at_a_peer_when_the_path_is_cut() {
    let peer = Peer::start("b").await;
    let (instance, link) = start_among(std::slice::from_ref(&peer)).await;
    let stream = instance.fetch(generation_request("/grades/x", HEAD_ID, 300));
    let cut = async {
        actix_rt::time::sleep(Duration::from_millis(200)).await;
        cut_off(&instance, &link).await;
    };
    let ((status, body), ()) = tokio::join!(stream, cut);
    assert_eq!((status, body.as_deref()), (200, Some(EVENTS)));
}

/// Guards against more retries than all instances may send because a request that two peers are asked for pays for them
/// at both.
#[actix_rt::test]
async fn a_request_that_two_peers_take_over_counts_as_one_first_send() {
    let peers = [Peer::start("b").await, Peer::start("c").await];
    let instance = start_cut_off(&peers).await;
    for peer in &peers {
        peer.traffic.abort();
    }
    let first_sends = || -> u32 {
        let counts = peers.iter().map(|it| it.instance.relay.retry_counts("llm"));
        counts.map(|(first, _)| first).sum()
    };
    let before = first_sends();
    instance.fetch(silent_request()).await;
    assert!(peers.iter().all(Peer::is_asked), "both were asked");
    assert_eq!(first_sends() - before, 1);
}
