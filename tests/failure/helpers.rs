//! Requests and deployments of the failure tests.

use serde_json::json;

use crate::common::{
    Daemon, MEMBER_KEY, MODEL, Platform, Reply, roll, send, wait_discovered, wait_ready,
};

/// Creates the body of a completion request.
pub fn completion(prompt: &str, tokens: u32, stream: bool) -> String {
    let body = json!({ "model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": stream });
    body.to_string()
}

/// Requests a completion and waits for the complete answer.
pub async fn complete(address: &str, prompt: &str, tokens: u32) -> Reply {
    let body = completion(prompt, tokens, false);
    let reply = send("POST", address, "/v1/completions", MEMBER_KEY, &[], body).await;
    reply.expect("an answer")
}

/// Creates an idempotency key whose home is the instance at this address.
pub async fn idempotency_key(address: &str, suffix: &str) -> String {
    let lookup = send("GET", address, "/v1/lookup", "", &[], "")
        .await
        .expect("a lookup")
        .json();
    let prefix = lookup["key_prefix"]
        .as_str()
        .expect("the instance has a witness")
        .to_owned();
    format!("{prefix}{suffix}")
}

/// Sends an at-most-once call; returns `None` if the connection failed.
pub async fn claim(
    address: &str,
    idempotency_key: &str,
    body: &str,
    deadline_ms: &str,
) -> Option<Reply> {
    let headers = [
        ("idempotency-key", idempotency_key),
        ("x-deadline-ms", deadline_ms),
    ];
    send(
        "POST",
        address,
        "/v1/services/claimdesk/claim",
        MEMBER_KEY,
        &headers,
        body,
    )
    .await
}

/// Starts three instances in different zones and waits until they have discovered each other and
/// the engines.
pub async fn start_three(platform: &Platform, engines: usize) -> Vec<Daemon> {
    let mut daemons = Vec::new();
    for (name, zone) in [
        ("entry-1", "salt-lake"),
        ("entry-2", "howrah"),
        ("entry-3", "garia"),
    ] {
        daemons.push(Daemon::start(name, zone, platform));
    }
    for daemon in &daemons {
        wait_ready(&daemon.caller_address).await;
    }
    roll(&daemons[0].caller_address, 1).await;
    for daemon in &daemons {
        wait_discovered(&daemon.caller_address, 3, engines).await;
    }
    daemons
}
