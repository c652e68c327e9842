//! Instances that leave as planned or are killed under a request.

use chicoryrack::standin::expected_text;
use serde_json::Value;

use crate::common::{MEMBER_KEY, Platform, send, serve, until};
use crate::helpers::{ask, completion, three};

#[actix_rt::test]
async fn a_planned_stop_cuts_no_request_even_when_asked_twice() {
    // The instance is told to stop, twice, while it answers. It ends the answer, takes nothing
    // new, is handed out no more, and exits with 0.
    let platform = Platform::start(1).await;
    let mut daemons = three(&platform, 1).await;
    let address = daemons[0].caller_address.clone();
    let asking = actix_rt::spawn(async move { ask(&address, "stop", 200).await });
    until("the engine has begun", || async {
        platform.engines[0].unfinished_requests() > 0
    })
    .await;
    daemons[0].signal(libc::SIGTERM);
    daemons[0].signal(libc::SIGTERM);
    let other = daemons[1].caller_address.clone();
    let leaving = daemons[0].caller_address.clone();
    until("it is handed out no more", || async {
        let lookup = send("GET", &other, "/v1/lookup", "", &[], "")
            .await
            .expect("a lookup");
        !lookup.text().contains(&leaving)
    })
    .await;
    let reply = asking.await.expect("the task ends");
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert_eq!(
        reply.json()["choices"][0]["text"],
        expected_text("stop", 200)
    );
    assert_eq!(daemons[0].ended().await, Some(0));
}

/// Sends one request on an open connection and gives the first line of its answer.
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
async fn a_connection_kept_open_brings_a_leaving_instance_nothing_new() {
    // A caller keeps its connection open while the instance leaves. The listener is closed after
    // the grace, but this connection is not: a request on it is refused as not run, while the
    // answer that was under way comes whole.
    let platform = Platform::start(1).await;
    let daemon = serve(&platform).await;
    let address = daemon.caller_address.clone();
    let mut kept = std::net::TcpStream::connect(&address).expect("a connection");
    let line = exchange(&mut kept, "GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n");
    assert!(line.starts_with("HTTP/1.1 200"), "{line}");
    let asking = actix_rt::spawn(async move { ask(&address, "leave", 400).await });
    until("the engine has begun", || async {
        platform.engines[0].unfinished_requests() > 0
    })
    .await;
    daemon.signal(libc::SIGTERM);
    until("the listener is closed", || async {
        std::net::TcpStream::connect(&daemon.caller_address).is_err()
    })
    .await;
    let request =
        format!("GET /v1/models HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {MEMBER_KEY}\r\n\r\n");
    let line = exchange(&mut kept, &request);
    assert!(line.starts_with("HTTP/1.1 503"), "{line}");
    let reply = asking.await.expect("the task ends");
    assert_eq!(
        reply.json()["choices"][0]["text"],
        expected_text("leave", 400)
    );
}

#[actix_rt::test]
async fn the_rest_of_an_answer_comes_from_another_instance_after_a_kill() {
    // The caller streams from an instance that is killed with SIGKILL. It asks another instance
    // for the rest with the token it was given and the last number it has, and gets every token
    // once.
    let platform = Platform::start(1).await;
    let mut daemons = three(&platform, 1).await;
    let first = daemons[0].caller_address.clone();
    let tokens = 120;
    let client = awc::Client::builder().disable_timeout().finish();
    let mut response = client
        .post(format!("http://{first}/v1/completions"))
        .bearer_auth(MEMBER_KEY)
        .send_body(completion("kill", tokens, true))
        .await
        .expect("a stream");
    let mut seen = String::new();
    while seen.matches("\ndata: ").count() < 5 {
        let chunk = futures_util::StreamExt::next(&mut response).await;
        let chunk = chunk.expect("more").expect("bytes");
        seen.push_str(&String::from_utf8_lossy(&chunk));
    }
    daemons[0].kill();
    let mut events = events(&seen);
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

/// Number, text and token of each whole token event.
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
