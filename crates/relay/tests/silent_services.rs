//! Services all of whose upstreams fall silent together for a second or two and go on.

mod common;

use std::time::Duration;

use common::{
    EVENTS, Link, LinkState, StubUpstream, TestInstance, generation_request, meet, read_request,
    request,
};
use futures_util::future::join_all;
use http::Method;
use relay::upstream::{Stage, UpstreamEntry};

/// Upstreams of each service.
const UPSTREAMS: usize = 3;

/// Requests that each instance gets, and the pause between two of them.
const REQUESTS: usize = 60;
const PAUSE: Duration = Duration::from_millis(20);

/// Time between the first request and the silence, and between the ends of the upstreams' silences, in ms.
const CALM_MS: u64 = 300;
const STEP_MS: u64 = 350;

/// Sends requests of three kinds to an instance and returns how many were not served.
async fn unserved(instance: &TestInstance, first: usize) -> usize {
    let all = (first..first + REQUESTS).map(|id| async move {
        actix_rt::time::sleep(PAUSE * (id - first) as u32).await;
        let request = match id % 3 {
            0 => read_request(id),
            1 => request(Method::POST, "/claims/x", &id.to_string()),
            _ => generation_request("/grades/x", id, 300),
        };
        let (status, body) = instance.fetch(request).await;
        usize::from(status != 200 || body.is_none())
    });
    join_all(all).await.into_iter().sum()
}

/// An upstream of each service, and for each of two instances the paths and entries by which it reaches them.
fn start_upstreams(number: usize) -> [Vec<(Link, UpstreamEntry)>; 2] {
    let services = [("desk", Stage::Whole), ("llm", Stage::Decode)];
    let stubs = services.map(|(service, stage)| {
        let stub = StubUpstream::start(|received| received.response("200 OK", "", EVENTS));
        let id = format!("{service}-{number}");
        UpstreamEntry {
            slots: REQUESTS as u32,
            ..stub.entry(&id, service, stage)
        }
    });
    [(), ()].map(|()| {
        let linked = stubs.iter().map(|entry| {
            let link = Link::open(entry.address);
            let entry = link.entry(entry.clone());
            (link, entry)
        });
        linked.collect()
    })
}

/// Two instances before upstreams that fall silent together, and go on one after the other from `silence_ms` on;
/// returns how many requests were not served.
async fn unserved_through_silence(silence_ms: u64) -> usize {
    let mut links: Vec<Vec<Link>> = Vec::new();
    let mut entries = [Vec::new(), Vec::new()];
    for number in 0..UPSTREAMS {
        let mut of_upstream = Vec::new();
        for (linked, entries) in start_upstreams(number).into_iter().zip(&mut entries) {
            for (link, entry) in linked {
                of_upstream.push(link);
                entries.push(entry);
            }
        }
        links.push(of_upstream);
    }
    let [of_first, of_second] = entries;
    let first = TestInstance::start_peer("a", "here", of_first).await;
    let second = TestInstance::start_peer("b", "here", of_second).await;
    meet(&[&first, &second]).await;
    unserved(&first, 1_000).await;
    let silence = async {
        actix_rt::time::sleep(Duration::from_millis(CALM_MS)).await;
        for link in links.iter().flatten() {
            link.set(LinkState::RequestsOnly);
        }
        actix_rt::time::sleep(Duration::from_millis(silence_ms)).await;
        for of_upstream in &links {
            for link in of_upstream {
                link.set(LinkState::Open);
            }
            actix_rt::time::sleep(Duration::from_millis(STEP_MS)).await;
        }
    };
    let of_first = unserved(&first, 2_000);
    let of_second = unserved(&second, 3_000);
    let (of_first, of_second, ()) = tokio::join!(of_first, of_second, silence);
    of_first + of_second
}

/// Guards against answers that are given up because one of several silent upstreams goes on first: peers hear it, and
/// the instance that waits at the others takes its own path for cut.
#[actix_rt::test]
async fn upstreams_that_are_silent_together_cost_no_answer() {
    let silences_ms = [900, 950, 1_000, 1_050, 1_100, 1_150];
    let unserved = join_all(silences_ms.map(unserved_through_silence)).await;
    assert_eq!(unserved, [0; 6]);
}
