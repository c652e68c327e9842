//! Parsing and expiry of idempotency keys, and the rules of home and witness.

use once::{
    Admission, EPOCH_MS, EpochCounter, Home, IdempotencyKey, InstanceEpoch, RETAINED_EPOCHS,
    Witness,
};
use proptest::prelude::*;
use wire::{CallState, ClaimVerdict};

fn instance_epoch(instance: &str, incarnation: u64, epoch: u64) -> InstanceEpoch {
    InstanceEpoch {
        instance: instance.to_owned(),
        incarnation,
        epoch,
    }
}

fn key(epoch: u64) -> IdempotencyKey {
    IdempotencyKey {
        home: instance_epoch("home", 1, epoch),
        witness: instance_epoch("witness", 2, epoch),
        suffix: "own".to_owned(),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(4),
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_formatted_key_parses_to_the_same_key(
        home in "[a-z0-9._-]{1,12}", witness in "[A-Z]{1,12}", one in any::<u64>(), two in any::<u64>(),
        suffix in "[!-~]{1,40}",
    ) {
        let key = IdempotencyKey { home: instance_epoch(&home, one, two), witness: instance_epoch(&witness, two, one), suffix };
        prop_assert_eq!(key.to_string().parse::<IdempotencyKey>(), Ok(key));
    }

    #[test]
    fn arbitrary_text_does_not_panic(text in ".{0,300}") {
        let _ = text.parse::<IdempotencyKey>();
    }
}

#[test]
fn a_retry_after_its_record_is_dropped_is_refused() {
    // The caller retries after the record was dropped. If the key were treated as new, the call
    // would run a second time; it must be refused because its epoch is too old.
    let epochs = EpochCounter::new(0);
    let mut home = Home::new("home", 1, epochs);
    assert_eq!(home.admit(0, &key(1), [0; 32]), Admission::AskWitness);
    assert!(home.record_verdict(&key(1), Some(ClaimVerdict::Granted)));
    let later_ms = RETAINED_EPOCHS * EPOCH_MS;
    home.expire(later_ms);
    assert!(home.is_empty());
    let Admission::Known(status) = home.admit(later_ms, &key(1), [0; 32]) else {
        panic!("the key was treated as new");
    };
    assert_eq!(status.state, CallState::Expired);
}

#[test]
fn the_first_request_to_the_witness_is_final() {
    let epochs = EpochCounter::new(0);
    let mut witness = Witness::new("witness", 2, epochs);
    assert_eq!(witness.fence(0, &key(1), [0; 32]).state, CallState::Unseen);
    assert_eq!(witness.claim(0, &key(1), [0; 32]), ClaimVerdict::Fenced);
    let other = IdempotencyKey {
        suffix: "other".to_owned(),
        ..key(1)
    };
    assert_eq!(witness.claim(0, &other, [0; 32]), ClaimVerdict::Granted);
    assert_eq!(witness.fence(0, &other, [0; 32]).state, CallState::Unknown);
    assert_eq!(witness.fence(0, &other, [1; 32]).state, CallState::Conflict);
}

#[test]
fn an_incarnation_does_not_answer_for_an_earlier_one() {
    let epochs = EpochCounter::new(0);
    let mut witness = Witness::new("witness", 3, epochs);
    assert_eq!(witness.claim(0, &key(1), [0; 32]), ClaimVerdict::Foreign);
    let mut home = Home::new("home", 9, epochs);
    let Admission::Known(status) = home.admit(0, &key(1), [0; 32]) else {
        panic!("a key of another incarnation was admitted");
    };
    assert_eq!(status.state, CallState::Foreign);
}
