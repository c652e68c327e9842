//! Accepted keys, the caller data that upstreams receive, and the removal of keys.

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

/// A prompt long enough for prefill at a separate engine.
const LONG_PROMPT: &str = "7:13000,8:4000";

fn workspace(name: &str, keys: &[&str], priority: Option<u8>) -> Workspace {
    Workspace {
        name: name.to_owned(),
        priority,
        weight: 1,
        keys: keys.iter().map(|key| KeyHash::of(key.as_bytes())).collect(),
    }
}

/// The usual routes and a public one, for these workspaces.
fn config_with_workspaces(version: u64, workspaces: Vec<Workspace>) -> Config {
    let default = config(version);
    let mut routes: Vec<Route> = default.all_routes().cloned().collect();
    let mut public = common::route("/open/", RouteKind::Safe, "desk");
    public.is_public = true;
    routes.push(public);
    let services = default.services().clone();
    Config::new(version, routes, services, Limits::default()).with_access(Access::keyed(workspaces))
}

fn two_workspaces(version: u64) -> Config {
    let one = workspace("one", &["key-one", "second-one"], None);
    let other = workspace("other", &["key-other"], Some(0));
    config_with_workspaces(version, vec![one, other])
}

fn with_headers(
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
    instance.relay.configure(two_workspaces(2));
    instance
}

