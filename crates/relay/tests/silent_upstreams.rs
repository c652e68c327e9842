//! Sound upstreams that fall silent for a second or so and go on.

mod common;

use common::{Action, StubUpstream, TestInstance, generation_request};
use plan::HealthStatus;
use relay::upstream::Stage;

/// Time for which the engine of the test is silent within a stream, in ms.
const SILENCE_MS: u64 = 1_100;

/// Guards against a stream that is made a second time, and an engine that gets no requests, because it was silent for
/// a second.
#[actix_rt::test]
async fn a_stream_whose_engine_is_silent_for_a_second_is_not_made_again() {
    let engine = || {
        StubUpstream::start(|received| {
            let (first, last) = ("id: 1\ndata: 1\n\n", "id: 2\ndata: 2\n\n");
            let whole = received.response_text("200 OK", "", &format!("{first}{last}"));
            let begin = whole.strip_suffix(last).expect("two events").to_owned();
            vec![
                Action::Write(begin),
                Action::Wait(SILENCE_MS),
                Action::Write(last.to_owned()),
            ]
        })
    };
    let engines = [engine(), engine()];
    let ids = ["one", "two"];
    let entries = engines.iter().zip(ids);
    let entries = entries.map(|(engine, id)| engine.entry(id, "llm", Stage::Decode));
    let instance = TestInstance::start(entries.collect());
    let (status, body) = instance
        .fetch(generation_request("/grades/x", 1, 300))
        .await;
    let sends: usize = engines.iter().map(StubUpstream::count).sum();
    assert_eq!((status, body.is_some(), sends), (200, true, 1));
    let now_ms = instance.relay.now_ms();
    let upstreams = instance.relay.upstreams.borrow();
    for id in ids {
        let engine = upstreams.get(id).expect("listed");
        assert_eq!(engine.health_status(now_ms), HealthStatus::Healthy);
    }
}
