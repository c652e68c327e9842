//! Instances that reach no upstream while their peers do.

mod common;

use std::rc::Rc;
use std::time::Duration;

use common::{
    Action, EVENTS, Link, LinkState, ReceivedRequest, StubUpstream, TestInstance,
    generation_request, in_other_zone, is_prefill, meet, read_request, request, wait_until,
};
use futures_util::future::join_all;
use http::{HeaderValue, Method};
use plan::HealthStatus;
use relay::pool::{Pool, exchange};
use relay::upstream::{Stage, UpstreamEntry, UpstreamState};
use relay::upstreams::ListChange;

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

    fn forget(&self) {
        for (stub, _) in &self.stubs {
            stub.received.borrow_mut().clear();
        }
    }

    fn received(&self) -> Vec<ReceivedRequest> {
        let received = self
            .stubs
            .iter()
            .map(|(stub, _)| stub.received.borrow().clone());
        received.flatten().collect()
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

/// Cuts or heals all paths.
fn set_all(links: &[Link], state: LinkState) {
    for link in links {
        link.set(state);
    }
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

async fn start_pair_without_traffic(
    upstreams: &Upstreams,
) -> (TestInstance, TestInstance, Vec<Link>) {
    let (links, entries) = upstreams.links();
    let cut_off = TestInstance::start_peer("a", "here", entries).await;
    let peer = TestInstance::start_peer("b", "here", upstreams.entries()).await;
    meet(&[&cut_off, &peer]).await;
    (cut_off, peer, links)
}

/// An instance whose paths to all upstreams can be cut, its peer, and the paths.
async fn start_pair(upstreams: &Upstreams) -> (TestInstance, TestInstance, Vec<Link>) {
    let (cut_off, peer, links) = start_pair_without_traffic(upstreams).await;
    served(&cut_off, 1_000).await;
    served(&peer, 2_000).await;
    (cut_off, peer, links)
}

/// An instance whose paths to these stubs can be cut, its peer, and the paths.
async fn start_pair_of(
    stubs: &[StubUpstream],
    service: &str,
    stage: Stage,
) -> (TestInstance, TestInstance, Vec<Link>) {
    let stubs = stubs.iter().enumerate().map(|(number, stub)| {
        let entry = stub.entry(&format!("up-{number}"), service, stage);
        (stub.clone(), entry)
    });
    start_pair_without_traffic(&Upstreams {
        stubs: stubs.collect(),
    })
    .await
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
    set_all(&links, state);
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

/// Guards against an instance that takes its path for healed because connections are established, although each is
/// reset a moment later.
#[actix_rt::test]
async fn callers_are_served_while_connections_are_reset_after_they_open() {
    assert_eq!(serves_through(LinkState::ResettingLate).await, REQUESTS);
}

/// Guards against the same however late connections are reset, after the request was read, or if answers alone are lost.
#[actix_rt::test]
async fn callers_are_served_however_connections_that_open_fail() {
    let states = [3, 30, 300].map(LinkState::ResettingAfter);
    let others = [LinkState::ResettingAfterRequest, LinkState::RequestsOnly];
    for state in states.into_iter().chain(others) {
        assert_eq!(serves_through(state).await, REQUESTS, "{state:?}");
    }
}

/// Guards against callers who are not served because an instance that reaches no upstream may not ask most of them:
/// those are leaving, and too few seem to fail for its path to be suspected.
#[actix_rt::test]
async fn callers_are_served_while_most_upstreams_are_leaving() {
    let stubs: Vec<StubUpstream> = (0..4).map(|_| serving()).collect();
    let (cut_off, peer, links) = start_pair_of(&stubs, "desk", Stage::Whole).await;
    for (number, stub) in stubs.iter().enumerate().skip(1) {
        for instance in [&cut_off, &peer] {
            let leaving = UpstreamEntry {
                state: UpstreamState::Leaving,
                seq: 2,
                ..stub.entry(&format!("up-{number}"), "desk", Stage::Whole)
            };
            let change = ListChange::Put(leaving);
            instance.relay.apply_change(change, relay::Origin::Read);
        }
    }
    let peer = Rc::new(peer);
    let _busy = keep_busy(&peer);
    set_all(&links, LinkState::Refusing);
    press(&cut_off).await;
    let reads = (0..REQUESTS).map(|id| cut_off.fetch(read_request(id)));
    let served = join_all(reads).await;
    assert_eq!(
        served.iter().filter(|(status, _)| *status == 200).count(),
        REQUESTS
    );
}

/// Guards against a stream that broke off at a peer's engine and looks complete to the caller of an instance that is cut
/// off.
#[actix_rt::test]
async fn a_stream_that_broke_off_at_a_peer_never_looks_complete() {
    let breaking = || {
        StubUpstream::start(|received| {
            if !received.request_line.contains("/once/") {
                return received.response("200 OK", "", EVENTS);
            }
            let answer = received.response_text("200 OK", "", "id: 1\ndata: one\n\nid: 2\nda");
            let unframed = answer.replace("content-length", "x-length");
            vec![Action::Write(unframed), Action::Wait(30), Action::Close]
        })
    };
    let (cut_off, peer, links) =
        start_pair_of(&[breaking(), breaking()], "llm", Stage::Decode).await;
    let peer = Rc::new(peer);
    let _busy = keep_busy(&peer);
    set_all(&links, LinkState::Refusing);
    press(&cut_off).await;
    let (status, body) = cut_off
        .fetch(generation_request("/once/x", 90_001, 90))
        .await;
    assert_eq!((status, body), (200, None));
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
    let (cut_off, peer, links) = start_pair_of(&stubs, "desk", Stage::Whole).await;
    let peer = Rc::new(peer);
    let _busy = keep_busy(&peer);
    // The same request is under way at two upstreams when their connections are lost.
    let accused = |id: usize| request(Method::GET, "/reads/accused", &id.to_string());
    let lost = (0..2).map(|id| cut_off.fetch(accused(id)));
    let cut = async {
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        set_all(&links, LinkState::Refusing);
    };
    tokio::join!(join_all(lost), cut);
    actix_rt::time::sleep(SETTLE).await;
    assert_eq!(peer.relay.poison_requests(), Vec::new());
    let (status, _) = peer.fetch(accused(3)).await;
    assert_eq!(status, 200);
}

/// Guards against requests that are refused for an hour because all instances had lost their paths under them: refused
/// connections then say nothing about single upstreams.
#[actix_rt::test]
async fn instances_that_are_all_cut_off_accuse_no_request() {
    let slow = || {
        StubUpstream::start(|received| {
            let answer = received.response_text("200 OK", "", EVENTS);
            vec![Action::Wait(200), Action::Write(answer)]
        })
    };
    let stubs = [slow(), slow(), slow()];
    let entries = stubs.iter().enumerate().map(|(number, stub)| {
        let link = Link::open(stub.address);
        let entry = link.entry(stub.entry(&format!("up-{number}"), "desk", Stage::Whole));
        (link, entry)
    });
    let (links, entries): (Vec<Link>, Vec<UpstreamEntry>) = entries.unzip();
    let instance = TestInstance::start_peer("a", "here", entries).await;
    let accused = |id: usize| request(Method::GET, "/reads/accused", &id.to_string());
    let lost = (0..3).map(|id| instance.fetch(accused(id)));
    let cut = async {
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        set_all(&links, LinkState::Refusing);
    };
    tokio::join!(join_all(lost), cut);
    actix_rt::time::sleep(SETTLE).await;
    set_all(&links, LinkState::Open);
    assert!(wait_until(|| instance.relay.unreached_services().is_empty()).await);
    assert_eq!(instance.relay.poison_requests(), Vec::new());
    let upstreams_idle = || {
        let upstreams = instance.relay.upstreams.borrow();
        upstreams.iter().all(|each| !each.is_health_check_running())
    };
    assert!(wait_until(upstreams_idle).await);
    assert_eq!(instance.fetch(accused(4)).await.0, 200);
}

/// Guards against an upstream that runs a request twice, gets more time than is left, loses its id or sees a key, when
/// the request comes by way of a peer.
#[actix_rt::test]
async fn a_request_handed_over_runs_once_as_its_caller_sent_it() {
    let upstreams = Upstreams::start();
    let (cut_off, peer, links) = start_pair(&upstreams).await;
    let peer = Rc::new(peer);
    let busy = keep_busy(&peer);
    set_all(&links, LinkState::Refusing);
    press(&cut_off).await;
    drop(busy);
    actix_rt::time::sleep(PAUSE * 5).await;
    upstreams.forget();
    let mut claim = request(Method::POST, "/claims/once", "777");
    let headers = claim.headers_mut();
    headers.insert("x-left-ms", "900".parse().expect("a value"));
    headers.insert("x-custom", "kept".parse().expect("a value"));
    assert_eq!(cut_off.fetch(claim).await.0, 200);
    let received = upstreams.received();
    assert_eq!(received.len(), 1, "{received:?}");
    let claim = &received[0];
    assert!(claim.request_line.starts_with("POST /claims/once "));
    let values = ["x-attempt", "x-custom", "relay-handover"].map(|name| claim.header(name));
    assert_eq!(values, [Some("777"), Some("kept"), None]);
    assert_eq!(claim.body, "body");
    let left_ms: u64 = claim
        .header("x-left-ms")
        .expect("a deadline")
        .parse()
        .expect("a number");
    assert!((500..=900).contains(&left_ms), "{left_ms}");
}

/// Guards against hand-overs in vain and against waiting callers while all upstreams are down: peers reach them no
/// more than this instance does.
#[actix_rt::test]
async fn upstreams_that_are_down_cause_no_hand_over() {
    let upstreams = Upstreams::start();
    let (links, entries) = upstreams.links();
    let instance = TestInstance::start_peer("a", "here", entries.clone()).await;
    let peer = TestInstance::start_peer("b", "here", entries).await;
    meet(&[&instance, &peer]).await;
    let peer = Rc::new(peer);
    let _busy = keep_busy(&peer);
    served(&instance, 1_000).await;
    set_all(&links, LinkState::Refusing);
    press(&instance).await;
    assert_eq!(served(&instance, 10_000).await, 0);
    let text = String::from_utf8(instance.relay.metrics_text()).expect("text");
    let handed_over = text
        .lines()
        .filter(|line| line.contains("handed_over_total"));
    assert_eq!(handed_over.filter(|line| !line.starts_with('#')).count(), 0);
    assert!(!instance.relay.is_cut_off("desk") && !peer.relay.is_cut_off("desk"));
}

/// Guards against upstreams that stay ejected, and callers that stay on the longer way, after the path has healed.
#[actix_rt::test]
async fn a_healed_path_is_used_at_once() {
    for state in [LinkState::Refusing, LinkState::Hanging] {
        let upstreams = Upstreams::start();
        let (cut_off, peer, links) = start_pair(&upstreams).await;
        let peer = Rc::new(peer);
        let busy = keep_busy(&peer);
        set_all(&links, state);
        press(&cut_off).await;
        assert!(cut_off.relay.is_cut_off("desk") && cut_off.relay.is_cut_off("llm"));
        set_all(&links, LinkState::Open);
        let is_healed = || cut_off.relay.unreached_services().is_empty();
        assert!(wait_until(is_healed).await);
        drop(busy);
        assert_eq!(served(&cut_off, 20_000).await, REQUESTS);
        let text = String::from_utf8(cut_off.relay.metrics_text()).expect("text");
        let ejected = upstreams.entries().into_iter().filter(|entry| {
            let upstreams = cut_off.relay.upstreams.borrow();
            let upstream = upstreams.get(&entry.id).expect("listed");
            upstream.health_status(cut_off.relay.now_ms()) != HealthStatus::Healthy
        });
        assert_eq!(ejected.count(), 0, "{state:?}");
        assert!(text.contains("cut_off{"), "{text}");
    }
}

/// Guards against streams that break off, or repeat events, when the path is cut under them.
#[actix_rt::test]
async fn a_stream_goes_on_at_a_peer_when_the_path_is_cut() {
    let engine = || {
        StubUpstream::start(|received| {
            let after = received.header("last-event-id");
            let after: u64 = after.map_or(0, |id| id.parse().expect("a number"));
            let event = |id: u64| format!("id: {id}\ndata: {id}\n\n");
            let rest: String = (after + 1..=10).map(event).collect();
            let whole = received.response_text("200 OK", "", &rest);
            let head = whole.strip_suffix(rest.as_str()).expect("a head");
            let mut actions = vec![Action::Write(head.to_owned())];
            for id in after + 1..=10 {
                // A stub that still waits after its answer takes the next request for a closed connection.
                actions.extend([Action::Wait(100), Action::Write(event(id))]);
            }
            actions
        })
    };
    let stubs = [engine(), engine(), engine()];
    let (cut_off, peer, links) = start_pair_of(&stubs, "llm", Stage::Decode).await;
    let peer = Rc::new(peer);
    let _busy = keep_busy(&peer);
    for (id, state) in [LinkState::Hanging, LinkState::Refusing]
        .into_iter()
        .enumerate()
    {
        set_all(&links, LinkState::Open);
        assert!(wait_until(|| cut_off.relay.unreached_services().is_empty()).await);
        let stream = cut_off.fetch(generation_request("/grades/x", 900 + id, 300));
        let cut = async {
            actix_rt::time::sleep(Duration::from_millis(350)).await;
            set_all(&links, state);
        };
        let ((status, body), ()) = tokio::join!(stream, cut);
        let body = body.expect("a complete stream");
        let ids: Vec<&str> = body
            .lines()
            .filter_map(|line| line.strip_prefix("id: "))
            .collect();
        let all: Vec<String> = (1..=10).map(|id| id.to_string()).collect();
        assert_eq!(
            (status, ids),
            (200, all.iter().map(String::as_str).collect())
        );
    }
}

/// Guards against requests in a circle: one that was handed over goes no further, and is refused as not run.
#[actix_rt::test]
async fn a_request_is_handed_over_once() {
    let upstreams = Upstreams::start();
    let (cut_off, peer, links) = start_pair(&upstreams).await;
    let (more_links, entries) = upstreams.links();
    let other = TestInstance::start_peer("c", "here", entries).await;
    meet(&[&cut_off, &peer, &other]).await;
    let peer = Rc::new(peer);
    let _busy = keep_busy(&peer);
    set_all(&links, LinkState::Refusing);
    set_all(&more_links, LinkState::Refusing);
    tokio::join!(press(&cut_off), press(&other));
    assert!(other.relay.is_cut_off("desk"));
    let mut handed_over = read_request(1);
    let header = "0,0,0,0,0,a".parse().expect("a value");
    handed_over.headers_mut().insert("relay-handover", header);
    let pool = Pool::new(
        other.relay.settings.borrow().peer.expect("an address"),
        other.relay.clock,
    );
    let (response, _connection) = exchange(&pool, 1, handed_over).await.expect("an answer");
    let refused = response.headers().get("relay-refused");
    assert_eq!(response.status(), 503);
    assert_eq!(refused.map(HeaderValue::as_bytes), Some(&b"cut_off"[..]));
}

/// Guards against requests to an upstream that is leaving, sent after the path has healed by an instance that passed its
/// announcement on while a peer served for it.
#[actix_rt::test]
async fn a_leaving_announced_to_a_peer_holds_here_too() {
    let leaving =
        || StubUpstream::start(|received| received.response("200 OK", "x-leaving: 1\r\n", "ok"));
    let (first, last) = (leaving(), serving());
    let entry = |stub: &StubUpstream, id: &str| stub.entry(id, "desk", Stage::Whole);
    let entries = [entry(&first, "first"), in_other_zone(entry(&last, "last"))];
    let links = [Link::open(first.address), Link::open(last.address)];
    let linked = links
        .iter()
        .zip(&entries)
        .map(|(link, entry)| link.entry(entry.clone()));
    let cut_off = TestInstance::start_peer("a", "here", linked.collect()).await;
    set_all(&links, LinkState::Refusing);
    let peer = TestInstance::start_peer("b", "here", entries.to_vec()).await;
    meet(&[&cut_off, &peer]).await;
    let is_ready = || {
        let upstreams = cut_off.relay.upstreams.borrow();
        upstreams.get("first").expect("listed").is_ready()
    };
    // The peer does not know of the leaving before the first answer.
    for id in 0..200 {
        cut_off.fetch(read_request(id)).await;
        actix_rt::time::sleep(PAUSE).await;
        if !is_ready() {
            break;
        }
    }
    assert!(!is_ready());
}

/// Guards against callers that are sent to an instance which reaches no upstream, because the list also has an entry of a
/// service that no route leads to, whose path nothing shows.
#[actix_rt::test]
async fn an_entry_of_an_unknown_service_hides_nobody_who_is_cut_off() {
    let mut upstreams = Upstreams::start();
    let stub = serving();
    let entry = stub.entry("other", "unknown", Stage::Whole);
    upstreams.stubs.push((stub, entry));
    let (cut_off, peer, links) = start_pair(&upstreams).await;
    let peer = Rc::new(peer);
    let _busy = keep_busy(&peer);
    set_all(&links, LinkState::Refusing);
    press(&cut_off).await;
    let own = view::InstanceKey::of("a");
    assert!(cut_off.relay.fully_unreached().contains(&own));
}
