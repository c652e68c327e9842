//! The form of a datagram on the wire.

use view::{
    GossipMessage, GossipedChange, InstanceKey, ListChange, Load, LogPosition, Member, MessageKind,
    PendingRoleChange, PrefillProgress, PrefilledPart, ReadId, ServiceDemand, Stage, UpstreamKey,
    decode, encode,
};

fn told() -> GossipMessage {
    let key = |each: u8| UpstreamKey::of(&format!("i-520360d7d{each}"), 1_700_000_000_000);
    let loads = (0..9).map(|each| {
        let load = Load {
            requests: 3,
            queue: [(1, 5_400), (5, 31_000)].into_iter().collect(),
            context: 51_000,
        };
        (key(each), load)
    });
    let reads = (0..9).map(|each| PrefilledPart {
        upstream: key(each),
        part: 0x5c1e_07a2,
        tokens: 13_300,
        progress: if each % 2 == 0 {
            PrefillProgress::Done
        } else {
            PrefillProgress::Begun
        },
    });
    GossipMessage {
        loads: loads.collect(),
        prefilled_parts: reads.collect(),
        role_changes: vec![PendingRoleChange {
            upstream: key(0),
            stage: Stage::Prefill,
            remaining_ms: 5_900,
        }],
        demand: vec![ServiceDemand {
            service: "llm".to_owned(),
            prefill_engines: 3.5,
            decode_engines: 1.25,
            requests_per_s: 44.0,
        }],
        alive: vec![InstanceKey::of("front-salt-lake-1")],
        last_order_token: Some(7),
        list_position: Some(mark(840_123, 240)),
        config_position: Some(mark(17, 612)),
        ..GossipMessage::new(InstanceKey::of("front-salt-lake-1"), MessageKind::Sum)
    }
}

fn mark(end: u64, age_ms: u32) -> LogPosition {
    LogPosition {
        read_id: ReadId {
            reader: InstanceKey::of("front-garia-2"),
            at_ms: 86_400_000,
        },
        end,
        last_change: end - 9,
        age_ms,
    }
}

/// A datagram comes back as it was sent, and is shorter than one that names each upstream once.
#[test]
fn a_datagram_comes_back_as_it_was() {
    let bytes = encode(told()).unwrap();
    assert_eq!(decode(&bytes).unwrap(), told());
    assert!(bytes.len() < 420, "{}", bytes.len());
}

/// Changes of the list and instances that came travel whole.
#[test]
fn changes_and_instances_come_back_as_they_were() {
    let news = GossipedChange {
        previous_offset: 4,
        offset: 9,
        change: ListChange::Gone("i-1".to_owned()),
        unconfirmed_ms: 0,
    };
    let member = Member {
        name: "front-1".to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        gossip_address: None,
        zone: "salt-lake".to_owned(),
        ready: false,
        heartbeat_seq: 1_700_000_000_000,
        link_mbps: 20,
    };
    let told = GossipMessage {
        list_changes: vec![news],
        members: vec![member],
        ..told()
    };
    assert_eq!(decode(&encode(told.clone()).unwrap()).unwrap(), told);
}

/// A datagram of another version of the program, one that was cut short, and one that is nothing of the
/// kind are passed over, and said to be.
#[test]
fn what_is_no_datagram_is_refused() {
    let bytes = encode(told()).unwrap();
    let mut newer = bytes.clone();
    newer[0] += 1;
    let cut = &bytes[..bytes.len() - 1];
    for (bytes, why) in [
        (&newer[..], "unknown datagram format Some(8)"),
        (&[][..], "unknown datagram format None"),
        (cut, "Hit the end of buffer, expected more data"),
    ] {
        assert_eq!(decode(bytes).unwrap_err().to_string(), why);
    }
}

proptest::proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(20),
        ..proptest::prelude::ProptestConfig::with_cases(1_000)
    })]

    /// Whatever comes from the network, reading it ends with a datagram or an error.
    #[test]
    fn any_datagram_is_read_or_refused(bytes in proptest::collection::vec(proptest::prelude::any::<u8>(), 0..200)) {
        let mut formed = encode(told()).unwrap();
        formed.truncate(1);
        formed.extend(&bytes);
        let _ = decode(&bytes);
        let _ = decode(&formed);
    }
}
