//! Placement where crossings between availability zones have a cost.

mod common;

use common::{EVENTS, StubUpstream, TestInstance, generation_request, in_other_zone, settings};
use plan::Pace;
use relay::subset::zone_subset;
use relay::upstream::{InFlight, Stage, Work};
use relay::{SchedulingPart, Settings};
use view::InstanceKey;

/// Requests that the local engine has beside the one to be placed.
const LOCAL_REQUESTS: usize = 2;

/// Engine that gets a request while the local one is busier than the remote one.
async fn chosen(settings: Settings, is_pace_reported: bool) -> &'static str {
    let [own, other] =
        [(); 2].map(|()| StubUpstream::start(|received| received.response("200 OK", "", EVENTS)));
    let instance = TestInstance::start_with(
        settings,
        vec![
            own.entry("own", "llm", Stage::Decode),
            in_other_zone(other.entry("other", "llm", Stage::Decode)),
        ],
    );
    let relay = &instance.relay;
    let upstream = relay
        .upstreams
        .borrow()
        .get("own")
        .cloned()
        .expect("listed");
    if is_pace_reported {
        let usual = Pace::from_percent(100.0).expect("in bounds");
        upstream.note_pace(relay.now_ms(), usual);
    }
    let work = Work {
        prefill_tokens: 0.0,
        context_tokens: 100.0,
        rank: 2,
    };
    let _busy: Vec<InFlight> = (0..LOCAL_REQUESTS)
        .map(|_| InFlight::begin(&upstream, relay.now_ms(), work))
        .collect();
    let (status, _) = instance.fetch(generation_request("/grades/x", 1, 90)).await;
    assert_eq!(status, 200);
    let metrics = String::from_utf8(relay.metrics_text()).expect("text");
    let zone = if own.count() == 1 { "own" } else { "other" };
    let is_counted = |name: &str, value: &str| {
        let mut lines = metrics.lines().filter(|line| line.starts_with(name));
        let label = format!("zone=\"{zone}\"");
        lines.any(|line| line.contains(&label) && line.ends_with(value))
    };
    assert!(
        is_counted("chicoryrack_body_bytes_total", " 4"),
        "{metrics}"
    );
    assert!(
        is_counted("chicoryrack_zone_placements_total", " 1"),
        "{metrics}"
    );
    zone
}

/// Guards against bodies that cross zones although the request starts on time in its own, and against a part
/// that acts where it is not called for or turned off.
#[actix_rt::test]
async fn a_request_stays_in_its_zone_while_it_is_on_time_there() {
    assert_eq!(chosen(settings(), true).await, "own");
    assert_eq!(chosen(settings(), false).await, "other");
    let mut off = settings();
    off.scheduling = off.scheduling.without(SchedulingPart::Zones);
    assert_eq!(chosen(off, true).await, "other");
}

/// The subset of an instance whose zone has each third engine, up to `local` of them.
fn subset(own: &str, engines: &[usize], local: usize) -> Vec<usize> {
    let named: Vec<(usize, String)> = engines.iter().map(|at| (*at, format!("i-{at}"))).collect();
    let chosen = zone_subset(
        InstanceKey::of(own),
        &named,
        |(_, id)| id,
        |(at, _)| at % 3 == 0 && *at < local * 3,
    );
    chosen.into_iter().map(|(at, _)| at).collect()
}

/// Guards against subsets with too few engines in the own zone, and against ones that change as a whole when an
/// engine leaves.
#[test]
fn half_of_a_subset_is_in_the_own_zone() {
    let engines: Vec<usize> = (0..60).collect();
    for own in ["entry-1", "entry-2", "entry-3"] {
        let all = subset(own, &engines, 20);
        assert_eq!(all.len(), 12);
        assert!(all.iter().filter(|at| *at % 3 == 0).count() >= 6);
        let left: Vec<usize> = engines.iter().copied().filter(|at| *at != all[0]).collect();
        let kept = subset(own, &left, 20);
        assert!(all.iter().filter(|at| kept.contains(at)).count() >= 10);
        let few = subset(own, &engines, 2);
        assert!(few.contains(&0) && few.contains(&3) && few.len() == 12);
    }
}
