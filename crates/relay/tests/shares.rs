//! Shares of engine time: which generations are refused, and when none are.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{EVENTS, StubUpstream, TestInstance, config, generation_request, settings};
use http::{HeaderValue, Request};
use http_body_util::Full;
use keys::KeyHash;
use relay::config::{Access, Workspace};
use relay::scheduling::Switch;
use relay::shares::share_excess;
use relay::upstream::{Load, Stage};
use relay::{Origin, Settings};
use view::engine_time::WINDOW_MS;
use view::{
    EngineTime, EngineTimeTally, GossipMessage, InstanceKey, ListChange, MessageKind, ShareKey,
    WorkspaceKey,
};

fn workspace(name: &str) -> Workspace {
    Workspace {
        name: name.to_owned(),
        priority: None,
        weight: 1,
        keys: vec![KeyHash::of(name.as_bytes())],
    }
}

/// An instance with one engine, at which peers have this many requests; the large workspace requests and gets nearly
/// all of the fleet's engine time.
async fn start(switch: Switch, is_keyed: bool, requests: u32) -> (TestInstance, StubUpstream) {
    let engine = StubUpstream::start(|received| {
        received.response("200 OK", "content-type: text/event-stream\r\n", EVENTS)
    });
    let mut settings: Settings = settings();
    settings.scheduling.shares = switch;
    let instance = TestInstance::unconfigured(settings);
    let relay = &instance.relay;
    let access = if is_keyed {
        Access::keyed(vec![workspace("large"), workspace("small")])
    } else {
        Access::Open
    };
    relay.configure(config(1).with_access(access));
    let own = relay.heartbeat();
    let now_ms = relay.now_ms();
    relay.members.borrow_mut().record_heartbeat(now_ms, own);
    let entry = engine.entry("one", "llm", Stage::Decode);
    relay.apply_change(ListChange::Put(entry), Origin::Read);
    let times = [("large", 900_000, 30_000), ("small", 20_000, 10_000)];
    let times = times.map(|(name, requested_ms, granted_ms)| {
        let key = ShareKey {
            workspace: WorkspaceKey::of(name),
            rank: 1,
        };
        let time = EngineTime {
            requested_ms,
            granted_ms,
        };
        (key, time)
    });
    let message = GossipMessage {
        engine_times: vec![EngineTimeTally {
            incarnation: 1,
            window: relay.singleton_tasks.fleet_ms() / WINDOW_MS,
            times: times.to_vec(),
        }],
        ..GossipMessage::new(InstanceKey(9), MessageKind::Sum)
    };
    let peer = "127.0.0.1:9".parse().unwrap();
    relay.receive_gossip(&message, peer);
    let upstream = relay.upstreams.borrow().get("one").cloned().unwrap();
    upstream.set_peer_load(Some(Load {
        requests,
        ..Load::default()
    }));
    for _ in 0..6 {
        share_excess(relay, &workspace("large"));
        actix_rt::time::sleep(Duration::from_millis(60)).await;
    }
    (instance, engine)
}

fn keyed(workspace: &'static str, id: usize) -> Request<Full<Bytes>> {
    let mut req = generation_request("/grades/x", id, 60);
    let key = HeaderValue::from_static(workspace);
    req.headers_mut().insert("x-key", key);
    req
}

/// Statuses of ten requests of a workspace.
async fn statuses(instance: &TestInstance, workspace: &'static str) -> Vec<u16> {
    let mut statuses = Vec::new();
    for id in 0..10 {
        statuses.push(instance.fetch(keyed(workspace, id)).await.0);
    }
    statuses
}

/// Guards against a workspace that keeps the engines full and has all others wait or be refused.
#[actix_rt::test]
async fn while_engines_are_full_the_workspace_over_its_share_is_refused() {
    let (instance, engine) = start(Switch::Auto, true, 5).await;
    let relay = &instance.relay;
    assert!(share_excess(relay, &workspace("large")) > 0.3);
    assert!(share_excess(relay, &workspace("small")).abs() < 1e-9);
    let refused = statuses(&instance, "large").await;
    let count = refused.iter().filter(|status| **status == 503).count();
    assert!(count >= 8, "{refused:?}");
    assert_eq!(engine.count(), 10 - count);
    assert_eq!(statuses(&instance, "small").await, [200; 10]);
    let metrics = String::from_utf8(relay.metrics_text()).unwrap();
    let refusals = metrics.lines().find(|line| {
        line.starts_with("chicoryrack_share_refused") && line.contains("workspace=\"large\"")
    });
    let refusals = refusals.unwrap_or_else(|| panic!("{metrics}"));
    assert!(refusals.ends_with(&format!(" {count}")), "{refusals}");
}

/// Guards against refusals where room is free, the part is turned off, or there are no workspaces.
#[actix_rt::test]
async fn nothing_is_refused_with_room_or_without_shares() {
    let cases = [
        (Switch::Auto, true, 2),
        (Switch::Off, true, 5),
        (Switch::Auto, false, 5),
    ];
    for (switch, is_keyed, requests) in cases {
        let (instance, _engine) = start(switch, is_keyed, requests).await;
        let excess = share_excess(&instance.relay, &workspace("large"));
        assert!(excess.abs() < 1e-9, "{switch:?}, {is_keyed}, {requests}");
        assert_eq!(
            statuses(&instance, "large").await,
            [200; 10],
            "{switch:?}, {is_keyed}, {requests}"
        );
    }
}
