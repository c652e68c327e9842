//! Upstreams that lose answers and have not answered since.

mod common;

use std::time::Duration;

use common::{EVENTS, Link, LinkState, StubUpstream, TestInstance, read_request, wait_until};
use relay::upstream::Stage;

/// Requests of a steady stream, and the pause between two of them.
const REQUESTS: usize = 50;
const PAUSE: Duration = Duration::from_millis(20);

/// Most requests that such an upstream may get: those that are under way before it was asked for a sign of life.
const MAX_RECEIVED: usize = 3;

/// Guards against requests that are lost, and an upstream that gets more than the limit it names, where no answer of it
/// arrives: callers are refused at once, as not run, until it answers again.
#[actix_rt::test]
async fn an_upstream_that_loses_answers_gets_no_requests_until_it_answers() {
    for state in [
        LinkState::ResettingAfterRequest,
        LinkState::ResettingAfter(30),
        LinkState::Refusing,
    ] {
        let stub = StubUpstream::start(|received| received.response("200 OK", "", EVENTS));
        let link = Link::open(stub.address);
        let entry = stub.entry("only", "desk", Stage::Whole);
        let instance = TestInstance::start(vec![link.entry(entry)]);
        assert_eq!(instance.fetch(read_request(1)).await.0, 200);
        link.set(state);
        stub.received.borrow_mut().clear();
        let mut refused = 0;
        for id in 0..REQUESTS {
            let (status, _) = instance.fetch(read_request(100 + id)).await;
            refused += usize::from(status == 503);
            actix_rt::time::sleep(PAUSE).await;
        }
        assert!(
            stub.count() <= MAX_RECEIVED,
            "{state:?}: {} received",
            stub.count()
        );
        assert!(
            refused + MAX_RECEIVED >= REQUESTS,
            "{state:?}: {refused} refused"
        );
        link.set(LinkState::Open);
        let upstreams = || instance.relay.upstreams.borrow();
        let upstream = upstreams().get("only").cloned().expect("listed");
        assert!(wait_until(|| !upstream.is_health_check_running()).await);
        assert_eq!(instance.fetch(read_request(500)).await.0, 200, "{state:?}");
    }
}
