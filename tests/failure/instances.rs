//! Instances that are stopped gracefully or killed while they serve a request.

use chicoryrack::standin::expected_text;
use serde_json::Value;

use crate::common::{MEMBER_KEY, Platform, send, start_serving, wait_until};
use crate::helpers::{complete, completion, start_three};

#[actix_rt::test]
async fn a_graceful_stop_interrupts_no_request_even_when_signalled_twice() {
    // The instance gets SIGTERM twice while it answers. It finishes the answer, accepts no new
    // requests, is no longer offered to callers, and exits with code 0.
    let platform = Platform::start(1).await;
    let mut daemons = start_three(&platform, 1).await;
    let address = daemons[0].caller_address.clone();
    let pending = actix_rt::spawn(async move { complete(&address, "stop", 200).await });
    wait_until("the engine has the request", || async {
        platform.engines[0].unfinished_requests() > 0
    })
    .await;
    daemons[0].signal(libc::SIGTERM);
    daemons[0].signal(libc::SIGTERM);
    let other = daemons[1].caller_address.clone();
    let stopping = daemons[0].caller_address.clone();
    wait_until("the instance is no longer offered", || async {
        let lookup = send("GET", &other, "/v1/lookup", "", &[], "")
            .await
            .expect("a lookup");
        !lookup.text().contains(&stopping)
    })
    .await;
    let reply = pending.await.expect("the task ends");
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert_eq!(
        reply.json()["choices"][0]["text"],
        expected_text("stop", 200)
    );
    assert_eq!(daemons[0].wait_exit().await, Some(0));
}

/// Sends a request on an open connection and returns the first line of the response.
fn exchange(stream: &mut std::net::TcpStream, request: &str) -> String {
    use std::io::{Read, Write};
    stream
        .write_all(request.as_bytes())
        .expect("the connection is open");
    let mut answer = [0; 1_024];
    let read = stream.read(&mut answer).expect("an answer");
    let text = String::from_utf8_lossy(&answer[..read]).into_owned();
    text.lines().next().unwrap_or_default().to_owned()
}

#[actix_rt::test]
async fn a_stopping_instance_refuses_new_requests_on_open_connections() {
    // A caller keeps its connection open while the instance stops. The listener closes after the
    // grace period, but this connection stays open. A request on it is refused as not run, while an
    // answer that is already in progress completes.
    let platform = Platform::start(1).await;
    let daemon = start_serving(&platform).await;
    let address = daemon.caller_address.clone();
    let mut connection = std::net::TcpStream::connect(&address).expect("a connection");
    let line = exchange(&mut connection, "GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n");
    assert!(line.starts_with("HTTP/1.1 200"), "{line}");
    let pending = actix_rt::spawn(async move { complete(&address, "leave", 400).await });
    wait_until("the engine has the request", || async {
        platform.engines[0].unfinished_requests() > 0
    })
    .await;
    daemon.signal(libc::SIGTERM);
    wait_until("the listener is closed", || async {
        std::net::TcpStream::connect(&daemon.caller_address).is_err()
    })
    .await;
    let request =
        format!("GET /v1/models HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {MEMBER_KEY}\r\n\r\n");
    let line = exchange(&mut connection, &request);
    assert!(line.starts_with("HTTP/1.1 503"), "{line}");
    let reply = pending.await.expect("the task ends");
    assert_eq!(
        reply.json()["choices"][0]["text"],
        expected_text("leave", 400)
    );
}

#[actix_rt::test]
async fn a_stream_resumes_at_another_instance_after_a_kill() {
    // The caller streams from an instance that is killed with SIGKILL. It requests the rest from
    // another instance with its resume token and the last number it has, and gets every token
    // once.
    let platform = Platform::start(1).await;
    let mut daemons = start_three(&platform, 1).await;
    let first = daemons[0].caller_address.clone();
    let tokens = 120;
    let client = awc::Client::builder().disable_timeout().finish();
    let mut response = client
        .post(format!("http://{first}/v1/completions"))
        .bearer_auth(MEMBER_KEY)
        .send_body(completion("kill", tokens, true))
        .await
        .expect("a stream");
    let mut received = String::new();
    while received.matches("\ndata: ").count() < 5 {
        let chunk = futures_util::StreamExt::next(&mut response).await;
        let chunk = chunk.expect("more").expect("bytes");
        received.push_str(&String::from_utf8_lossy(&chunk));
    }
    daemons[0].kill();
    let mut events = events(&received);
    let (last, token) = events
        .last()
        .map(|event| (event.0, event.2.clone()))
        .expect("events");
    let last = last.to_string();
    let path = format!("/v1/streams/{token}");
    let headers = [("last-event-id", last.as_str())];
    let other = &daemons[1].caller_address;
    let rest = send("GET", other, &path, MEMBER_KEY, &headers, "").await;
    let rest = rest.expect("the rest").text();
    events.extend(self::events(&rest));
    let numbers: Vec<u64> = events.iter().map(|event| event.0).collect();
    let all: Vec<u64> = (1..=u64::from(tokens)).collect();
    assert_eq!(numbers, all);
    let text: String = events.iter().map(|event| event.1.clone()).collect();
    assert_eq!(text, expected_text("kill", tokens as usize));
    assert!(rest.ends_with("data: [DONE]\n\n"), "{rest}");
}

/// Extracts number, text and resume token of each complete token event.
fn events(text: &str) -> Vec<(u64, String, String)> {
    let whole = text
        .split_inclusive("\n\n")
        .filter(|event| event.ends_with("\n\n"));
    whole
        .filter_map(|event| {
            let number = event.lines().find_map(|line| line.strip_prefix("id: "))?;
            let data = event.lines().find_map(|line| line.strip_prefix("data: "))?;
            let data: Value = serde_json::from_str(data).ok()?;
            let text = data["choices"][0]["text"].as_str()?.to_owned();
            let token = data["resume"].as_str()?.to_owned();
            Some((number.parse().ok()?, text, token))
        })
        .collect()
}
