//! Which requests count as usage, and for which workspace.

mod common;

use std::collections::BTreeMap;

use bytes::Bytes;
use common::{Action, StubUpstream, TestInstance, config, peer_member, request, settings};
use duty::UsageWindows;
use http::{HeaderValue, Method, Request};
use http_body_util::Full;
use keys::KeyHash;
use relay::config::{Access, Workspace};
use relay::singleton_tasks::TaskSettings;
use relay::upstream::{Stage, UpstreamEntry};
use relay::{Origin, Settings};
use view::{ListChange, WorkspaceKey};

fn start_instance(entries: Vec<UpstreamEntry>) -> TestInstance {
    let instance = TestInstance::unconfigured(Settings {
        singleton_tasks: TaskSettings {
            usage: Some(UsageWindows {
                length_ms: 3_600_000,
            }),
            scales: false,
        },
        ..settings()
    });
    let workspace = |name: &str| Workspace {
        name: name.to_owned(),
        priority: None,
        weight: 1,
        keys: vec![KeyHash::of(name.as_bytes())],
    };
    let access = Access::keyed(vec![workspace("one"), workspace("other")]);
    instance.relay.configure(config(1).with_access(access));
    let own = instance.relay.heartbeat();
    instance
        .relay
        .members
        .borrow_mut()
        .record_heartbeat(instance.relay.now_ms(), own);
    for entry in entries {
        instance
            .relay
            .apply_change(ListChange::Put(entry), Origin::Read);
    }
    instance
}

fn keyed_request(
    method: Method,
    path: &str,
    workspace: &'static str,
    id: &str,
) -> Request<Full<Bytes>> {
    let mut req = request(method, path, id);
    let key = HeaderValue::from_static(workspace);
    req.headers_mut().insert("x-key", key);
    req
}

/// The usage that this instance gossips to a peer, by workspace.
async fn gossiped_usage(instance: &TestInstance) -> BTreeMap<&'static str, u32> {
    let relay = &instance.relay;
    relay
        .members
        .borrow_mut()
        .record_heartbeat(relay.now_ms(), peer_member());
    relay.heartbeat_stored(relay.heartbeat());
    let mut counts = BTreeMap::new();
    for _ in 0..20 {
        let messages = relay.due_gossip();
        let tallies = messages.iter().flat_map(|(_, message)| &message.tallies);
        for (key, count) in tallies.flat_map(|tally| &tally.counts) {
            let mut names = ["one", "other"].into_iter();
            let name = names.find(|name| WorkspaceKey::of(name) == *key);
            counts.insert(name.unwrap(), *count);
        }
        actix_rt::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    counts
}

/// Guards against a request that counts once for each upstream that it was sent to.
#[actix_rt::test]
async fn a_request_counts_once_for_its_workspace() {
    let fails = StubUpstream::start(|received| received.response("500 Oops", "", "oops"));
    let works = StubUpstream::start(|received| received.response("200 OK", "", "ok"));
    let instance = start_instance(vec![
        fails.entry("fails", "desk", Stage::Whole),
        works.entry("works", "desk", Stage::Whole),
    ]);
    for (number, workspace) in ["one", "one", "other"].into_iter().enumerate() {
        let req = keyed_request(Method::GET, "/reads/x", workspace, &number.to_string());
        assert_eq!(instance.fetch(req).await.0, 200);
    }
    assert!(fails.count() > 0);
    assert_eq!(
        gossiped_usage(&instance).await,
        [("one", 2), ("other", 1)].into()
    );
}

/// Guards against usage of requests that never ran: refused for their key or rejected by the
/// upstream.
#[actix_rt::test]
async fn requests_that_did_not_run_are_not_counted() {
    let full =
        StubUpstream::start(|received| received.response("503 Full", "x-not-run: 1\r\n", ""));
    let instance = start_instance(vec![full.entry("full", "desk", Stage::Whole)]);
    for (workspace, status) in [("one", 503), ("nobody", 401)] {
        let req = keyed_request(Method::POST, "/claims/x", workspace, "1");
        assert_eq!(instance.fetch(req).await.0, status);
    }
    assert_eq!(gossiped_usage(&instance).await, BTreeMap::new());
}

/// Guards against a claim that ran and isn't billed because its answer was lost.
#[actix_rt::test]
async fn a_claim_whose_answer_was_lost_counts() {
    let desk = StubUpstream::start(|_| vec![Action::Close]);
    let instance = start_instance(vec![desk.entry("one", "desk", Stage::Whole)]);
    let req = keyed_request(Method::POST, "/claims/x", "other", "1");
    assert_eq!(instance.fetch(req).await.0, 502);
    assert_eq!(gossiped_usage(&instance).await, [("other", 1)].into());
}