/// Guards against a caller's key that reaches an upstream, and against a workspace name set by the
/// caller.
#[actix_rt::test]
async fn an_upstream_learns_the_workspace_and_never_the_key() {
    let desk = desk();
    let instance = start_instance(&desk);
    let forged = [
        ("x-key", "key-one"),
        ("x-workspace", "other"),
        ("connection", "x-workspace, x-key"),
    ];
    let req = with_headers(request(Method::POST, "/claims/x", "1"), &forged);
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

/// Guards against accepting callers without exactly one valid key.
#[actix_rt::test]
async fn without_a_valid_key_requests_are_refused_and_not_run() {
    let desk = desk();
    let instance = start_instance(&desk);
    let presented: [&[(&str, &str)]; 6] = [
        &[],
        &[("x-key", "")],
        &[("x-key", "KEY-ONE")],
        &[("x-key", "key-one,key-other")],
        &[("x-key", "key-\u{e9}")],
        // The same key twice is refused like two different keys.
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

/// Guards against a public route that requires a key, or through which a caller sets a workspace
/// name.
#[actix_rt::test]
async fn a_public_route_needs_no_key_and_passes_no_workspace_on() {
    let desk = desk();
    let instance = start_instance(&desk);
    let cases: [(Headers, Option<&str>); 4] = [
        (&[], None),
        (&[("x-workspace", "other")], None),
        (&[("x-key", "nobody's"), ("x-workspace", "one")], None),
        (&[("x-key", "key-other")], Some("other")),
    ];
    for (index, (headers, workspace)) in cases.into_iter().enumerate() {
        let req = with_headers(request(Method::GET, "/open/x", "1"), headers);
        assert_eq!(instance.fetch(req).await.0, 200, "{headers:?}");
        let received = &desk.received.borrow()[index];
        assert_eq!(received.header("x-workspace"), workspace, "{headers:?}");
        assert!(received.header("x-key").is_none());
    }
}

/// Guards against a request path on which the key is forwarded to an upstream: prefill at a
/// separate engine, its decode, a retried read and a resumed stream.
#[actix_rt::test]
async fn no_request_path_passes_the_key_on() {
    let prefill = StubUpstream::start(|received| received.response("200 OK", "", "kv-1"));
    let event = |id: u32| format!("id: {id}\ndata: {id}\n\n");
    let truncate = move |received: &ReceivedRequest| {
        if received.header("last-event-id").is_some() {
            return received.response("200 OK", "", &event(2));
        }
        let whole = received.response_text("200 OK", "", &(event(1) + &event(2)));
        vec![
            Action::Write(whole[..whole.len() - 3].to_owned()),
            Action::Close,
        ]
    };
    let (near, far) = (StubUpstream::start(truncate), StubUpstream::start(truncate));
    let fails = StubUpstream::start(|received| received.response("500 Oops", "", "oops"));
    let works = desk();
    let instance = TestInstance::start(vec![
        prefill.entry("prefill", "llm", Stage::Prefill),
        near.entry("near", "llm", Stage::Decode),
        far.entry("far", "llm", Stage::Decode),
        fails.entry("fails", "desk", Stage::Whole),
        works.entry("works", "desk", Stage::Whole),
    ]);
    instance.relay.configure(two_workspaces(2));
    let key = ("x-key", "second-one");
    let req = with_headers(
        request(Method::POST, "/grades/x", "1"),
        &[key, ("x-prompt", LONG_PROMPT)],
    );
    assert_eq!(instance.fetch(req).await, (200, Some(event(1) + &event(2))));
    for number in 0..6 {
        let req = with_headers(
            request(Method::GET, "/reads/x", &number.to_string()),
            &[key],
        );
        assert_eq!(instance.fetch(req).await.0, 200);
    }
    assert!(fails.count() > 0 && prefill.count() == 1);
    assert_eq!(near.count() + far.count(), 2);
    for upstream in [&prefill, &near, &far, &fails, &works] {
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

/// Guards against refusing a key as invalid before any configuration is known.
#[actix_rt::test]
async fn without_a_configuration_no_key_is_refused_as_invalid() {
    let instance = TestInstance::unconfigured(common::settings());
    let req = with_headers(
        request(Method::POST, "/claims/x", "1"),
        &[("x-key", "key-one")],
    );
    assert_eq!(instance.fetch(req).await.0, 503);
}

/// Guards against accepting a key after it was removed, also the last one of its workspace, and
/// against an older configuration that restores it.
#[actix_rt::test]
async fn a_removed_key_is_refused_and_does_not_come_back() {
    let desk = desk();
    let instance = start_instance(&desk);
    let fetch_status = async |key: &'static str| {
        let req = with_headers(request(Method::GET, "/reads/x", "1"), &[("x-key", key)]);
        instance.fetch(req).await.0
    };
    assert_eq!(fetch_status("key-one").await, 200);
    instance.relay.configure(config_with_workspaces(
        3,
        vec![
            workspace("one", &[], None),
            workspace("new", &["key-new"], None),
        ],
    ));
    assert_eq!(
        (fetch_status("key-one").await, fetch_status("key-new").await),
        (401, 200)
    );
    instance.relay.configure(two_workspaces(2));
    assert_eq!(
        (
            fetch_status("key-one").await,
            fetch_status("key-other").await
        ),
        (401, 401)
    );
    instance
        .relay
        .configure(config_with_workspaces(4, Vec::new()));
    assert_eq!(fetch_status("key-new").await, 401);
}

/// Guards against keys in an instance's snapshot, metrics, configuration output and responses.
#[actix_rt::test]
async fn no_key_appears_in_output() {
    let desk = desk();
    let instance = start_instance(&desk);
    let mut response_heads = String::new();
    for key in ["key-one", "key-unknown"] {
        let req = with_headers(request(Method::POST, "/claims/x", "1"), &[("x-key", key)]);
        let response = instance.send(req).await.unwrap();
        write!(response_heads, "{:?}", response.headers()).unwrap();
    }
    let state = serde_json::to_string(&instance.relay.snapshot()).unwrap();
    let metrics = String::from_utf8(instance.relay.metrics_text()).unwrap();
    let config = format!("{:?}", instance.relay.config());
    for text in [&state, &metrics, &response_heads, &config] {
        assert!(
            !text.contains("key-one") && !text.contains("key-unknown"),
            "{text}"
        );
    }
}

/// Guards against an instance that takes its configuration from a peer without the access list and
/// then accepts every caller.
#[actix_rt::test]
async fn a_configuration_from_a_peer_carries_the_access_list() {
    let desk = desk();
    let instance = start_instance(&desk);
    let snapshot = serde_json::to_value(instance.relay.snapshot()).unwrap();
    let parsed: Snapshot = serde_json::from_value(snapshot.clone()).unwrap();
    let new = TestInstance::unconfigured(common::settings());
    relay::snapshot::merge(&new.relay, &parsed, desk.address);
    let req = request(Method::POST, "/claims/x", "1");
    assert_eq!(new.fetch(req).await.0, 401);
    // A snapshot of a version without access lists is rejected.
    let mut older = snapshot;
    older["config"].as_object_mut().unwrap().remove("access");
    assert!(serde_json::from_value::<Snapshot>(older).is_err());
}

/// Guards against the route's priority replacing that of a workspace.
#[actix_rt::test]
async fn the_priority_of_a_workspace_overrides_that_of_the_route() {
    let engine =
        StubUpstream::start(|received| received.response("200 OK", "", "id: 1\ndata: 1\n\n"));
    let instance = TestInstance::start(vec![engine.entry("one", "llm", Stage::Decode)]);
    instance.relay.configure(two_workspaces(2));
    for key in ["key-one", "key-other"] {
        let headers = [("x-key", key), ("x-prompt", "7:50,8:40")];
        let req = with_headers(request(Method::POST, "/grades/x", "1"), &headers);
        assert_eq!(instance.fetch(req).await.0, 200);
    }
    let received = engine.received.borrow();
    let ranks: Vec<_> = received
        .iter()
        .map(|received| received.header("x-rank"))
        .collect();
    assert_eq!(ranks, [Some("2"), Some("0")]);
}
