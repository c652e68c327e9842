//! Whose key lets in, what upstreams learn of it, and what becomes of keys that go.

mod common;

use std::fmt::Write;

use common::{Action, ReceivedRequest, StubUpstream, TestInstance, config, request};
use http::{HeaderValue, Method, Request};
use keys::KeyHash;
use relay::config::{Access, Config, Limits, Route, RouteKind, Workspace};
use relay::snapshot::Snapshot;
use relay::upstream::Stage;

/// Headers that a caller adds.
type Headers = &'static [(&'static str, &'static str)];

/// A prompt long enough to be read apart.
const LONG: &str = "7:13000,8:4000";

fn workspace(name: &str, keys: &[&str], priority: Option<u8>) -> Workspace {
    Workspace {
        name: name.to_owned(),
        priority,
        keys: keys.iter().map(|key| KeyHash::of(key.as_bytes())).collect(),
    }
}

/// The usual routes and a public one, for two workspaces.
fn keyed(version: u64, workspaces: Vec<Workspace>) -> Config {
    let usual = config(version);
    let mut routes: Vec<Route> = usual.all_routes().cloned().collect();
    let mut public = common::route("/open/", RouteKind::Safe, "desk");
    public.is_public = true;
    routes.push(public);
    let services = usual.services().clone();
    Config::new(version, routes, services, Limits::default()).with_access(Access::keyed(workspaces))
}

fn two(version: u64) -> Config {
    let one = workspace("one", &["key-one", "second-one"], None);
    let other = workspace("other", &["key-other"], Some(0));
    keyed(version, vec![one, other])
}

fn with(
    mut req: Request<http_body_util::Full<bytes::Bytes>>,
    headers: &[(&'static str, &'static str)],
) -> Request<http_body_util::Full<bytes::Bytes>> {
    for (name, value) in headers {
        req.headers_mut()
            .append(*name, HeaderValue::from_static(value));
    }
    req
}

fn desk() -> StubUpstream {
    StubUpstream::start(|received| received.response("200 OK", "", "ok"))
}

fn start_instance(desk: &StubUpstream) -> TestInstance {
    let instance = TestInstance::start(vec![desk.entry("one", "desk", Stage::Whole)]);
    instance.relay.configure(two(2));
    instance
}

/// Guards against a caller's key at an upstream, and a workspace that the caller names itself.
#[actix_rt::test]
async fn an_upstream_learns_the_workspace_and_never_the_key() {
    let desk = desk();
    let instance = start_instance(&desk);
    let forged = [
        ("x-key", "key-one"),
        ("x-workspace", "other"),
        ("connection", "x-workspace, x-key"),
    ];
    let req = with(request(Method::POST, "/claims/x", "1"), &forged);
    assert_eq!(instance.fetch(req).await.0, 200);
    let received = desk.received.borrow();
    assert_eq!(received[0].header("x-workspace"), Some("one"));
    assert!(
        !received[0].headers.contains("key-one"),
        "{}",
        received[0].headers
    );
    assert_eq!(received[0].headers.matches("x-workspace").count(), 1);
}

/// Guards against callers who are let in without a key that somebody has.
#[actix_rt::test]
async fn who_has_no_valid_key_is_refused_and_nothing_runs() {
    let desk = desk();
    let instance = start_instance(&desk);
    let presented: [&[(&str, &str)]; 6] = [
        &[],
        &[("x-key", "")],
        &[("x-key", "KEY-ONE")],
        &[("x-key", "key-one,key-other")],
        &[("x-key", "key-\u{e9}")],
        // The same key twice is refused as well: it is not told apart from two.
        &[("x-key", "key-one"), ("x-key", "key-one")],
    ];
    for headers in presented {
        let mut req = request(Method::POST, "/claims/x", "1");
        for (name, value) in headers {
            let value = HeaderValue::from_bytes(value.as_bytes()).unwrap();
            req.headers_mut().append(*name, value);
        }
        assert_eq!(instance.fetch(req).await.0, 401, "{headers:?}");
    }
    assert_eq!(desk.count(), 0);
}

/// Guards against a public route that asks for a key, or through which a caller names a workspace.
#[actix_rt::test]
async fn a_public_route_needs_no_key_and_passes_no_name_on() {
    let desk = desk();
    let instance = start_instance(&desk);
    let all: [(Headers, Option<&str>); 4] = [
        (&[], None),
        (&[("x-workspace", "other")], None),
        (&[("x-key", "nobody's"), ("x-workspace", "one")], None),
        (&[("x-key", "key-other")], Some("other")),
    ];
    for (at, (headers, named)) in all.into_iter().enumerate() {
        let req = with(request(Method::GET, "/open/x", "1"), headers);
        assert_eq!(instance.fetch(req).await.0, 200, "{headers:?}");
        let received = &desk.received.borrow()[at];
        assert_eq!(received.header("x-workspace"), named, "{headers:?}");
        assert!(received.header("x-key").is_none());
    }
}

