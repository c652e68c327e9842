//! Connections that callers keep between requests, across changes of the configuration.

mod common;

use std::time::Duration;

use common::{StubUpstream, TestInstance, config, settings};
use futures_util::future::join_all;
use relay::config::{Config, Limits};
use relay::upstream::Stage;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A configuration of this version under which connections may be idle for this long.
fn config_with_idle(version: u64, idle_ms: u64) -> Config {
    let mut config = config(version);
    config.limits = Limits {
        idle_ms,
        ..Limits::default()
    };
    config
}

async fn sleep_ms(ms: u64) {
    actix_rt::time::sleep(Duration::from_millis(ms)).await;
}

fn desk() -> StubUpstream {
    StubUpstream::start(|received| received.response("200 OK", "", "ok"))
}

/// A caller with one connection, which it does not replace.
struct KeptConnection(TcpStream);

impl KeptConnection {
    async fn open(instance: &TestInstance) -> Self {
        Self(
            TcpStream::connect(instance.address)
                .await
                .expect("a connection"),
        )
    }

    /// Sends the head and the begin of a body of `length` bytes.
    async fn send(&mut self, length: usize, begin: &str) {
        let head = format!(
            "POST /claims/x HTTP/1.1\r\nhost: host.test\r\nx-attempt: 1\r\nx-left-ms: 3000\r\ncontent-length: {length}\r\n\r\n{begin}"
        );
        // A connection that was closed shows when the answer is read.
        let _ = self.0.write_all(head.as_bytes()).await;
    }

    /// The status of the next answer; `None` if the connection is closed without one.
    async fn status(&mut self) -> Option<String> {
        let mut received = String::new();
        while !received.ends_with("ok") {
            let mut chunk = [0; 1_024];
            let count = self.0.read(&mut chunk).await.unwrap_or(0);
            if count == 0 {
                return received.split(' ').nth(1).map(str::to_owned);
            }
            received.push_str(&String::from_utf8_lossy(&chunk[..count]));
        }
        received.split(' ').nth(1).map(str::to_owned)
    }

    async fn ask(&mut self) -> Option<String> {
        self.send(0, "").await;
        self.status().await
    }
}

/// Asks on a connection, raises the idle limit, and asks again after a pause.
async fn ask_after_raise(raised_ms: u64, pause_ms: u64, asks_between: bool) -> Option<String> {
    let desk = desk();
    let instance = TestInstance::start(vec![desk.entry("one", "desk", Stage::Whole)]);
    instance.relay.configure(config_with_idle(2, 400));
    let mut caller = KeptConnection::open(&instance).await;
    assert_eq!(caller.ask().await.as_deref(), Some("200"));
    instance.relay.configure(config_with_idle(3, raised_ms));
    if asks_between {
        assert_eq!(caller.ask().await.as_deref(), Some("200"));
    }
    sleep_ms(pause_ms).await;
    caller.ask().await
}

/// Guards against a request that is closed unanswered, because its connection kept the idle limit of its opening.
#[actix_rt::test]
async fn a_raised_idle_limit_holds_on_open_connections() {
    let cases = [
        ask_after_raise(2_000, 900, false),
        ask_after_raise(2_000, 1_500, false),
        ask_after_raise(2_000, 1_500, true),
        ask_after_raise(6_000, 4_500, false),
    ];
    let statuses = join_all(cases).await;
    assert_eq!(statuses, vec![Some("200".to_owned()); 4]);
}

/// Guards against a limit that is lowered and closes connections at once, under requests on their way.
#[actix_rt::test]
async fn a_lowered_idle_limit_closes_nothing_within_it() {
    let desk = desk();
    let instance = TestInstance::start(vec![desk.entry("one", "desk", Stage::Whole)]);
    let mut caller = KeptConnection::open(&instance).await;
    assert_eq!(caller.ask().await.as_deref(), Some("200"));
    instance.relay.configure(config_with_idle(2, 400));
    sleep_ms(320).await;
    assert_eq!(caller.ask().await.as_deref(), Some("200"));
}

/// Guards against connections that nobody uses and that stay open for ever.
#[actix_rt::test]
async fn a_connection_that_stays_idle_is_closed() {
    let instance = TestInstance::start(Vec::new());
    instance.relay.configure(config_with_idle(2, 100));
    let mut caller = KeptConnection::open(&instance).await;
    let closed = caller.status();
    let closed = actix_rt::time::timeout(Duration::from_secs(5), closed).await;
    assert_eq!(closed, Ok(None));
}

/// Guards against a request that is refused since its body took longer than a connection may be idle.
#[actix_rt::test]
async fn a_body_may_take_longer_than_a_connection_may_be_idle() {
    let desk = desk();
    let instance = TestInstance::start(vec![desk.entry("one", "desk", Stage::Whole)]);
    instance.relay.configure(config_with_idle(2, 400));
    let mut caller = KeptConnection::open(&instance).await;
    caller.send(4, "bo").await;
    sleep_ms(600).await;
    caller.0.write_all(b"dy").await.expect("an open connection");
    assert_eq!(caller.status().await.as_deref(), Some("200"));
}

