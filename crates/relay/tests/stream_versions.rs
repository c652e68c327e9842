//! Streams that go on while engines of several software versions serve: what one version began, no other may continue.

mod common;

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use common::{
    Action, Link, LinkState, ReceivedRequest, StubUpstream, TestInstance, TestStore,
    generation_request, in_other_zone, meet,
};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::{HeaderValue, Request};
use http_body_util::{BodyExt, Full};
use relay::relay::ChangesRead;
use relay::upstream::{Stage, UpstreamEntry, UpstreamState};
use relay::upstreams::ListChange;
use tick::since_boot_ms;
use view::{InstanceKey, StreamKey};

/// Streams by which a test judges.
const STREAMS: usize = 12;

/// Number of events of a whole stream.
const EVENTS: u64 = 4;

fn events(version: &str, after: u64, to: u64) -> String {
    let ids = after + 1..=to;
    ids.fold(String::new(), |text, id| {
        text + &format!("id: {id}\ndata: {version}\n\n")
    })
}

fn last_event(received: &ReceivedRequest) -> u64 {
    let id = received.header("last-event-id");
    id.map_or(0, |id| id.parse().expect("a number"))
}

/// An engine of a version that serves the rest of a stream, and breaks new ones after their first event.
fn breaking_engine(version: &'static str) -> StubUpstream {
    StubUpstream::start(move |received| {
        let after = last_event(received);
        let whole = received.response_text("200 OK", "", &events(version, after, EVENTS));
        if after > 0 {
            return vec![Action::Write(whole)];
        }
        let second = whole.find("id: 2").expect("a second event");
        vec![
            Action::Write(whole[..second + 3].to_owned()),
            Action::Wait(20),
            Action::Close,
        ]
    })
}

/// An engine of a version whose new streams stop after their first event without an end.
fn hanging_engine(version: &'static str) -> StubUpstream {
    StubUpstream::start(move |received| {
        let after = last_event(received);
        let whole = received.response_text("200 OK", "", &events(version, after, EVENTS));
        if after > 0 {
            return vec![Action::Write(whole)];
        }
        let second = whole.find("id: 2").expect("a second event");
        vec![
            Action::Write(whole[..second].to_owned()),
            Action::Wait(5_000),
        ]
    })
}

fn entry(stub: &StubUpstream, id: &str, version: &str) -> UpstreamEntry {
    UpstreamEntry {
        version: version.to_owned(),
        ..stub.entry(id, "llm", Stage::Decode)
    }
}