/// Guards against a way to an upstream on which the key goes along: a prompt read apart, its output, a read that is sent
/// again, a stream that goes on elsewhere.
#[actix_rt::test]
async fn the_key_ends_here_on_every_way() {
    let reader = StubUpstream::start(|received| received.response("200 OK", "", "kv-1"));
    let event = |id: u32| format!("id: {id}\ndata: {id}\n\n");
    let makes = move |received: &ReceivedRequest| {
        if received.header("last-event-id").is_some() {
            return received.response("200 OK", "", &event(2));
        }
        let whole = received.response_text("200 OK", "", &(event(1) + &event(2)));
        vec![
            Action::Write(whole[..whole.len() - 3].to_owned()),
            Action::Close,
        ]
    };
    let (near, far) = (StubUpstream::start(makes), StubUpstream::start(makes));
    let fails = StubUpstream::start(|received| received.response("500 Oops", "", "oops"));
    let works = desk();
    let instance = TestInstance::start(vec![
        reader.entry("reader", "llm", Stage::Prefill),
        near.entry("near", "llm", Stage::Decode),
        far.entry("far", "llm", Stage::Decode),
        fails.entry("fails", "desk", Stage::Whole),
        works.entry("works", "desk", Stage::Whole),
    ]);
    instance.relay.configure(two(2));
    let key = ("x-key", "second-one");
    let req = with(
        request(Method::POST, "/grades/x", "1"),
        &[key, ("x-prompt", LONG)],
    );
    assert_eq!(instance.fetch(req).await, (200, Some(event(1) + &event(2))));
    for number in 0..6 {
        let req = with(
            request(Method::GET, "/reads/x", &number.to_string()),
            &[key],
        );
        assert_eq!(instance.fetch(req).await.0, 200);
    }
    assert!(fails.count() > 0 && reader.count() == 1);
    assert_eq!(near.count() + far.count(), 2);
    for upstream in [&reader, &near, &far, &fails, &works] {
        for received in upstream.received.borrow().iter() {
            assert_eq!(
                received.header("x-workspace"),
                Some("one"),
                "{}",
                received.request_line
            );
            assert!(
                !received.headers.contains("second-one"),
                "{}",
                received.request_line
            );
        }
    }
}

/// Guards against a refusal that says a key is wrong where nobody can know.
#[actix_rt::test]
async fn without_a_configuration_no_key_is_called_wrong() {
    let instance = TestInstance::unconfigured(common::settings());
    let req = with(
        request(Method::POST, "/claims/x", "1"),
        &[("x-key", "key-one")],
    );
    assert_eq!(instance.fetch(req).await.0, 503);
}

/// Guards against a key that goes on letting in after it was taken away, the last of its workspace included, and against
/// an older list that brings it back.
#[actix_rt::test]
async fn a_key_that_is_taken_away_stops_and_does_not_come_back() {
    let desk = desk();
    let instance = start_instance(&desk);
    let ask = async |key: &'static str| {
        let req = with(request(Method::GET, "/reads/x", "1"), &[("x-key", key)]);
        instance.fetch(req).await.0
    };
    assert_eq!(ask("key-one").await, 200);
    instance.relay.configure(keyed(
        3,
        vec![
            workspace("one", &[], None),
            workspace("new", &["key-new"], None),
        ],
    ));
    assert_eq!((ask("key-one").await, ask("key-new").await), (401, 200));
    instance.relay.configure(two(2));
    assert_eq!((ask("key-one").await, ask("key-other").await), (401, 401));
    instance.relay.configure(keyed(4, Vec::new()));
    assert_eq!(ask("key-new").await, 401);
}

/// Guards against keys in what an instance tells others, shows in its metrics or says to callers.
#[actix_rt::test]
async fn no_key_stands_in_what_an_instance_tells() {
    let desk = desk();
    let instance = start_instance(&desk);
    let mut said = String::new();
    for key in ["key-one", "key-unknown"] {
        let req = with(request(Method::POST, "/claims/x", "1"), &[("x-key", key)]);
        let response = instance.send(req).await.unwrap();
        write!(said, "{:?}", response.headers()).unwrap();
    }
    let state = serde_json::to_string(&instance.relay.snapshot()).unwrap();
    let metrics = String::from_utf8(instance.relay.metrics_text()).unwrap();
    let config = format!("{:?}", instance.relay.config());
    for text in [&state, &metrics, &said, &config] {
        assert!(
            !text.contains("key-one") && !text.contains("key-unknown"),
            "{text}"
        );
    }
}

/// Guards against an instance that takes its configuration from another one and then lets everybody in.
#[actix_rt::test]
async fn who_may_ask_goes_along_with_a_configuration_that_is_told() {
    let desk = desk();
    let instance = start_instance(&desk);
    let told = serde_json::to_value(instance.relay.snapshot()).unwrap();
    let state: Snapshot = serde_json::from_value(told.clone()).unwrap();
    let new = TestInstance::unconfigured(common::settings());
    relay::snapshot::merge(&new.relay, &state, desk.address);
    let req = request(Method::POST, "/claims/x", "1");
    assert_eq!(new.fetch(req).await.0, 401);
    // One of a version that knows of no keys is not believed.
    let mut older = told;
    older["config"].as_object_mut().unwrap().remove("access");
    assert!(serde_json::from_value::<Snapshot>(older).is_err());
}

/// Guards against a workspace whose own priority is passed over for that of the route.
#[actix_rt::test]
async fn the_priority_of_a_workspace_goes_before_the_routes() {
    let engine =
        StubUpstream::start(|received| received.response("200 OK", "", "id: 1\ndata: 1\n\n"));
    let instance = TestInstance::start(vec![engine.entry("one", "llm", Stage::Decode)]);
    instance.relay.configure(two(2));
    for key in ["key-one", "key-other"] {
        let headers = [("x-key", key), ("x-prompt", "7:50,8:40")];
        let req = with(request(Method::POST, "/grades/x", "1"), &headers);
        assert_eq!(instance.fetch(req).await.0, 200);
    }
    let received = engine.received.borrow();
    let ranks: Vec<_> = received
        .iter()
        .map(|received| received.header("x-rank"))
        .collect();
    assert_eq!(ranks, [Some("2"), Some("0")]);
}
