//! Failures of the log: unavailable, losing answers, or without its older records.

use chicoryrack::standin::{LogFaults, expected_text};
use serde_json::json;

use crate::common::{
    Daemon, Platform, admin, bundle, send, start_serving, wait_discovered, wait_ready, wait_until,
};
use crate::helpers::{claim, complete, idempotency_key, start_three};

#[actix_rt::test]
async fn a_bundle_stays_in_force_and_reaches_a_new_instance_while_the_log_is_down() {
    // The log becomes unavailable after a roll. Completions and claims still work, publishing is
    // refused as not run, and an instance that starts now learns the bundle from a peer.
    let platform = Platform::start(1).await;
    let daemons = start_three(&platform, 1).await;
    platform.log.set_faults(LogFaults {
        down: true,
        ..LogFaults::default()
    });
    let first = daemons[0].caller_address.clone();
    wait_until("the instance refuses to publish", || async {
        let reply = admin(&first, "POST", "bundles", bundle(2).to_string()).await;
        reply.status == 503 && reply.json()["ran"] == "not_run"
    })
    .await;
    let new = Daemon::start("entry-4", "salt-lake", &platform);
    wait_ready(&new.caller_address).await;
    let status = admin(&new.caller_address, "GET", "status", "").await.json();
    assert_eq!(status["version"], 1, "{status}");
    assert_ne!(status["learned_from"], "log");
    wait_discovered(&new.caller_address, 4, 1).await;
    let reply = complete(&new.caller_address, "log down", 5).await;
    assert_eq!(
        reply.json()["choices"][0]["text"],
        expected_text("log down", 5)
    );
    let key = idempotency_key(&first, "d").await;
    let claimed = claim(&first, &key, "lot 5", "4000")
        .await
        .expect("an answer");
    assert_eq!(claimed.status, 200, "{}", claimed.text());
}

#[actix_rt::test]
async fn an_append_whose_answer_is_lost_takes_effect_once() {
    // The log accepts every record but loses every answer. The instance repeats the append until it
    // reads the record back, and readers ignore the duplicates. The operator sees one accepted
    // bundle.
    let platform = Platform::start(1).await;
    let daemon = Daemon::start("entry-1", "salt-lake", &platform);
    wait_ready(&daemon.caller_address).await;
    platform.log.set_faults(LogFaults {
        lose_answers: true,
        ..LogFaults::default()
    });
    let reply = admin(
        &daemon.caller_address,
        "POST",
        "bundles",
        bundle(1).to_string(),
    )
    .await;
    assert_eq!(reply.status, 200, "{}", reply.text());
    let audit = admin(&daemon.caller_address, "GET", "audit", "")
        .await
        .json();
    let published = audit.as_array().into_iter().flatten();
    let published = published.filter(|entry| {
        entry["action"]
            .as_str()
            .is_some_and(|action| action.starts_with("publish"))
    });
    assert_eq!(published.count(), 1, "{audit}");
}

#[actix_rt::test]
async fn a_new_instance_learns_the_bundle_from_a_snapshot_when_the_log_has_dropped_the_roll() {
    // Drains and undrains are recorded until the log no longer retains the roll of the bundle in
    // force. The instance has written snapshots in the meantime. After it is killed, a new instance
    // has no peer and must find the bundle in a snapshot.
    let platform = Platform::start(1).await;
    let mut first = start_serving(&platform).await;
    for _ in 0..60 {
        for verb in ["drain", "undrain"] {
            let path = format!("engines/engine-1/{verb}");
            let reply = admin(&first.caller_address, "POST", &path, "").await;
            assert_eq!(reply.status, 200, "{}", reply.text());
        }
    }
    let address = first.caller_address.clone();
    wait_until("the last snapshot is near the end of the log", || async {
        let metrics = send("GET", &address, "/metrics", "", &[], "")
            .await
            .expect("metrics")
            .text();
        let mut lines = metrics
            .lines()
            .filter(|line| line.contains("records_since_snapshot{"));
        let since = lines
            .next()
            .and_then(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
        since.is_some_and(|since| since < 16)
    })
    .await;
    first.kill();
    platform.log.set_faults(LogFaults {
        keep_records: 64,
        ..LogFaults::default()
    });
    let new = Daemon::start("entry-9", "howrah", &platform);
    wait_ready(&new.caller_address).await;
    let status = admin(&new.caller_address, "GET", "status", "").await.json();
    assert_eq!(
        (&status["version"], &status["learned_from"]),
        (&json!(1), &json!("log")),
        "{status}"
    );
    let audit = admin(&new.caller_address, "GET", "audit", "").await.text();
    assert!(audit.contains("roll bundle 1"), "{audit}");
}
