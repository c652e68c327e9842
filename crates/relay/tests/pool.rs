//! Connections to upstreams that are given up.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use relay::pool::{Pool, exchange};
use tick::Clock;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

/// A caller leaves while the way to an upstream is cut, and its request is still under way. Closed, the connection would go
/// on sending it until the way is there again: it would reach the upstream seconds later, which may be leaving by then. So
/// the connection is reset, which drops what was not delivered.
#[actix_rt::test]
async fn a_connection_that_is_given_up_is_reset() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let pool = Pool::new(listener.local_addr().unwrap(), Clock::default());
    let request = Request::builder().uri("/").header("host", "h");
    let request = request.body(Full::<Bytes>::default()).unwrap();
    let asked = actix_rt::spawn(async move { exchange(&pool, 1, request).await.map(|_| ()) });
    let (mut upstream, _) = listener.accept().await.unwrap();
    let mut bytes = [0; 1_024];
    assert!(upstream.read(&mut bytes).await.unwrap() > 0);
    asked.abort();
    let ended = tokio::time::timeout(Duration::from_secs(5), upstream.read(&mut bytes)).await;
    let ended = ended
        .expect("the connection ends")
        .map_err(|error| error.kind());
    assert_eq!(ended, Err(std::io::ErrorKind::ConnectionReset));
}