/// Two engines of each of these versions, in turn, with their entries.
fn engines(
    start: impl Fn(&'static str) -> StubUpstream,
    versions: &[&'static str],
) -> Vec<UpstreamEntry> {
    let pairs = [0, 1].into_iter().flat_map(|number| {
        let start = &start;
        versions
            .iter()
            .map(move |&version| entry(&start(version), &format!("{version}-{number}"), version))
    });
    pairs.collect()
}

/// The versions whose events a body has, in the order of their first events.
fn versions_in(body: &str) -> Vec<String> {
    let mut versions: Vec<String> = Vec::new();
    for line in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if !versions.iter().any(|known| known == line) {
            versions.push(line.to_owned());
        }
    }
    versions
}

/// A request that takes a stream up after its first event.
fn take_up(id: usize, began_as: usize) -> Request<Full<Bytes>> {
    let mut request = generation_request("/grades/x", id, 90);
    let headers = request.headers_mut();
    headers.insert("last-event-id", HeaderValue::from_static("1"));
    let began_as = HeaderValue::from_str(&began_as.to_string()).expect("a valid value");
    headers.insert("x-resumes", began_as);
    request
}

/// Begins streams at an instance and reads the first event of each; gives the attempts with their versions.
async fn begin_streams(instance: &TestInstance, first_id: usize) -> Vec<(usize, String)> {
    let begun = (first_id..first_id + STREAMS).map(|id| async move {
        let request = generation_request("/grades/x", id, 90);
        let response = instance.send(request).await.expect("an answer's head");
        let mut body = response.into_body();
        let frame = body.frame().await.expect("an event").expect("no error");
        let text = String::from_utf8_lossy(frame.data_ref().expect("data")).into_owned();
        // The caller keeps its connection until the instance is gone.
        std::mem::forget(body);
        (id, versions_in(&text).remove(0))
    });
    let mut begun: FuturesUnordered<_> = begun.collect();
    let mut all = Vec::new();
    while let Some(each) = begun.next().await {
        all.push(each);
    }
    all
}

/// How streams that are taken up went on.
#[derive(Debug, Default, PartialEq, Eq)]
struct TakenUp {
    same: usize,
    other: usize,
    refused: usize,
}

/// Takes up all streams at an instance.
async fn take_up_all(instance: &TestInstance, begun: &[(usize, String)]) -> TakenUp {
    let mut taken_up = TakenUp::default();
    for (id, version) in begun {
        let (status, body) = instance.fetch(take_up(id + 10_000, *id)).await;
        match status {
            200 if versions_in(&body.unwrap_or_default()) == [version.clone()] => {
                taken_up.same += 1;
            }
            200 => taken_up.other += 1,
            503 => taken_up.refused += 1,
            _ => panic!("status {status}"),
        }
    }
    taken_up
}

/// All streams go on at the version that began them.
const ALL_SAME: TakenUp = TakenUp {
    same: STREAMS,
    other: 0,
    refused: 0,
};

/// Guards against an answer that goes on at another version after its engine broke off.
#[actix_rt::test]
async fn a_broken_stream_goes_on_at_the_version_that_began_it() {
    let instance = TestInstance::start(engines(breaking_engine, &["v1", "v2", "v3"]));
    for id in 0..STREAMS {
        let (status, body) = instance
            .fetch(generation_request("/grades/x", id, 90))
            .await;
        let body = body.expect("a whole stream");
        assert_eq!((status, versions_in(&body).len()), (200, 1), "{body}");
    }
}

/// Guards against a stream that is ended although an engine of its version is left: the one that broke it off.
#[actix_rt::test]
async fn the_last_engine_of_a_version_may_go_on_with_what_it_broke_off() {
    let (one, two) = (breaking_engine("v1"), breaking_engine("v2"));
    let entries = vec![
        entry(&one, "one", "v1"),
        in_other_zone(entry(&two, "two", "v2")),
    ];
    let instance = TestInstance::start(entries);
    let (_, body) = instance.fetch(generation_request("/grades/x", 1, 90)).await;
    let body = body.expect("a whole stream");
    assert_eq!(versions_in(&body).len(), 1, "{body}");
}

/// Guards against an engine that came back at its address and id with another version, which the list does not tell yet.
#[actix_rt::test]
async fn a_stream_does_not_go_on_at_an_engine_that_came_back_since() {
    let (first, back, other) = (
        breaking_engine("v1"),
        breaking_engine("v2"),
        breaking_engine("v2"),
    );
    // The stub reports a start at 1 ms.
    let stale = UpstreamEntry {
        started_ms: 7,
        ..in_other_zone(entry(&back, "back", "v1"))
    };
    let entries = vec![
        entry(&first, "first", "v1"),
        stale,
        in_other_zone(entry(&other, "other", "v2")),
    ];
    let instance = TestInstance::start(entries);
    let (status, body) = instance.fetch(generation_request("/grades/x", 1, 90)).await;
    let body = body.expect("a whole stream");
    assert_eq!((status, versions_in(&body)), (200, vec!["v1".to_owned()]));
    assert_eq!(back.count(), 0);
}

/// An entry as the list had it some seconds ago, before the engine's present lifetime; the stub reports a start at 1 ms.
fn outdated(entry: UpstreamEntry) -> UpstreamEntry {
    UpstreamEntry {
        started_ms: 7,
        ..entry
    }
}

/// An entry of the engine's present lifetime.
fn current(entry: UpstreamEntry) -> UpstreamEntry {
    UpstreamEntry {
        started_ms: 1,
        ..entry
    }
}

/// An instance whose list of upstreams is five seconds old.
fn start_with_late_list(entries: Vec<UpstreamEntry>) -> TestInstance {
    start_with_list_of_age(entries, 5_000)
}

fn start_with_list_of_age(entries: Vec<UpstreamEntry>, age_ms: u64) -> TestInstance {
    let instance = TestInstance::start(entries.clone());
    let as_of_ms = since_boot_ms().saturating_sub(age_ms);
    instance.relay.take_whole_list(as_of_ms, 9, entries);
    instance
}

/// Guards against a stream that goes on at another version: the engine that began it had come back with the next one, which
/// the list, late, does not tell.
#[actix_rt::test]
async fn a_stream_begun_by_an_engine_that_had_come_back_goes_on_at_no_other_version() {
    let (back, other) = (breaking_engine("v2"), breaking_engine("v1"));
    let instance = start_with_late_list(vec![
        outdated(entry(&back, "back", "v1")),
        in_other_zone(current(entry(&other, "other", "v1"))),
    ]);
    let (status, body) = instance.fetch(generation_request("/grades/x", 1, 90)).await;
    assert_eq!((status, body), (200, None), "broken off");
    assert_eq!((back.count(), other.count()), (1, 0));
}

/// Guards against the same where the list is young, and the engine came back since it was read.
#[actix_rt::test]
async fn a_stream_begun_by_an_engine_that_came_back_just_now_goes_on_at_no_other_version() {
    for age_ms in [0, 300, 900] {
        let (back, other) = (breaking_engine("v2"), breaking_engine("v1"));
        let entries = vec![
            outdated(entry(&back, "back", "v1")),
            in_other_zone(current(entry(&other, "other", "v1"))),
        ];
        let instance = start_with_list_of_age(entries, age_ms);
        let (status, body) = instance.fetch(generation_request("/grades/x", 1, 90)).await;
        assert_eq!((status, body), (200, None), "broken off, {age_ms} ms");
        assert_eq!((back.count(), other.count()), (1, 0), "{age_ms} ms");
    }
}

/// Guards against a doubt about the version of a stream that ends because the list is read again, not because the engine
/// answered: an engine that came back has not registered yet.
#[actix_rt::test]
async fn a_doubt_about_what_began_a_stream_does_not_end_with_a_young_list() {
    let back = StubUpstream::start(|received| {
        let whole = received.response_text("200 OK", "", &events("v2", 0, EVENTS));
        let (second, third) = (whole.find("id: 2"), whole.find("id: 3"));
        let (second, third) = (second.expect("an event"), third.expect("an event"));
        vec![
            Action::Write(whole[..second].to_owned()),
            Action::Wait(400),
            Action::Write(whole[second..third].to_owned()),
            Action::Wait(20),
            Action::Close,
        ]
    });
    let other = breaking_engine("v1");
    let entries = vec![
        outdated(entry(&back, "back", "v1")),
        in_other_zone(current(entry(&other, "other", "v1"))),
    ];
    let instance = start_with_late_list(entries.clone());
    let stream = instance.fetch(generation_request("/grades/x", 1, 90));
    let read_again = async {
        actix_rt::time::sleep(Duration::from_millis(200)).await;
        let relay = &instance.relay;
        relay.take_whole_list(since_boot_ms(), 10, entries);
    };
    let ((status, body), ()) = futures_util::future::join(stream, read_again).await;
    assert_eq!((status, body), (200, None), "broken off");
    assert_eq!(other.count(), 0);
}

/// Guards against the same where its caller takes it up.
#[actix_rt::test]
async fn a_stream_begun_by_an_engine_that_had_come_back_is_taken_up_at_no_other_version() {
    let (back, other) = (hanging_engine("v2"), hanging_engine("v1"));
    let instance = start_with_late_list(vec![
        outdated(entry(&back, "back", "v1")),
        in_other_zone(current(entry(&other, "other", "v1"))),
    ]);
    let response = instance
        .send(generation_request("/grades/x", 1, 90))
        .await
        .expect("an answer's head");
    let mut body = response.into_body();
    body.frame().await.expect("an event").expect("no error");
    drop(body);
    let (status, why) = instance.fetch(take_up(2, 1)).await;
    assert_eq!((status, other.count()), (503, 0));
    let truth = "it is not known which version began the stream";
    assert_eq!(why.as_deref(), Some(truth), "no upstream is at fault");
}

/// Guards against the same where it is taken up at another instance, and only those reply that were not told of the doubt.
#[actix_rt::test]
async fn a_stream_begun_while_the_list_is_late_is_taken_up_elsewhere_at_no_other_version() {
    let (back, other) = (hanging_engine("v2"), hanging_engine("v1"));
    let entries = vec![
        outdated(entry(&back, "back", "v1")),
        in_other_zone(current(entry(&other, "other", "v1"))),
    ];
    let mut instances = Vec::new();
    for name in ["a", "b", "c", "d", "e", "f", "g", "h"] {
        let instance = TestInstance::start_peer(name, "here", entries.clone()).await;
        let as_of_ms = since_boot_ms().saturating_sub(2_000);
        instance.relay.take_whole_list(as_of_ms, 9, entries.clone());
        instances.push(instance);
    }
    meet(&instances.iter().collect::<Vec<_>>()).await;
    let response = instances[0].send(generation_request("/grades/x", 1, 90));
    let mut body = response.await.expect("an answer's head").into_body();
    body.frame().await.expect("an event").expect("no error");
    drop(body);
    assert_eq!(back.count(), 1, "begun at the engine that came back");
    actix_rt::time::sleep(Duration::from_millis(50)).await;
    let (told, others): (Vec<&TestInstance>, Vec<&TestInstance>) = instances
        .iter()
        .partition(|it| !it.relay.stream_origins.is_empty());
    assert_eq!(told.len(), 3, "the one that began it and two that it told");
    for instance in told {
        instance.kill();
    }
    for instance in others {
        let (status, _) = instance.fetch(take_up(2, 1)).await;
        assert_eq!((status, other.count()), (503, 0));
    }
}

/// Guards against streams that are broken off or refused for no reason while the list is late: their engines are asked.
#[actix_rt::test]
async fn streams_go_on_while_the_list_is_late() {
    let entries = engines(breaking_engine, &["v1"]);
    let instance = start_with_late_list(entries.into_iter().map(current).collect());
    for id in 0..STREAMS {
        let (status, body) = instance
            .fetch(generation_request("/grades/x", id, 90))
            .await;
        assert!(status == 200 && body.is_some(), "{id}");
    }
}

/// Guards against a stream that goes on at an engine that came back with another version while the list knows of one.
#[actix_rt::test]
async fn a_stream_of_the_only_listed_version_does_not_go_on_at_an_engine_that_came_back() {
    let (first, back, other) = (
        breaking_engine("v1"),
        breaking_engine("v2"),
        breaking_engine("v1"),
    );
    let instance = TestInstance::start(vec![
        current(entry(&first, "first", "v1")),
        in_other_zone(outdated(entry(&back, "back", "v1"))),
        in_other_zone(current(entry(&other, "other", "v1"))),
    ]);
    for id in 0..STREAMS {
        let (status, body) = instance
            .fetch(generation_request("/grades/x", id, 90))
            .await;
        let body = body.expect("a whole stream");
        assert_eq!((status, versions_in(&body)), (200, vec!["v1".to_owned()]));
    }
    assert_eq!(back.count(), 0);
}

/// Guards against a stream that its caller takes up at another instance, which did not begin it, and that goes on at
/// another version.
#[actix_rt::test]
async fn a_stream_taken_up_elsewhere_goes_on_at_the_version_that_began_it() {
    let entries = engines(hanging_engine, &["v1", "v2"]);
    let one = TestInstance::start_peer("a", "here", entries.clone()).await;
    let two = TestInstance::start_peer("b", "here", entries.clone()).await;
    let three = TestInstance::start_peer("c", "here", entries).await;
    meet(&[&one, &two, &three]).await;
    let begun = begin_streams(&one, 100).await;
    assert_eq!(take_up_all(&two, &begun).await, ALL_SAME);
    assert_eq!(take_up_all(&one, &begun).await, ALL_SAME);
}

/// Guards against the same after the instance that began the streams was killed, which is when callers come.
#[actix_rt::test]
async fn a_stream_of_a_killed_instance_goes_on_at_the_version_that_began_it() {
    let entries = engines(hanging_engine, &["v1", "v2"]);
    let one = TestInstance::start_peer("a", "here", entries.clone()).await;
    let two = TestInstance::start_peer("b", "here", entries.clone()).await;
    let three = TestInstance::start_peer("c", "here", entries).await;
    meet(&[&one, &two, &three]).await;
    let begun = begin_streams(&one, 100).await;
    one.kill();
    assert_eq!(take_up_all(&three, &begun).await, ALL_SAME);
}

/// Guards against the same at an instance that is cut off from upstreams: a peer goes on with it there.
#[actix_rt::test]
async fn a_stream_taken_up_at_a_cut_off_instance_goes_on_at_the_version_that_began_it() {
    let entries = engines(hanging_engine, &["v1", "v2"]);
    let links: Vec<Link> = entries.iter().map(|it| Link::open(it.address)).collect();
    let linked = links.iter().zip(&entries);
    let linked = linked
        .map(|(link, entry)| link.entry(entry.clone()))
        .collect();
    let cut_off = TestInstance::start_peer("a", "here", linked).await;
    let two = TestInstance::start_peer("b", "here", entries.clone()).await;
    let three = TestInstance::start_peer("c", "here", entries).await;
    meet(&[&cut_off, &two, &three]).await;
    let begun = begin_streams(&two, 100).await;
    for link in &links {
        link.set(LinkState::Refusing);
    }
    for id in 0..60 {
        // Requests by which it finds out; whole streams after their first event.
        cut_off.fetch(take_up(50_000 + id, 100)).await;
        actix_rt::time::sleep(Duration::from_millis(25)).await;
    }
    assert_eq!(take_up_all(&cut_off, &begun).await, ALL_SAME);
}

/// Guards against streams that are all turned away after every instance was killed while two versions serve: their records
/// were in memory alone.
#[actix_rt::test]
async fn streams_go_on_after_all_instances_were_killed() {
    let entries = engines(hanging_engine, &["v1", "v2"]);
    let store = Rc::default();
    let one = TestInstance::start_with_store("a", entries.clone(), &store).await;
    let two = TestInstance::start_with_store("b", entries.clone(), &store).await;
    meet(&[&one, &two]).await;
    let begun = begin_streams(&one, 100).await;
    actix_rt::time::sleep(Duration::from_millis(50)).await;
    one.kill();
    two.kill();
    let again = TestInstance::start_with_store("a", entries.clone(), &store).await;
    let other = TestInstance::start_with_store("b", entries, &store).await;
    meet(&[&again, &other]).await;
    assert_eq!(take_up_all(&other, &begun).await, ALL_SAME);
}

/// Guards against streams that are turned away after a kill of all: the instance that was to append their records had been
/// killed before, and was not missed yet as they began.
#[actix_rt::test]
async fn streams_told_to_a_recorder_that_was_dead_go_on_after_all_instances_were_killed() {
    let entries = engines(hanging_engine, &["v1", "v2"]);
    let store = Rc::default();
    let mut instances = Vec::new();
    for name in ["a", "b", "c", "d"] {
        instances.push(TestInstance::start_with_store(name, entries.clone(), &store).await);
    }
    meet(&instances.iter().collect::<Vec<_>>()).await;
    let place = |instance: &&TestInstance| {
        let name = instance.relay.settings.borrow().name.clone();
        StreamKey(0).place(InstanceKey::of(&name))
    };
    let recorder = instances.iter().min_by_key(place).expect("a recorder");
    recorder.kill();
    let place_of_recorder = place(&recorder);
    let mut left = instances.iter().filter(|it| place(it) != place_of_recorder);
    let begun = begin_streams(left.next().expect("another instance"), 100).await;
    // As long as it takes to miss an instance, twice.
    actix_rt::time::sleep(Duration::from_secs(2)).await;
    for instance in &instances {
        instance.kill();
    }
    let again = TestInstance::start_with_store("a", entries.clone(), &store).await;
    let other = TestInstance::start_with_store("b", entries, &store).await;
    meet(&[&again, &other]).await;
    assert_eq!(take_up_all(&other, &begun).await, ALL_SAME);
}

/// Two instances begin streams at the first version; all are killed and come back to a list of the second one alone.
async fn take_up_after_a_swap(store: &Rc<TestStore>) -> TakenUp {
    let entries = engines(hanging_engine, &["v1"]);
    let one = TestInstance::start_with_store("a", entries.clone(), store).await;
    let two = TestInstance::start_with_store("b", entries, store).await;
    meet(&[&one, &two]).await;
    let begun = begin_streams(&one, 100).await;
    one.kill();
    two.kill();
    let successors = engines(hanging_engine, &["v2"]);
    let again = TestInstance::start_with_store("a", successors.clone(), store).await;
    let other = TestInstance::start_with_store("b", successors, store).await;
    meet(&[&again, &other]).await;
    take_up_all(&other, &begun).await
}

/// Guards against streams that go on at the only version in the first list of instances that have just started, although
/// another one began them and has left.
#[actix_rt::test]
async fn a_stream_of_a_version_that_left_before_all_were_killed_goes_on_at_no_other() {
    let taken_up = take_up_after_a_swap(&Rc::default()).await;
    assert_eq!((taken_up.same, taken_up.other), (0, 0));
}

/// Guards against streams that are refused after a kill of all although one version alone served.
#[actix_rt::test]
async fn streams_of_the_only_version_go_on_after_all_instances_were_killed() {
    let entries = engines(hanging_engine, &["v1"]);
    let store = Rc::default();
    let one = TestInstance::start_with_store("a", entries.clone(), &store).await;
    let begun = begin_streams(&one, 100).await;
    one.kill();
    let again = TestInstance::start_with_store("a", entries, &store).await;
    assert_eq!(take_up_all(&again, &begun).await, ALL_SAME);
}

/// Guards against an instance that has just started and outvotes one that has watched: most were killed.
#[actix_rt::test]
async fn an_instance_that_has_just_started_does_not_outvote_one_that_has_watched() {
    let watching = TestInstance::start_peer("a", "here", engines(hanging_engine, &["v1"])).await;
    let begun = begin_streams(&watching, 100).await;
    let successors = engines(hanging_engine, &["v2"]);
    for new in &successors {
        let change = ListChange::Put(new.clone());
        watching.relay.apply_change(change, relay::Origin::Read);
    }
    let started = TestInstance::start_peer_without_versions("b", "here", successors).await;
    meet(&[&watching, &started]).await;
    // Of these streams nobody has a record.
    let unknown: Vec<(usize, String)> = begun
        .into_iter()
        .map(|(id, version)| (id + 5_000, version))
        .collect();
    let taken_up = take_up_all(&started, &unknown).await;
    assert_eq!((taken_up.same, taken_up.other), (0, 0));
}

/// Guards against an upstream that begins streams at a version which the store does not name: after a kill of all nobody
/// would know of it.
#[actix_rt::test]
async fn an_upstream_waits_until_the_store_names_its_version() {
    let instance = TestInstance::start(engines(hanging_engine, &["v1"]));
    let new = engines(hanging_engine, &["v2"]).remove(0);
    let read = |offset: u64| ChangesRead {
        changes: vec![(offset, ListChange::Put(new.clone()))],
        next: offset + 1,
        end: offset + 1,
    };
    let relay = &instance.relay;
    relay.take_changes(since_boot_ms(), read(0));
    assert!(relay.upstreams.borrow().get(&new.id).is_none());
    for (version, _) in relay.unstored_versions(std::iter::once(&new)) {
        relay.version_stored(version);
    }
    relay.take_changes(since_boot_ms(), read(1));
    assert!(relay.upstreams.borrow().get(&new.id).is_some());
}

/// Guards against a stream that goes on at another version since none of its own is left.
#[actix_rt::test]
async fn a_stream_whose_version_is_gone_is_refused_as_not_run() {
    let entries = engines(hanging_engine, &["v1"]);
    let one = TestInstance::start_peer("a", "here", entries.clone()).await;
    let two = TestInstance::start_peer("b", "here", entries.clone()).await;
    meet(&[&one, &two]).await;
    let begun = begin_streams(&one, 100).await;
    let successors = engines(hanging_engine, &["v2"]);
    for (old, new) in entries.into_iter().zip(successors) {
        let leaving = UpstreamEntry {
            state: UpstreamState::Leaving,
            seq: 2,
            ..old
        };
        for instance in [&one, &two] {
            for change in [
                ListChange::Put(new.clone()),
                ListChange::Put(leaving.clone()),
            ] {
                instance.relay.apply_change(change, relay::Origin::Read);
            }
        }
    }
    let taken_up = take_up_all(&two, &begun).await;
    assert_eq!((taken_up.same, taken_up.other), (0, 0));
}

/// Guards against streams that are turned away although they could go on: they began just before a second version came.
#[actix_rt::test]
async fn a_stream_from_before_a_second_version_came_goes_on_at_the_first() {
    let entries = engines(hanging_engine, &["v1"]);
    let one = TestInstance::start_peer("a", "here", entries.clone()).await;
    let two = TestInstance::start_peer("b", "here", entries.clone()).await;
    let three = TestInstance::start_peer("c", "here", entries).await;
    meet(&[&one, &two, &three]).await;
    let begun = begin_streams(&one, 100).await;
    for new in engines(hanging_engine, &["v2"]) {
        for instance in [&one, &two, &three] {
            let change = ListChange::Put(new.clone());
            instance.relay.apply_change(change, relay::Origin::Read);
        }
    }
    one.kill();
    assert_eq!(take_up_all(&two, &begun).await, ALL_SAME);
}

/// Guards against a cost of each stream that grows with the number of instances.
#[actix_rt::test]
async fn each_stream_is_told_to_two_instances_however_many_there_are() {
    let entries = engines(hanging_engine, &["v1", "v2"]);
    let mut instances = Vec::new();
    for name in ["a", "b", "c", "d", "e", "f", "g", "h"] {
        instances.push(TestInstance::start_peer(name, "here", entries.clone()).await);
    }
    meet(&instances.iter().collect::<Vec<_>>()).await;
    begin_streams(&instances[0], 100).await;
    actix_rt::time::sleep(Duration::from_millis(50)).await;
    let kept = |instance: &TestInstance| instance.relay.stream_origins.len();
    assert_eq!(kept(&instances[0]), STREAMS);
    assert_eq!(instances[1..].iter().map(kept).sum::<usize>(), 2 * STREAMS);
}

/// Guards against records and queries where one version alone serves and served.
#[actix_rt::test]
async fn nothing_is_told_where_one_version_serves() {
    let entries = engines(hanging_engine, &["v1"]);
    let one = TestInstance::start_peer("a", "here", entries.clone()).await;
    let two = TestInstance::start_peer("b", "here", entries).await;
    meet(&[&one, &two]).await;
    begin_streams(&one, 100).await;
    actix_rt::time::sleep(Duration::from_millis(50)).await;
    assert!(one.relay.stream_origins.is_empty() && two.relay.stream_origins.is_empty());
}

/// Guards against streams that are turned away where one version alone serves and served.
#[actix_rt::test]
async fn streams_of_the_only_version_go_on_anywhere() {
    let entries = engines(hanging_engine, &["v1"]);
    let one = TestInstance::start(entries.clone());
    let two = TestInstance::start(entries);
    let begun = begin_streams(&one, 100).await;
    assert_eq!(take_up_all(&two, &begun).await, ALL_SAME);
}

/// Guards against callers that do not name the attempt that began their stream: they are served while one version serves.
#[actix_rt::test]
async fn a_stream_whose_beginning_is_not_named_goes_on_while_one_version_serves() {
    for (versions, expected) in [(&["v1"][..], 200), (&["v1", "v2"][..], 503)] {
        let instance = TestInstance::start(engines(hanging_engine, versions));
        let mut request = take_up(1, 2);
        request.headers_mut().remove("x-resumes");
        let (status, _) = instance.fetch(request).await;
        assert_eq!(status, expected, "{versions:?}");
    }
}

/// The time to come back that an instance names as it refuses a stream of which nobody has a record.
async fn retry_after_of_unknown(instance: &TestInstance) -> Option<HeaderValue> {
    let response = instance.send(take_up(1, 2)).await.expect("an answer");
    assert_eq!(response.status(), 503);
    response.headers().get("retry-after").cloned()
}

/// Guards against callers that are told to come back although all that could know their stream's origin have replied.
#[actix_rt::test]
async fn no_time_to_come_back_is_named_once_all_have_replied() {
    let entries = engines(hanging_engine, &["v1", "v2"]);
    let one = TestInstance::start_peer("a", "here", entries.clone()).await;
    let two = TestInstance::start_peer("b", "here", entries).await;
    meet(&[&one, &two]).await;
    assert_eq!(retry_after_of_unknown(&two).await, None);
    one.kill();
    assert!(retry_after_of_unknown(&two).await.is_some());
}
