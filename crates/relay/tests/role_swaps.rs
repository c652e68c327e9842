//! Role orders by the speed of engines.

mod common;

use std::rc::Rc;
use std::time::Duration;

use common::{EVENTS, StubUpstream, TestInstance, settings};
use lease::SendPermit;
use plan::Pace;
use relay::Relay;
use relay::role_orders::{PlannedChange, order_logged, plan_changes};
use relay::upstream::{Stage, UpstreamEntry};
use relay::upstreams::ListChange;

/// Stage, pace in percent and id of each engine.
const ENGINES: [(&str, Stage, f64); 7] = [
    ("p-usual", Stage::Prefill, 100.0),
    ("p-slow", Stage::Prefill, 160.0),
    ("d-usual", Stage::Decode, 100.0),
    ("d-fast", Stage::Decode, 60.0),
    ("d-slow", Stage::Decode, 160.0),
    ("d-usual-2", Stage::Decode, 100.0),
    ("d-unknown", Stage::Decode, 0.0),
];

/// An instance that leads and has seen `prefill_ms` of prefill a ms for some seconds.
async fn leader(prefill_ms: f64, entries: Vec<UpstreamEntry>) -> TestInstance {
    let instance = TestInstance::start_with(settings(), entries);
    let relay = &instance.relay;
    *relay.members.borrow_mut() = view::Members::default();
    // Engines must have been listed for a second.
    actix_rt::time::sleep(Duration::from_millis(1_100)).await;
    let now_ms = relay.now_ms();
    for at_ms in (now_ms - 3_000..now_ms).step_by(50) {
        let orders = &relay.role_orders;
        orders.record_demand("llm", at_ms, 50.0 * prefill_ms);
    }
    instance
}

fn note_paces(relay: &Relay) {
    let now_ms = relay.now_ms();
    for (id, _, percent) in ENGINES {
        let upstream = relay.upstreams.borrow().get(id).cloned().expect("listed");
        for age_ms in [3_000, 2_000, 1_000] {
            if let Some(pace) = Pace::from_percent(percent) {
                upstream.note_pace(now_ms - age_ms, pace);
            }
        }
    }
}

fn planned(relay: &Relay) -> Vec<(String, Stage)> {
    let changes = plan_changes(relay);
    let change = |each: &Rc<PlannedChange>| (each.engine.id.clone(), each.stage);
    changes.iter().map(change).collect()
}

fn log_orders(relay: &Relay) {
    for change in plan_changes(relay) {
        let permit = SendPermit {
            fence: 1,
            expires_ms: u64::MAX,
        };
        order_logged(relay, &change, permit);
    }
}

/// Guards against slow engines that prefill while a fast one decodes: the fast one must change first, and the slow one
/// only when the other is back. Without paces the same fleet stays as it is.
#[actix_rt::test]
async fn a_fast_engine_takes_over_from_a_slow_one() {
    let stub = StubUpstream::start(|received| received.response("200 OK", "", EVENTS));
    let entries = ENGINES.map(|(id, stage, _)| stub.entry(id, "llm", stage));
    let instance = leader(0.6, entries.to_vec()).await;
    let relay = &instance.relay;
    assert_eq!(planned(relay), []);
    note_paces(relay);
    let first = ("d-fast".to_owned(), Stage::Prefill);
    assert_eq!(planned(relay), [first]);
    log_orders(relay);
    assert_eq!(planned(relay), [], "the fast engine is changing");
    relay.apply_change(
        ListChange::Put(UpstreamEntry {
            seq: 2,
            ..stub.entry("d-fast", "llm", Stage::Prefill)
        }),
        relay::Origin::Read,
    );
    let second = ("p-slow".to_owned(), Stage::Decode);
    assert_eq!(planned(relay), [second]);
    log_orders(relay);
    assert_eq!(planned(relay), [], "the slow engine is changing");
}

/// Guards against a slow engine that is chosen where the split needs one more that prefills.
#[actix_rt::test]
async fn the_fastest_engine_prefills_first() {
    let stub = StubUpstream::start(|received| received.response("200 OK", "", EVENTS));
    let entries = ENGINES.map(|(id, stage, _)| stub.entry(id, "llm", stage));
    let instance = leader(4.0, entries.to_vec()).await;
    let relay = &instance.relay;
    note_paces(relay);
    assert_eq!(planned(relay), [], "the demand must last");
    actix_rt::time::sleep(Duration::from_millis(1_600)).await;
    let fastest = ("d-fast".to_owned(), Stage::Prefill);
    assert_eq!(planned(relay), [fastest]);
}
