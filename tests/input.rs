//! Malformed input to a real instance is answered with a 4xx status that names the field, and does
//! not disturb other requests.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use common::{MEMBER_KEY, MODEL, Platform, admin, bundle, send, start_serving};
use serde_json::json;

/// Name, API key, headers and body.
type Case = (
    &'static str,
    &'static str,
    &'static [(&'static str, &'static str)],
    String,
);

#[actix_rt::test]
async fn malformed_requests_are_refused_with_the_field_named() {
    let platform = Platform::start(1).await;
    let daemon = start_serving(&platform).await;
    let address = &daemon.caller_address;
    let good = json!({ "model": MODEL, "prompt": "p", "max_tokens": 2 }).to_string();
    let cases: Vec<Case> = vec![
        ("not JSON", MEMBER_KEY, &[], "{".to_owned()),
        (
            "wrong type",
            MEMBER_KEY,
            &[],
            json!({ "model": 7 }).to_string(),
        ),
        (
            "no prompt",
            MEMBER_KEY,
            &[],
            json!({ "model": MODEL }).to_string(),
        ),
        (
            "no model",
            MEMBER_KEY,
            &[],
            json!({ "prompt": "p" }).to_string(),
        ),
        (
            "unknown model",
            MEMBER_KEY,
            &[],
            json!({ "model": "x", "prompt": "p" }).to_string(),
        ),
        (
            "no tokens",
            MEMBER_KEY,
            &[],
            json!({ "model": MODEL, "prompt": "p", "max_tokens": 0 }).to_string(),
        ),
        (
            "too many tokens",
            MEMBER_KEY,
            &[],
            json!({ "model": MODEL, "prompt": "p", "max_tokens": 513 }).to_string(),
        ),
        ("oversized", MEMBER_KEY, &[], "x".repeat(70_000)),
        ("wrong key", "nobody", &[], good.clone()),
        (
            "unknown class",
            MEMBER_KEY,
            &[("x-request-class", "vip")],
            good.clone(),
        ),
        (
            "deadline in words",
            MEMBER_KEY,
            &[("x-deadline-ms", "soon")],
            good.clone(),
        ),
        (
            "no deadline",
            MEMBER_KEY,
            &[("x-deadline-ms", "0")],
            good.clone(),
        ),
    ];
    let mut seen = Vec::new();
    for (name, key, headers, body) in cases {
        let reply = send("POST", address, "/v1/completions", key, headers, body).await;
        let reply = reply.expect("an answer");
        let body = reply.json();
        let message = body["error"]["message"]
            .as_str()
            .unwrap_or_default()
            .to_owned();
        assert!(
            (400..500).contains(&reply.status),
            "{name}: {}",
            reply.status
        );
        seen.push(format!(
            "{name}: {} {} {message}",
            reply.status, body["ran"]
        ));
    }
    insta::assert_snapshot!(seen.join("\n"));
    let reply = send("POST", address, "/v1/completions", MEMBER_KEY, &[], good).await;
    assert_eq!(reply.expect("an answer").status, 200);
}

#[actix_rt::test]
async fn malformed_keys_and_bundles_are_refused_with_the_field_named() {
    let platform = Platform::start(1).await;
    let daemon = start_serving(&platform).await;
    let address = &daemon.caller_address;
    let mut seen = Vec::new();
    for key in ["", "abc", "a:1:1~b:2:1~", "a:1:1~a:2:1~x", "a:zz:1~b:2:1~x"] {
        let headers = [("idempotency-key", key)];
        let path = "/v1/services/claimdesk/claim";
        let reply = send("POST", address, path, MEMBER_KEY, &headers, "lot")
            .await
            .expect("an answer");
        let body = reply.json();
        seen.push(format!(
            "key `{key}`: {} {}",
            reply.status, body["error"]["message"]
        ));
    }
    let mut wrong = bundle(2);
    wrong["classes"][0]["deadline_ms"] = json!(0);
    wrong["members"][0]["workspaces"][0]["key_sha256"] = json!("short");
    wrong["policy"] = json!({ "role_change_weight": 3.0 });
    for (name, text) in [
        ("three wrong fields", wrong.to_string()),
        (
            "unknown field",
            bundle(2).to_string().replace("\"share\"", "\"shares\""),
        ),
        ("not JSON", "{".to_owned()),
    ] {
        let reply = admin(address, "POST", "bundles", text).await;
        seen.push(format!("bundle, {name}: {} {}", reply.status, reply.text()));
    }
    insta::assert_snapshot!(seen.join("\n"));
    assert!(platform.service.effects().is_empty());
}

/// Sends raw bytes and returns the first line of the response; empty if the connection closes.
fn send_raw(address: &str, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).expect("the instance listens");
    stream
        .set_read_timeout(Some(Duration::from_secs(30)))
        .expect("a timeout can be set");
    stream.write_all(bytes).expect("the instance reads");
    let mut answer = [0; 64];
    let read = stream.read(&mut answer).unwrap_or(0);
    let text = String::from_utf8_lossy(&answer[..read]).into_owned();
    text.lines().next().unwrap_or_default().to_owned()
}

#[actix_rt::test]
async fn broken_and_slow_clients_do_not_block_the_instance() {
    // One client stops in the middle of its body, one sends invalid UTF-8 and one does not speak
    // HTTP. Each gets its own error, and a valid request is answered in the meantime.
    let platform = Platform::start(1).await;
    let daemon = start_serving(&platform).await;
    let address = daemon.caller_address.clone();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {MEMBER_KEY}\r\ncontent-length: 40\r\n\r\n"
    );
    let half = [head.as_bytes(), b"{\"model\":"].concat();
    let not_utf8 = [head.as_bytes(), &[0xff; 40]].concat();
    let slow_address = address.clone();
    let slow = std::thread::spawn(move || send_raw(&slow_address, &half));
    let good = json!({ "model": MODEL, "prompt": "p", "max_tokens": 2 }).to_string();
    let reply = send("POST", &address, "/v1/completions", MEMBER_KEY, &[], good).await;
    assert_eq!(reply.expect("an answer").status, 200);
    let not_utf8_address = address.clone();
    let not_utf8 = std::thread::spawn(move || send_raw(&not_utf8_address, &not_utf8));
    let no_http = std::thread::spawn(move || send_raw(&address, b"hello\r\n\r\n"));
    assert!(
        slow.join()
            .expect("the client thread ends")
            .starts_with("HTTP/1.1 408"),
        "slow"
    );
    assert!(
        not_utf8
            .join()
            .expect("the client thread ends")
            .starts_with("HTTP/1.1 400"),
        "not UTF-8"
    );
    assert!(
        no_http
            .join()
            .expect("the client thread ends")
            .starts_with("HTTP/1.1 400"),
        "no HTTP"
    );
}

#[actix_rt::test]
async fn an_idle_instance_uses_less_than_32_mib() {
    let platform = Platform::start(1).await;
    let daemon = start_serving(&platform).await;
    let rss_kb = daemon.resident_kb();
    println!("resident: {rss_kb} kB");
    assert!(rss_kb > 0 && rss_kb < 32_768, "{rss_kb} kB");
}
