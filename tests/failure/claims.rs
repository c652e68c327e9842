//! Calls that may run once, whose home is asked twice, dies or is paused.

use chicoryrack::standin::ServiceFaults;

use crate::common::{Platform, until};
use crate::helpers::{claim, key, three};

#[actix_rt::test]
async fn a_retry_of_a_claim_gets_the_same_answer_and_runs_nothing() {
    // The caller asks twice under one key, at the home and at another instance. Both answers
    // are the same and the service ran the claim once. Another body under the key is refused.
    let platform = Platform::start(1).await;
    let daemons = three(&platform, 1).await;
    let key = key(&daemons[0].caller_address, "a").await;
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
async fn a_claim_whose_home_died_before_it_is_closed_and_truly_never_runs() {
    // The home is killed before it hears of the claim. Another instance asks the witness, which
    // closes the key: the caller is told `not_run` and gets a prefix for a new key, under which
    // the claim runs once.
    let platform = Platform::start(1).await;
    let mut daemons = three(&platform, 1).await;
    let key = key(&daemons[0].caller_address, "b").await;
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
    let again = claim(&other, &key, "lot 3", "4000")
        .await
        .expect("an answer");
    assert_eq!(again.json()["ran"], "not_run", "{}", again.text());
    assert!(platform.service.effects().is_empty());
    let prefix = again.json()["key_prefix"]
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
async fn a_claim_whose_home_is_paused_in_its_midst_runs_at_most_once() {
    // The home is stopped with SIGSTOP after it has dispatched the claim. The caller asks
    // another instance, which cannot reach the home; the witness has noted the key, so it says
    // `unknown` and runs nothing. When the home wakes up, the same key gets its answer.
    let platform = Platform::start(1).await;
    let daemons = three(&platform, 1).await;
    let key = key(&daemons[0].caller_address, "c").await;
    platform.service.set_faults(ServiceFaults {
        slow_ms: 800,
        lose_answers: false,
    });
    let (address, own) = (daemons[0].caller_address.clone(), key.clone());
    let asking = actix_rt::spawn(async move { claim(&address, &own, "lot 4", "20000").await });
    until("the claim runs", || async {
        !platform.service.effects().is_empty()
    })
    .await;
    daemons[0].signal(libc::SIGSTOP);
    let other = claim(&daemons[1].caller_address, &key, "lot 4", "1000")
        .await
        .expect("an answer");
    assert_eq!(other.json()["ran"], "unknown", "{}", other.text());
    daemons[0].signal(libc::SIGCONT);
    let first = asking.await.expect("the task ends").expect("an answer");
    assert_eq!(first.status, 200, "{}", first.text());
    assert_eq!(platform.service.effects()["/claim lot 4"], 1);
}
