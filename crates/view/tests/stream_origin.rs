//! The datagrams about what began streams.

use view::stream_origin::{decode, encode, is_origin_message};
use view::{
    GossipMessage, InstanceKey, MessageKind, OriginMessage, ServiceKey, StreamKey, VersionKey,
};

/// Guards against a datagram that grows: one goes out for each stream while several versions serve.
#[test]
fn a_record_takes_eighteen_bytes() {
    let began = OriginMessage::Began {
        stream: StreamKey::of(b"attempt"),
        version: VersionKey::of("v1"),
    };
    let bytes = encode(&began).expect("a datagram");
    assert_eq!(bytes.len(), 18);
    assert_eq!(decode(&bytes).expect("the same"), began);
}

/// Guards against datagrams that are taken for gossip, and gossip that is taken for them.
#[test]
fn they_are_told_from_gossip_by_their_first_byte() {
    let query = OriginMessage::Query {
        number: 7,
        stream: StreamKey::of(b"attempt"),
        service: ServiceKey::of("llm"),
    };
    let query = encode(&query).expect("a datagram");
    let gossip = GossipMessage::new(InstanceKey::of("a"), MessageKind::Report);
    let gossip = view::encode(gossip).expect("a datagram");
    assert!(is_origin_message(&query) && !is_origin_message(&gossip));
    assert!(view::decode(&query).is_err() && decode(&gossip).is_err());
}
