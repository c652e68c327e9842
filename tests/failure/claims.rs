//! At-most-once calls when the home is asked twice, is killed or is paused.

use chicoryrack::standin::ServiceFaults;

use crate::common::{Platform, wait_until};
use crate::helpers::{claim, idempotency_key, start_three};

#[actix_rt::test]
async fn a_retried_claim_gets_the_same_answer_and_does_not_run_again() {
    // The caller sends a claim twice with one key, to the home and to another instance. Both
    // answers are the same and the service runs the claim once. A different body with the same key
    // is refused.
    let platform = Platform::start(1).await;
    let daemons = start_three(&platform, 1).await;
    let key = idempotency_key(&daemons[0].caller_address, "a").await;
    let first = claim(&daemons[0].caller_address, &key, "lot 1", "4000")
        .await
        .expect("an answer");
    let second = claim(&daemons[1].caller_address, &key, "lot 1", "4000")
        .await
        .expect("an answer");
    assert_eq!(
        (first.status, second.status),
        (200, 200),
        "{}",
        second.text()
    );
    assert_eq!(first.body, second.body);
    assert_eq!(platform.service.effects()["/claim lot 1"], 1);
    let other = claim(&daemons[2].caller_address, &key, "lot 2", "4000")
        .await
        .expect("an answer");
    assert_eq!(other.status, 422, "{}", other.text());
    assert!(!platform.service.effects().contains_key("/claim lot 2"));
}

#[actix_rt::test]
async fn a_claim_whose_home_was_killed_before_dispatch_is_fenced_and_never_runs() {
    // The home is killed before it receives the claim. Another instance asks the witness, which
    // fences the key. The caller gets `not_run` with a prefix for a new key, with which the claim
    // runs once.
    let platform = Platform::start(1).await;
    let mut daemons = start_three(&platform, 1).await;
    let key = idempotency_key(&daemons[0].caller_address, "b").await;
    let witness = key
        .split('~')
        .nth(1)
        .and_then(|place| place.split(':').next())
        .expect("a witness");
    let other = daemons
        .iter()
        .position(|daemon| daemon.name != "entry-1" && daemon.name != witness);
    let other = daemons[other.expect("a third instance")]
        .caller_address
        .clone();
    daemons[0].kill();
    let refused = claim(&other, &key, "lot 3", "4000")
        .await
        .expect("an answer");
    assert_eq!(refused.json()["ran"], "not_run", "{}", refused.text());
    let retried = claim(&other, &key, "lot 3", "4000")
        .await
        .expect("an answer");
    assert_eq!(retried.json()["ran"], "not_run", "{}", retried.text());
    assert!(platform.service.effects().is_empty());
    let prefix = retried.json()["key_prefix"]
        .as_str()
        .unwrap_or_default()
        .to_owned();
    let fresh = claim(&other, &format!("{prefix}b2"), "lot 3", "4000")
        .await
        .expect("an answer");
    assert_eq!(fresh.status, 200, "{}", fresh.text());
    assert_eq!(platform.service.effects()["/claim lot 3"], 1);
}

#[actix_rt::test]
async fn a_claim_whose_home_is_paused_during_the_call_runs_at_most_once() {
    // The home is paused with SIGSTOP after it has dispatched the claim. The caller retries at
    // another instance, which cannot reach the home. The witness has granted the key, so that
    // instance answers `unknown` and dispatches nothing. When the home resumes, it answers the
    // original call.
    let platform = Platform::start(1).await;
    let daemons = start_three(&platform, 1).await;
    let key = idempotency_key(&daemons[0].caller_address, "c").await;
    platform.service.set_faults(ServiceFaults {
        slow_ms: 800,
        lose_answers: false,
    });
    let (address, home_key) = (daemons[0].caller_address.clone(), key.clone());
    let pending =
        actix_rt::spawn(async move { claim(&address, &home_key, "lot 4", "20000").await });
    wait_until("the claim runs", || async {
        !platform.service.effects().is_empty()
    })
    .await;
    daemons[0].signal(libc::SIGSTOP);
    let other = claim(&daemons[1].caller_address, &key, "lot 4", "1000")
        .await
        .expect("an answer");
    assert_eq!(other.json()["ran"], "unknown", "{}", other.text());
    daemons[0].signal(libc::SIGCONT);
    let first = pending.await.expect("the task ends").expect("an answer");
    assert_eq!(first.status, 200, "{}", first.text());
    assert_eq!(platform.service.effects()["/claim lot 4"], 1);
}
