//! Connections to upstreams: which are kept, and what happens to abandoned ones.

mod common;

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use relay::pool::{Pool, exchange};
use tick::Clock;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

/// Guards against a request that reaches an upstream seconds after its caller disconnected. The
/// caller disconnects while the network to the upstream is cut; a connection that is closed would
/// keep sending the request until the network is back, when the upstream may be leaving. A reset
/// drops what was not delivered.
#[actix_rt::test]
async fn an_abandoned_connection_is_reset() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let pool = Pool::new(listener.local_addr().unwrap(), Clock::default());
    let request = Request::builder().uri("/").header("host", "h");
    let request = request.body(Full::<Bytes>::default()).unwrap();
    let sending = actix_rt::spawn(async move { exchange(&pool, 1, request).await.map(|_| ()) });
    let (mut upstream, _) = listener.accept().await.unwrap();
    let mut bytes = [0; 1_024];
    assert!(upstream.read(&mut bytes).await.unwrap() > 0);
    sending.abort();
    let end = tokio::time::timeout(Duration::from_secs(5), upstream.read(&mut bytes)).await;
    let end = end
        .expect("the connection ends")
        .map_err(|error| error.kind());
    assert_eq!(end, Err(std::io::ErrorKind::ConnectionReset));
}

/// Guards against a request on a connection that its upstream has just closed: it may be lost there, and a claim
/// may not be sent again.
#[actix_rt::test]
async fn a_connection_is_kept_as_long_as_its_upstream_says() {
    for (headers, is_kept) in [
        ("", true),
        ("keep-alive: timeout=5\r\n", true),
        ("keep-alive: timeout=1\r\n", false),
        ("connection: close\r\n", false),
    ] {
        let upstream =
            common::StubUpstream::start(move |received| received.response("200 OK", headers, ""));
        let pool = Pool::new(upstream.address, Clock::default());
        let request = common::request(http::Method::GET, "/", "1");
        let (response, connection) = exchange(&pool, 1, request).await.unwrap();
        response.into_body().collect().await.unwrap();
        connection.release();
        assert_eq!(pool.open() == 1, is_kept, "{headers:?}");
    }
}
