//! The wire format of gossip datagrams.

use view::parts::Trial;
use view::{
    GossipMessage, GossipedChange, InstanceKey, ListChange, Load, LogPosition, Member, MessageKind,
    PaceReport, PartEvidence, PartKey, PendingRoleChange, PrefillProgress, PrefilledPart, ReadId,
    ServiceDemand, Stage, Suspicion, UpstreamKey, decode, encode,
};

fn message() -> GossipMessage {
    let key = |each: u8| UpstreamKey::of(&format!("i-520360d7d{each}"), 1_700_000_000_000);
    let loads = (0..9).map(|each| {
        let load = Load {
            requests: 3,
            queue: [(1, 5_400), (5, 31_000)].into_iter().collect(),
            context: 51_000,
        };
        (key(each), load)
    });
    let parts = (0..9).map(|each| PrefilledPart {
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
        prefilled_parts: parts.collect(),
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
        list_position: Some(position(840_123, 240)),
        config_position: Some(position(17, 612)),
        ..GossipMessage::new(InstanceKey::of("front-salt-lake-1"), MessageKind::Sum)
    }
}

fn position(end: u64, age_ms: u32) -> LogPosition {
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

/// A datagram decodes to what was encoded, and stays short because upstreams have keys in it.
#[test]
fn datagram_round_trips() {
    let bytes = encode(message()).unwrap();
    assert_eq!(decode(&bytes).unwrap(), message());
    assert!(bytes.len() < 420, "{}", bytes.len());
}

/// List changes and heartbeat records decode to what was encoded.
#[test]
fn list_changes_and_members_round_trip() {
    let change = GossipedChange {
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
    let message = GossipMessage {
        list_changes: vec![change],
        members: vec![member],
        ..message()
    };
    assert_eq!(decode(&encode(message.clone()).unwrap()).unwrap(), message);
}

/// Guards against accepting a datagram that is empty, truncated or of another version. Each is
/// rejected with its reason.
#[test]
fn malformed_datagram_is_rejected() {
    let bytes = encode(message()).unwrap();
    let mut newer = bytes.clone();
    newer[0] += 1;
    let cut = &bytes[..bytes.len() - 1];
    for (bytes, reason) in [
        (&newer[..], "unknown datagram format Some(11)"),
        (&[][..], "unknown datagram format None"),
        (cut, "Hit the end of buffer, expected more data"),
    ] {
        assert_eq!(decode(bytes).unwrap_err().to_string(), reason);
    }
}

/// Evidence on prompt parts decodes to what was encoded, and an accusation stays as short as the design counts on.
#[test]
fn part_evidence_round_trips() {
    let part = PartKey::of(9);
    let trial = Trial {
        part,
        instance: InstanceKey::of("front-1"),
    };
    let accusation = PartEvidence::EndedUnder {
        part,
        upstream: UpstreamKey::of("i-1", 1),
        suspicion: Suspicion::Strong,
    };
    let conviction = PartEvidence::Convicted {
        part,
        failed_trials: 2,
    };
    let part_evidence = vec![
        accusation,
        PartEvidence::WentOn(part),
        PartEvidence::TrialBegan(trial),
        PartEvidence::TrialOver(trial),
        conviction,
    ];
    let told = GossipMessage {
        part_evidence,
        ..message()
    };
    let bytes = encode(told.clone()).unwrap();
    assert_eq!(decode(&bytes).unwrap(), told);
    let added = bytes.len() - encode(message()).unwrap().len();
    assert_eq!(added, 14 + 9 + 13 + 13 + 10);
}

proptest::proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(20),
        ..proptest::prelude::ProptestConfig::with_cases(1_000)
    })]

    /// Decoding any bytes returns a datagram or an error.
    #[test]
    fn any_bytes_decode_or_fail(bytes in proptest::collection::vec(proptest::prelude::any::<u8>(), 0..200)) {
        let mut with_format = encode(message()).unwrap();
        with_format.truncate(1);
        with_format.extend(&bytes);
        let _ = decode(&bytes);
        let _ = decode(&with_format);
    }
}

/// Paces decode to what was encoded; without any, a datagram has the format and size that it had before there were
/// paces.
#[test]
fn paces_cost_nothing_where_there_are_none() {
    let without = encode(message()).unwrap();
    assert_eq!(without[0], 10);
    let report = |each: u8| PaceReport {
        upstream: UpstreamKey::of(&format!("i-{each}"), 0),
        lasting_percent: 160,
        current_percent: 400,
        age_ms: 90,
        silent_ms: 0,
    };
    let paced = GossipMessage {
        paces: (0..16).map(report).collect(),
        ..message()
    };
    let bytes = encode(paced.clone()).unwrap();
    assert_eq!(decode(&bytes).unwrap(), paced);
    // The numbers of the section and of its entries take a byte each.
    assert!(
        bytes.len() <= without.len() + 2 + 16 * 10,
        "{}",
        bytes.len()
    );
}
