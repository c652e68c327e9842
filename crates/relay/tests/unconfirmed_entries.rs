//! Upstreams whose entries are removed while instances that can't reach the store query each other.

mod common;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use common::{TestDialect, settings};
use relay::upstream::{Stage, UpstreamEntry, UpstreamState};
use relay::{Origin, Relay};
use tick::{Clock, since_boot_ms};
use view::{GossipMessage, GossipedChange, InstanceKey, ListChange, MessageKind};

/// How long the reader that gossips the removal leaves the entry unconfirmed, in ms.
const UNCONFIRMED_MS: u32 = 150;

fn peer() -> SocketAddr {
    "127.0.0.1:1".parse().unwrap()
}

fn relay(name: &str) -> Rc<Relay> {
    let mut own = settings();
    name.clone_into(&mut own.name);
    Relay::new(own, Rc::new(TestDialect), Clock::default())
}

fn entry(seq: u64) -> UpstreamEntry {
    UpstreamEntry {
        id: "one".to_owned(),
        started_ms: 0,
        service: "llm".to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "here".to_owned(),
        slots: 4,
        state: UpstreamState::Ready,
        stage: Stage::Prefill,
        seq,
        version: String::new(),
        is_spot: false,
    }
}

/// An instance that has read a list with one engine, whose entry is at offset 0.
fn relay_with_engine(name: &str) -> Rc<Relay> {
    let relay = relay(name);
    relay.apply_change(ListChange::Put(entry(1)), Origin::Read);
    relay
        .list_position
        .borrow_mut()
        .record_read(since_boot_ms(), 1, Some(1));
    relay
}

/// The engine's entry is removed; neither its reader nor `relay` could reach the store shortly
/// before, so the entry may have lapsed.
fn entry_lapses(relay: &Relay) {
    relay
        .upstreams
        .borrow_mut()
        .store_unreachable(relay.now_ms());
    receive_removal(relay, UNCONFIRMED_MS);
}

fn receive_removal(relay: &Relay, unconfirmed_ms: u32) {
    let change = GossipedChange {
        previous_offset: 1,
        offset: 2,
        change: ListChange::Gone("one".to_owned()),
        unconfirmed_ms,
    };
    let message = GossipMessage {
        list_changes: vec![change],
        ..GossipMessage::new(InstanceKey::of("reader"), MessageKind::Sum)
    };
    relay.receive_gossip(&message, peer());
}

/// `querying` applies the answer of `queried`, uses the engine while its entry is unconfirmed
/// there, and no longer.
async fn assert_used_while_unconfirmed(querying: &Relay, queried: &Relay) {
    relay::snapshot::merge(querying, &queried.snapshot(), peer());
    assert_eq!(ready(querying), 1, "it may have lapsed with the store");
    unconfirmed_time_ends().await;
    assert_eq!(ready(querying), 0);
}

async fn unconfirmed_time_ends() {
    actix_rt::time::sleep(Duration::from_millis(u64::from(UNCONFIRMED_MS) + 30)).await;
}

fn ready(relay: &Relay) -> usize {
    let now_ms = relay.now_ms();
    relay.upstreams.borrow().ready("llm", now_ms).count()
}

/// Guards against an answer that confirms an entry which its sender holds as unconfirmed. Two
/// instances lose the store together, and an engine's entry is removed meanwhile. One queries the
/// other, which still lists the engine; if that confirmed the entry, the engine would stay in use
/// forever, and callers' requests would reach an engine that left seconds ago.
#[actix_rt::test]
async fn an_unconfirmed_entry_in_an_answer_confirms_nothing() {
    let (querying, queried) = (relay_with_engine("a"), relay_with_engine("b"));
    entry_lapses(&querying);
    entry_lapses(&queried);
    assert_used_while_unconfirmed(&querying, &queried).await;
}

/// Guards against losing the unconfirmed state with a whole list. An instance that starts, or
/// missed a change, applies the list of a peer. No later record will remove the entry, so it must
/// expire when the peer's does.
#[actix_rt::test]
async fn an_unconfirmed_entry_stays_so_in_a_list_of_a_peer() {
    let (querying, queried) = (relay("a"), relay_with_engine("b"));
    entry_lapses(&queried);
    assert_used_while_unconfirmed(&querying, &queried).await;
}

/// Guards against naming an entry whose unconfirmed time is over. The instance that is queried
/// hasn't read the store since, as others read for it; it no longer uses the engine and must not
/// name it.
#[actix_rt::test]
async fn a_lapsed_entry_is_not_named_to_peers() {
    let (querying, queried) = (relay("a"), relay_with_engine("b"));
    entry_lapses(&queried);
    unconfirmed_time_ends().await;
    assert_eq!(ready(&queried), 0);
    relay::snapshot::merge(&querying, &queried.snapshot(), peer());
    assert_eq!(ready(&querying), 0);
}

/// Guards against an older answer that restores a removed engine. The peer hasn't applied the
/// removal yet, and its answer arrives after this instance has, with a later entry than this one
/// ever got. If that restored the engine, it would get requests for as long as it responds.
#[actix_rt::test]
async fn an_older_answer_does_not_bring_back_a_removed_entry() {
    let (querying, queried) = (relay_with_engine("a"), relay_with_engine("b"));
    queried.apply_change(ListChange::Put(entry(7)), Origin::Read);
    let answer = queried.snapshot();
    receive_removal(&querying, 0);
    relay::snapshot::merge(&querying, &answer, peer());
    assert_eq!(ready(&querying), 0);
}

/// The same while the entry is unconfirmed here: an answer from before the removal confirms
/// nothing.
#[actix_rt::test]
async fn an_older_answer_does_not_confirm_an_entry() {
    let (querying, queried) = (relay_with_engine("a"), relay_with_engine("b"));
    let answer = queried.snapshot();
    entry_lapses(&querying);
    relay::snapshot::merge(&querying, &answer, peer());
    unconfirmed_time_ends().await;
    assert_eq!(ready(&querying), 0);
}
