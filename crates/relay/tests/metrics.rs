//! Metrics of requests, and of the age of the configuration, the list and the load of peers.

mod common;

use common::{StubUpstream, TestInstance, request};
use http::Method;
use relay::members::Member;
use relay::upstream::Stage;
use tick::since_boot_ms;
use view::InstanceKey;

/// The lines of one metric, without the instance's own labels.
fn lines(instance: &TestInstance, name: &str) -> Vec<String> {
    let text = String::from_utf8(instance.relay.metrics_text()).unwrap();
    let own = [r#",instance="a""#, r#",zone="here""#];
    let lines = text.lines().filter(|line| line.starts_with(name));
    lines
        .map(|line| line.replace(own[0], "").replace(own[1], ""))
        .collect()
}

/// Guards against metrics that show only successes: one read is answered in time, one is late and
/// one is refused without an upstream, and each is counted for its route.
#[actix_rt::test]
async fn timely_and_late_answers_and_refusals_are_counted() {
    let desk = StubUpstream::start(|received| {
        let mut actions = Vec::new();
        if received.request_line.contains("late") {
            actions.push(common::Action::Wait(900));
        }
        actions.extend(received.response("200 OK", "", "ok"));
        actions
    });
    let instance = TestInstance::start(vec![desk.entry("one", "desk", Stage::Whole)]);
    instance
        .relay
        .config_position
        .borrow_mut()
        .record_read(since_boot_ms(), 1, Some(1));
    for (path, id) in [("/reads/x", "1"), ("/reads/late", "2")] {
        let (status, _) = instance.fetch(request(Method::GET, path, id)).await;
        assert_eq!(status, 200);
    }
    instance
        .relay
        .replace_list(Vec::new(), relay::Origin::Whole);
    let (status, _) = instance.fetch(request(Method::GET, "/reads/x", "3")).await;
    assert_eq!(status, 503);
    let (status, _) = instance
        .fetch(request(Method::GET, "/nowhere/x", "4"))
        .await;
    assert_eq!(status, 404);
    assert_eq!(
        lines(&instance, "chicoryrack_answers_total"),
        [
            r#"chicoryrack_answers_total{in_time="no",route="reads"} 1"#,
            r#"chicoryrack_answers_total{in_time="yes",route="reads"} 1"#,
        ]
    );
    assert_eq!(
        lines(&instance, "chicoryrack_refusals_total"),
        [
            r#"chicoryrack_refusals_total{reason="no_route",route="-"} 1"#,
            r#"chicoryrack_refusals_total{reason="no_upstream",route="reads"} 1"#,
        ]
    );
    assert_eq!(
        lines(&instance, "chicoryrack_own_seconds_count"),
        [r#"chicoryrack_own_seconds_count{route="reads"} 2"#]
    );
    assert_eq!(
        lines(&instance, "chicoryrack_upstream_seconds_count"),
        [r#"chicoryrack_upstream_seconds_count{service="desk"} 2"#]
    );
}

/// The ages of the configuration, the list and the load are exported; data that was never received
/// has no small age.
#[actix_rt::test]
async fn the_age_of_received_state_is_exported() {
    let instance = TestInstance::start(Vec::new());
    let names = ["config_age_ms", "list_age_ms", "load_age_ms"];
    let ages = || names.map(|name| age_ms(&instance, name));
    assert!(ages().iter().all(|age_ms| *age_ms > 1e15), "{:?}", ages());
    let peer = Member {
        name: "b".to_owned(),
        address: "127.0.0.1:2".parse().unwrap(),
        gossip_address: None,
        zone: "here".to_owned(),
        ready: true,
        heartbeat_seq: 1,
        link_mbps: 20,
    };
    let now_ms = instance.relay.now_ms();
    instance
        .relay
        .members
        .borrow_mut()
        .record_heartbeat(now_ms, peer);
    let key = InstanceKey::of("b");
    instance
        .relay
        .members
        .borrow_mut()
        .record_alive(now_ms, key);
    instance
        .relay
        .config_position
        .borrow_mut()
        .record_read(since_boot_ms(), 1, Some(1));
    instance
        .relay
        .list_position
        .borrow_mut()
        .record_read(since_boot_ms(), 1, Some(1));
    assert!(ages().iter().all(|age_ms| *age_ms < 1e6), "{:?}", ages());
}

fn age_ms(instance: &TestInstance, name: &str) -> f64 {
    let line = lines(instance, &format!("chicoryrack_{name}")).concat();
    line.rsplit(' ').next().unwrap().parse().unwrap()
}

/// Dropped log lines are counted, so that a missing line is not mistaken for an event that did not
/// occur.
#[actix_rt::test]
async fn dropped_log_lines_are_counted() {
    let instance = TestInstance::start(Vec::new());
    for _ in 0..260 {
        instance.relay.failure_log_limit.take(1);
    }
    let lines = lines(&instance, "chicoryrack_lines_left_out");
    assert!(
        lines.contains(&r#"chicoryrack_lines_left_out{kind="failed"} 60"#.to_owned()),
        "{lines:?}"
    );
}
