//! Instances that reach no upstream while their peers do.

mod common;

use std::rc::Rc;
use std::time::Duration;

use common::{
    Action, EVENTS, Link, LinkState, StubUpstream, TestInstance, generation_request, is_prefill,
    meet, read_request, request,
};
use futures_util::future::join_all;
use http::Method;
use relay::upstream::{Stage, UpstreamEntry};

/// Time in which an instance finds out that it is cut off, or that it no longer is, while requests come.
const SETTLE: Duration = Duration::from_millis(1_500);

/// Pause between two requests of the traffic that goes on all the time.
const PAUSE: Duration = Duration::from_millis(20);

/// Requests by which a test judges.
const REQUESTS: usize = 20;

/// Two services with upstreams that serve everything.
struct Upstreams {
    stubs: Vec<(StubUpstream, UpstreamEntry)>,
}

impl Upstreams {
    fn start() -> Self {
        let stubs = (0..6).map(|number| {
            let stub = serving();
            let (service, stage) = match number {
                0..3 => ("llm", Stage::Decode),
                _ => ("desk", Stage::Whole),
            };
            let entry = stub.entry(&format!("up-{number}"), service, stage);
            (stub, entry)
        });
        Self {
            stubs: stubs.collect(),
        }
    }

    fn entries(&self) -> Vec<UpstreamEntry> {
        self.stubs.iter().map(|(_, entry)| entry.clone()).collect()
    }

    /// A path to each upstream, and the entries by which it is reached on them.
    fn links(&self) -> (Vec<Link>, Vec<UpstreamEntry>) {
        let link = |(stub, entry): &(StubUpstream, UpstreamEntry)| {
            let link = Link::open(stub.address);
            let entry = link.entry(entry.clone());
            (link, entry)
        };
        self.stubs.iter().map(link).unzip()
    }
}

fn serving() -> StubUpstream {
    StubUpstream::start(|received| {
        let body = if is_prefill(received) { "kv-1" } else { EVENTS };
        received.response("200 OK", "", body)
    })
}

/// Sends requests of each kind to an instance and returns how many were served.
async fn served(instance: &TestInstance, first: usize) -> usize {
    let all = (first..first + REQUESTS).map(|id| async move {
        actix_rt::time::sleep(PAUSE * (id - first) as u32).await;
        let request = match id % 3 {
            0 => read_request(id),
            1 => request(Method::POST, "/claims/x", &id.to_string()),
            _ => generation_request("/grades/x", id, 300),
        };
        let (status, body) = instance.fetch(request).await;
        usize::from(status == 200 && body.is_some())
    });
    join_all(all).await.into_iter().sum()
}

/// Sends requests to an instance for a while, so that it finds out about its path.
async fn press(instance: &TestInstance) {
    let until = std::time::Instant::now() + SETTLE;
    let mut id = 50_000;
    while std::time::Instant::now() < until {
        id += REQUESTS;
        served(instance, id).await;
    }
}

/// An instance whose paths to all upstreams can be cut, its peer, and the paths.
async fn start_pair(upstreams: &Upstreams) -> (TestInstance, TestInstance, Vec<Link>) {
    let (links, entries) = upstreams.links();
    let cut_off = TestInstance::start_peer("a", "here", entries).await;
    let peer = TestInstance::start_peer("b", "here", upstreams.entries()).await;
    meet(&[&cut_off, &peer]).await;
    served(&cut_off, 1_000).await;
    served(&peer, 2_000).await;
    (cut_off, peer, links)
}

/// Keeps requests coming to an instance until the returned guard is dropped.
fn keep_busy(instance: &Rc<TestInstance>) -> Busy {
    let instance = Rc::clone(instance);
    Busy(actix_rt::spawn(async move {
        let mut id = 100_000;
        loop {
            id += 1;
            let kinds = [read_request(id), generation_request("/grades/x", id, 300)];
            for request in kinds {
                instance.fetch(request).await;
            }
            actix_rt::time::sleep(PAUSE).await;
        }
    }))
}

struct Busy(actix_rt::task::JoinHandle<()>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn serves_through(state: LinkState) -> usize {
    let upstreams = Upstreams::start();
    let (cut_off, peer, links) = start_pair(&upstreams).await;
    let peer = Rc::new(peer);
    let _busy = keep_busy(&peer);
    links.iter().for_each(|link| link.set(state));
    press(&cut_off).await;
    served(&cut_off, 10_000).await
}

/// Guards against callers who are refused because the instance that they reach reaches no upstream: connections are
/// reset and refused, or hang, or live on while no new one can be opened.
#[actix_rt::test]
async fn callers_of_an_instance_cut_off_from_upstreams_are_served() {
    assert_eq!(serves_through(LinkState::Refusing).await, REQUESTS);
    assert_eq!(serves_through(LinkState::Hanging).await, REQUESTS);
    assert_eq!(serves_through(LinkState::OpenOnly).await, REQUESTS);
}

/// Guards against requests that all instances refuse as poison because one instance lost its own path under them.
#[actix_rt::test]
async fn an_instance_cut_off_from_upstreams_accuses_no_request() {
    let slow = || {
        StubUpstream::start(|received| {
            let answer = received.response_text("200 OK", "", EVENTS);
            vec![Action::Wait(200), Action::Write(answer)]
        })
    };
    let stubs = [slow(), slow(), slow()];
    let entry = |number: usize| stubs[number].entry(&format!("up-{number}"), "desk", Stage::Whole);
    let links: Vec<Link> = stubs.iter().map(|stub| Link::open(stub.address)).collect();
    let entries = (0..3).map(|number| links[number].entry(entry(number)));
    let cut_off = TestInstance::start_peer("a", "here", entries.collect()).await;
    let peer = TestInstance::start_peer("b", "here", (0..3).map(entry).collect()).await;
    meet(&[&cut_off, &peer]).await;
    let peer = Rc::new(peer);
    let _busy = keep_busy(&peer);
    // The same request is under way at two upstreams when their connections are lost.
    let accused = |id: usize| request(Method::GET, "/reads/accused", &id.to_string());
    let lost = (0..2).map(|id| cut_off.fetch(accused(id)));
    let cut = async {
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        links.iter().for_each(|link| link.set(LinkState::Refusing));
    };
    tokio::join!(join_all(lost), cut);
    actix_rt::time::sleep(SETTLE).await;
    assert_eq!(peer.relay.poison_requests(), Vec::new());
    let (status, _) = peer.fetch(accused(3)).await;
    assert_eq!(status, 200);
}
