//! Round trips of the codecs, and decoding of arbitrary and corrupted bytes.

use proptest::prelude::*;
use wire::{
    Body, BundlePublished, BundleRef, Condition, EngineLoad, Heartbeat, LeaseClaimed, LeaseRef,
    OrderKind, OrderPlaced, OrderSettled, Origin, Record, Snapshot,
};

fn text() -> impl Strategy<Value = String> {
    "[a-z0-9/._-]{0,24}"
}

fn kind() -> impl Strategy<Value = OrderKind> {
    prop_oneof![
        Just(OrderKind::Role),
        Just(OrderKind::Load),
        Just(OrderKind::Unload)
    ]
}

fn body() -> impl Strategy<Value = Body> {
    let bundle_ref =
        || (any::<u64>(), text()).prop_map(|(version, digest)| BundleRef { version, digest });
    let lease = || {
        (text(), any::<u64>()).prop_map(|(group, fencing_token)| LeaseRef {
            group,
            fencing_token,
        })
    };
    prop_oneof![
        (any::<u64>(), any::<u64>(), text(), ".{0,200}").prop_map(
            |(version, base, digest, text)| {
                Body::BundlePublished(BundlePublished {
                    version,
                    base,
                    digest,
                    text,
                })
            }
        ),
        bundle_ref().prop_map(Body::BundleSigned),
        bundle_ref().prop_map(Body::BundleRolled),
        bundle_ref().prop_map(Body::BundleWithdrawn),
        text().prop_map(Body::EngineDrained),
        text().prop_map(Body::EngineUndrained),
        (text(), any::<u64>(), any::<u64>()).prop_map(|(group, supersedes, ttl_ms)| {
            Body::LeaseClaimed(LeaseClaimed {
                group,
                supersedes,
                ttl_ms,
            })
        }),
        lease().prop_map(Body::LeaseRenewed),
        lease().prop_map(Body::LeaseReleased),
        (text(), any::<u64>(), text(), kind(), text()).prop_map(
            |(group, fencing_token, engine, kind, argument)| {
                Body::OrderPlaced(OrderPlaced {
                    group,
                    fencing_token,
                    engine,
                    kind,
                    argument,
                })
            }
        ),
        (text(), any::<u64>(), any::<bool>()).prop_map(|(engine, order, done)| {
            Body::OrderSettled(OrderSettled {
                engine,
                order,
                done,
            })
        }),
    ]
}

fn record() -> impl Strategy<Value = Record> {
    (
        text(),
        any::<u64>(),
        any::<u64>(),
        any::<u64>(),
        text(),
        body(),
    )
        .prop_map(
            |(writer, incarnation, sequence, wall_ms, actor, body)| Record {
                origin: Origin {
                    writer,
                    incarnation,
                    sequence,
                },
                wall_ms,
                actor,
                body,
            },
        )
}

fn heartbeat() -> impl Strategy<Value = Heartbeat> {
    let load = (text(), any::<u64>()).prop_map(|(engine, tokens)| EngineLoad {
        engine,
        at_ms: tokens,
        prompt_tokens: vec![tokens, 1, 2],
        output_tokens: tokens,
        waiting: vec![1, 0, tokens],
        running: tokens,
    });
    let loads = proptest::option::of(proptest::collection::vec(load, 0..4));
    (text(), any::<u64>(), loads, 0.0..1e9_f64).prop_map(|(instance, number, sent_load, rate)| {
        Heartbeat {
            instance,
            incarnation: number,
            zone: "zone".to_owned(),
            condition: Condition::Ready,
            applied_offset: number,
            epoch: number,
            caller_address: "127.0.0.1:1".to_owned(),
            sent_load,
            bundle_version: number,
            prompt_rate: rate,
            output_rate: rate,
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        ..ProptestConfig::default()
    })]

    #[test]
    fn an_encoded_record_decodes_to_the_same_record(record in record()) {
        prop_assert_eq!(Record::decode(&record.encode()), Ok(record));
    }

    #[test]
    fn an_encoded_heartbeat_decodes_to_the_same_heartbeat(heartbeat in heartbeat()) {
        prop_assert_eq!(Heartbeat::decode(&heartbeat.encode()), Ok(heartbeat));
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let _ = Record::decode(&bytes);
        let _ = Heartbeat::decode(&bytes);
        let _ = Snapshot::decode(&bytes);
    }

    #[test]
    fn records_with_a_flipped_bit_or_cut_short_do_not_panic(record in record(), place in any::<prop::sample::Index>(), bit in 0..8_u8) {
        let mut bytes = record.encode();
        let place = place.index(bytes.len());
        bytes[place] ^= 1 << bit;
        let _ = Record::decode(&bytes);
        let _ = Record::decode(&bytes[..place]);
    }
}

#[test]
fn a_rate_that_is_not_a_number_is_rejected_with_its_field() {
    let heartbeat = Heartbeat {
        instance: "a".to_owned(),
        incarnation: 1,
        zone: "z".to_owned(),
        condition: Condition::Ready,
        applied_offset: 0,
        epoch: 1,
        caller_address: String::new(),
        sent_load: None,
        bundle_version: 0,
        prompt_rate: f64::NAN,
        output_rate: 0.0,
    };
    let error = Heartbeat::decode(&heartbeat.encode()).expect_err("a NaN rate is rejected");
    assert!(error.to_string().contains("beat.promptRate"), "{error}");
}
