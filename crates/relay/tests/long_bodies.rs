//! Requests with bodies near the limit, from many callers at once.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{Action, StubUpstream, TestInstance, config, request};
use futures_util::future::{join, join_all};
use http::Method;
use http_body_util::Full;
use relay::config::{Config, Limits};
use relay::upstream::Stage;

const CALLERS: usize = 12;
const BODY_BYTES: usize = 3_900_000;

/// Most bodies that there is memory for at a time.
const MAX_AT_ONCE: usize = 7;

/// Guards against an instance that is killed for its memory, since many callers send long bodies at the same time: all of
/// them were read at once.
#[actix_rt::test]
async fn long_bodies_wait_at_their_callers_until_there_is_memory() {
    let upstream = StubUpstream::start(|received| {
        let mut actions = vec![Action::Wait(700)];
        actions.extend(received.response("200 OK", "", "ok"));
        actions
    });
    let instance = TestInstance::start(vec![upstream.entry("plain", "desk", Stage::Whole)]);
    let default = config(2);
    let routes = default.all_routes().cloned().collect();
    let limits = Limits {
        body_bytes: 4 << 20,
        ..Limits::default()
    };
    let services = default.services().clone();
    let longer = Config::new(2, routes, services, limits);
    assert!(instance.relay.configure(longer));
    let body = Bytes::from(vec![b'x'; BODY_BYTES]);
    let sends = (0..CALLERS).map(|id| {
        let mut request = request(Method::POST, "/claims/x", &id.to_string());
        *request.body_mut() = Full::from(body.clone());
        instance.fetch(request)
    });
    let watch = async {
        actix_rt::time::sleep(Duration::from_millis(600)).await;
        upstream.count()
    };
    let (answers, at_once) = join(join_all(sends), watch).await;
    assert!(at_once <= MAX_AT_ONCE, "{at_once} bodies were read at once");
    let statuses: Vec<u16> = answers.iter().map(|(status, _)| *status).collect();
    assert_eq!(statuses, [200; CALLERS], "{answers:?}");
    assert_eq!(instance.relay.body_memory.held_kib(), 0);
}
