//! What counts as a request that ran, and for whom.

mod common;

use std::collections::BTreeMap;

use bytes::Bytes;
use common::{Act, Bed, StandIn, config, listener, request, settings};
use duty::UsageWindows;
use http::{HeaderValue, Method, Request};
use http_body_util::Full;
use keys::KeyHash;
use relay::config::{Access, Workspace};
use relay::singleton_tasks::TaskSettings;
use relay::upstream::{Stage, UpstreamEntry};
use relay::{Origin, Settings};
use view::{ListChange, WorkspaceKey};

fn bed(entries: Vec<UpstreamEntry>) -> Bed {
    let bed = Bed::knowing_nothing(Settings {
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
        keys: vec![KeyHash::of(name.as_bytes())],
    };
    let access = Access::keyed(vec![workspace("one"), workspace("other")]);
    bed.relay.configure(config(1).with_access(access));
    let own = bed.relay.heartbeat();
    bed.relay
        .members
        .borrow_mut()
        .record_heartbeat(bed.relay.now_ms(), own);
    for entry in entries {
        bed.relay.apply_change(ListChange::Put(entry), Origin::Read);
    }
    bed
}

fn asked(method: Method, path: &str, workspace: &'static str, id: &str) -> Request<Full<Bytes>> {
    let mut asked = request(method, path, id);
    let key = HeaderValue::from_static(workspace);
    asked.headers_mut().insert("x-key", key);
    asked
}

/// What another instance is told of what ran, by workspace.
async fn counted(bed: &Bed) -> BTreeMap<&'static str, u32> {
    let relay = &bed.relay;
    relay
        .members
        .borrow_mut()
        .record_heartbeat(relay.now_ms(), listener());
    relay.heartbeat_stored(relay.heartbeat());
    let mut counts = BTreeMap::new();
    for _ in 0..20 {
        let told = relay.due_gossip();
        let tallies = told.iter().flat_map(|(_, told)| &told.tallies);
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
    let fails = StandIn::start(|seen| seen.answer("500 Oops", "", "oops"));
    let works = StandIn::start(|seen| seen.answer("200 OK", "", "ok"));
    let bed = bed(vec![
        fails.entry("fails", "desk", Stage::Whole),
        works.entry("works", "desk", Stage::Whole),
    ]);
    for (number, workspace) in ["one", "one", "other"].into_iter().enumerate() {
        let asked = asked(Method::GET, "/reads/x", workspace, &number.to_string());
        assert_eq!(bed.get(asked).await.0, 200);
    }
    assert!(fails.count() > 0);
    assert_eq!(counted(&bed).await, [("one", 2), ("other", 1)].into());
}

/// Guards against usage of what never ran: refused for its key, rejected by the upstream, or for nobody.
#[actix_rt::test]
async fn what_did_not_run_counts_for_nobody() {
    let full = StandIn::start(|seen| seen.answer("503 Full", "x-not-run: 1\r\n", ""));
    let bed = bed(vec![full.entry("full", "desk", Stage::Whole)]);
    for (workspace, status) in [("one", 503), ("nobody", 401)] {
        let asked = asked(Method::POST, "/claims/x", workspace, "1");
        assert_eq!(bed.get(asked).await.0, status);
    }
    assert_eq!(counted(&bed).await, BTreeMap::new());
}

/// Guards against a claim that ran and is billed to nobody, since its answer was lost.
#[actix_rt::test]
async fn a_claim_whose_answer_was_lost_counts() {
    let desk = StandIn::start(|_| vec![Act::Close]);
    let bed = bed(vec![desk.entry("one", "desk", Stage::Whole)]);
    let asked = asked(Method::POST, "/claims/x", "other", "1");
    assert_eq!(bed.get(asked).await.0, 502);
    assert_eq!(counted(&bed).await, [("other", 1)].into());
}
