//! What the failure tests ask, and of whom.

use serde_json::json;

use crate::common::{Daemon, MEMBER_KEY, MODEL, Platform, Reply, knows, ready, roll, send};

/// A completion as a body.
pub fn completion(prompt: &str, tokens: u32, stream: bool) -> String {
    let body = json!({ "model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": stream });
    body.to_string()
}

/// Asks for a completion and waits for its whole answer.
pub async fn ask(address: &str, prompt: &str, tokens: u32) -> Reply {
    let body = completion(prompt, tokens, false);
    let reply = send("POST", address, "/v1/completions", MEMBER_KEY, &[], body).await;
    reply.expect("an answer")
}

/// An idempotency key that names the instance as the home of its call.
pub async fn key(address: &str, own: &str) -> String {
    let lookup = send("GET", address, "/v1/lookup", "", &[], "")
        .await
        .expect("a lookup")
        .json();
    let prefix = lookup["key_prefix"]
        .as_str()
        .expect("a witness is there")
        .to_owned();
    format!("{prefix}{own}")
}

/// Sends a call that may run once; gives nothing if its connection broke.
pub async fn claim(address: &str, key: &str, body: &str, deadline_ms: &str) -> Option<Reply> {
    let headers = [("idempotency-key", key), ("x-deadline-ms", deadline_ms)];
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

/// Three instances in as many zones that know each other and the engines.
pub async fn three(platform: &Platform, engines: usize) -> Vec<Daemon> {
    let mut daemons = Vec::new();
    for (name, zone) in [
        ("entry-1", "salt-lake"),
        ("entry-2", "howrah"),
        ("entry-3", "garia"),
    ] {
        daemons.push(Daemon::start(name, zone, platform));
    }
    for daemon in &daemons {
        ready(&daemon.caller_address).await;
    }
    roll(&daemons[0].caller_address, 1).await;
    for daemon in &daemons {
        knows(&daemon.caller_address, 3, engines).await;
    }
    daemons
}
