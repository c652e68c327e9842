//! Probes of upstreams that were ejected.

mod common;

use std::rc::Rc;

use common::{EVENTS, StubUpstream, TestInstance, in_other_zone, read_request};
use plan::HealthStatus;
use relay::upstream::{InFlight, Stage, Upstream, Work};
use tick::Clock;

/// A time after the first ejection, and one after a further one, in ms.
const AFTER_EJECTION_MS: u64 = 5_000;
const LATER_MS: u64 = 60_000;

/// Guards against an upstream that is never used again, since its probe was rejected, held back or given up, so
/// that it neither succeeded nor failed.
#[actix_rt::test]
async fn an_upstream_whose_probe_had_no_outcome_is_probed_again() {
    let stub = StubUpstream::start(|received| received.response("200 OK", "", EVENTS));
    let entry = stub.entry("one", "desk", Stage::Whole);
    let upstream = Rc::new(Upstream::new(&entry, 0.1, Clock::default()));
    for _ in 0..3 {
        upstream.note_failure(0);
    }
    assert_eq!(upstream.health_status(1), HealthStatus::Ejected);
    assert_eq!(
        upstream.health_status(AFTER_EJECTION_MS),
        HealthStatus::Probe
    );
    let probe = InFlight::begin(&upstream, AFTER_EJECTION_MS, Work::default());
    let other = InFlight::begin(&upstream, AFTER_EJECTION_MS, Work::default());
    drop(other);
    assert_eq!(
        upstream.health_status(AFTER_EJECTION_MS),
        HealthStatus::Ejected,
        "one probe at a time"
    );
    drop(probe);
    assert_eq!(upstream.health_status(LATER_MS), HealthStatus::Probe);
}

/// Guards against a rejected probe that is followed by the next one at once, which would be rejected too and cost
/// each request a retry.
#[actix_rt::test]
async fn a_rejected_probe_is_not_repeated_at_once() {
    let rejecting = StubUpstream::start(|received| {
        received.response("503 Service Unavailable", "x-not-run: 1\r\n", "")
    });
    let serving = StubUpstream::start(|received| received.response("200 OK", "", EVENTS));
    let instance = TestInstance::start(vec![
        rejecting.entry("rejecting", "desk", Stage::Whole),
        in_other_zone(serving.entry("serving", "desk", Stage::Whole)),
    ]);
    let ejected = Rc::clone(
        instance
            .relay
            .upstreams
            .borrow()
            .get("rejecting")
            .expect("listed"),
    );
    // The process of the instance is older than this ejection.
    for _ in 0..3 {
        ejected.note_failure(0);
    }
    for id in 0..20 {
        assert_eq!(instance.fetch(read_request(id)).await.0, 200);
    }
    assert_eq!(rejecting.count(), 1);
}
