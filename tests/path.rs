//! End-to-end tests with real processes: publishing bundles and answering completions.

mod common;

use common::{Daemon, MEMBER_KEY, MODEL, Platform, admin, bundle, send, start_serving, wait_ready};
use serde_json::json;

#[actix_rt::test]
async fn a_bundle_is_published_and_a_completion_is_answered_completely() {
    let platform = Platform::start(2).await;
    let daemon = start_serving(&platform).await;
    let address = daemon.caller_address.clone();

    let prompt = "grade today's manifest";
    let body = json!({ "model": MODEL, "prompt": prompt, "max_tokens": 12 });
    let reply = send(
        "POST",
        &address,
        "/v1/completions",
        MEMBER_KEY,
        &[],
        body.to_string(),
    )
    .await;
    let reply = reply.expect("an answer");
    assert_eq!(reply.status, 200, "{}", reply.text());
    let expected = chicoryrack::standin::expected_text(prompt, 12);
    assert_eq!(reply.json()["choices"][0]["text"], expected);
    assert_eq!(reply.json()["usage"]["completion_tokens"], 12);

    let body = json!({
        "model": MODEL,
        "messages": [{ "role": "user", "content": "is it fresh?" }],
        "max_tokens": 5,
        "stream": true,
    });
    let reply = send(
        "POST",
        &address,
        "/v1/chat/completions",
        MEMBER_KEY,
        &[],
        body.to_string(),
    );
    let text = reply.await.expect("an answer").text();
    assert_eq!(text.matches("\"delta\"").count(), 6, "{text}");
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
}

#[actix_rt::test]
async fn of_two_racing_bundles_one_is_accepted_and_the_other_learns_the_winner() {
    // Two operators publish version 1 at different instances at the same time. Both records reach
    // the log. Every instance accepts the first and refuses the second, so one operator gets 200
    // and the other gets 409 with the digest of the accepted bundle.
    let platform = Platform::start(1).await;
    let one = Daemon::start("entry-1", "salt-lake", &platform);
    let two = Daemon::start("entry-2", "howrah", &platform);
    wait_ready(&one.caller_address).await;
    wait_ready(&two.caller_address).await;
    let mut other = bundle(1);
    other["policy"] = json!({ "role_change_weight": 0.9 });
    let (first, second) = tokio::join!(
        admin(
            &one.caller_address,
            "POST",
            "bundles",
            bundle(1).to_string()
        ),
        admin(&two.caller_address, "POST", "bundles", other.to_string()),
    );
    let mut statuses = [first.status, second.status];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409]);
    let (winner, loser) = if first.status == 200 {
        (first, second)
    } else {
        (second, first)
    };
    let digest = winner.json()["digest"].as_str().unwrap_or_default()[..12].to_owned();
    let outcome = loser.json()["outcome"]
        .as_str()
        .unwrap_or_default()
        .to_owned();
    assert!(outcome.contains(&digest), "{outcome}");
}