/// Guards against a request that lies unread in its socket, as the process was slow for a moment, when the idle limit
/// passes.
#[actix_rt::test]
async fn a_request_that_is_unread_when_the_idle_limit_passes_is_answered() {
    let desk = desk();
    let instance =
        TestInstance::start_with(settings(), vec![desk.entry("one", "desk", Stage::Whole)]);
    instance.relay.configure(config_with_idle(2, 400));
    let mut caller = KeptConnection::open(&instance).await;
    assert_eq!(caller.ask().await.as_deref(), Some("200"));
    sleep_ms(300).await;
    caller.send(0, "").await;
    std::thread::sleep(Duration::from_millis(3_500));
    assert_eq!(caller.status().await.as_deref(), Some("200"));
}

/// Guards against a request that a peer hands over on a connection that is being closed: callers' idle limit is none of
/// peers', which keep their connections for seconds.
#[actix_rt::test]
async fn connections_of_peers_outlast_the_idle_limit_of_callers() {
    let instance = TestInstance::start_peer("a", "here", Vec::new()).await;
    instance.relay.configure(config_with_idle(2, 100));
    let peer = instance.relay.settings.borrow().peer.expect("an address");
    let mut connection = TcpStream::connect(peer).await.expect("a connection");
    let mut byte = [0];
    let closed = connection.read(&mut byte);
    let closed = actix_rt::time::timeout(Duration::from_millis(4_500), closed).await;
    assert!(closed.is_err(), "closed within 4.5 s");
}

/// Guards against a caller whose connection is closed without an answer, and nobody is told, since a task panicked.
#[actix_rt::test]
async fn a_request_whose_handling_panics_is_answered() {
    let instance = TestInstance::start(Vec::new());
    let mut caller = KeptConnection::open(&instance).await;
    let head = "GET /reads/x HTTP/1.1\r\nhost: host.test\r\nx-attempt: 1\r\nx-panic: 1\r\n\r\n";
    caller
        .0
        .write_all(head.as_bytes())
        .await
        .expect("an open connection");
    let mut received = [0; 1_024];
    let count = caller.0.read(&mut received).await.unwrap_or(0);
    let received = String::from_utf8_lossy(&received[..count]).into_owned();
    assert!(received.starts_with("HTTP/1.1 500 "), "{received:?}");
    let metrics = String::from_utf8(instance.relay.metrics_text()).expect("text");
    assert!(
        metrics
            .lines()
            .any(|line| line.starts_with("chicoryrack_panics_total") && line.ends_with(" 1"))
    );
}

fn config_with_head(version: u64, head_bytes: usize) -> Config {
    let mut config = config(version);
    config.limits = Limits {
        head_bytes,
        ..Limits::default()
    };
    config
}

/// The status of a request whose head is longer by this many bytes.
async fn ask_with_padding(caller: &mut KeptConnection, length: usize) -> Option<String> {
    let padding = "p".repeat(length);
    let head = format!(
        "POST /claims/x HTTP/1.1\r\nhost: host.test\r\nx-attempt: 1\r\nx-left-ms: 3000\r\nx-padding: {padding}\r\ncontent-length: 0\r\n\r\n"
    );
    let _ = caller.0.write_all(head.as_bytes()).await;
    let mut chunk = [0; 1_024];
    let count = caller.0.read(&mut chunk).await.unwrap_or(0);
    let received = String::from_utf8_lossy(&chunk[..count]);
    received.split(' ').nth(1).map(str::to_owned)
}

/// Guards against a head that is refused because its connection keeps the longest head of its opening, and against one
/// that is longer than the limit in force allows.
#[actix_rt::test]
async fn the_limit_on_heads_is_that_in_force_on_open_connections() {
    let desk = desk();
    let instance = TestInstance::start(vec![desk.entry("one", "desk", Stage::Whole)]);
    instance.relay.configure(config_with_head(2, 16_384));
    let mut caller = KeptConnection::open(&instance).await;
    let status = ask_with_padding(&mut caller, 10).await;
    assert_eq!(status.as_deref(), Some("200"));
    instance.relay.configure(config_with_head(3, 65_536));
    let status = ask_with_padding(&mut caller, 40_000).await;
    assert_eq!(status.as_deref(), Some("200"));
    instance.relay.configure(config_with_head(4, 16_384));
    let status = ask_with_padding(&mut caller, 20_000).await;
    assert_eq!(status.as_deref(), Some("431"));
}

/// Guards against a head that stops midway and keeps its connection for ever.
#[actix_rt::test]
async fn a_head_that_stops_midway_is_closed() {
    let instance = TestInstance::start(Vec::new());
    let mut config = config_with_idle(2, 60_000);
    config.limits.head_ms = 200;
    instance.relay.configure(config);
    let mut caller = KeptConnection::open(&instance).await;
    let begun = caller.0.write_all(b"POST /claims/x HT").await;
    begun.expect("an open connection");
    let closed = actix_rt::time::timeout(Duration::from_secs(5), caller.status()).await;
    assert!(closed.is_ok(), "open after 5 s");
}
