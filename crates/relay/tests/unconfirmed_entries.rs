//! Upstreams whose entries go while instances that are cut off from the store ask each other.

mod common;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use common::{TestDialect, settings};
use relay::upstream::{Stage, UpstreamEntry, UpstreamState};
use relay::{Origin, Relay};
use tick::{Clock, since_boot_ms};
use view::{GossipMessage, GossipedChange, InstanceKey, ListChange, MessageKind};

/// Doubt of the reader that tells of an entry that went, in ms.
const DOUBT_MS: u32 = 150;

fn peer() -> SocketAddr {
    "127.0.0.1:1".parse().unwrap()
}

fn relay(name: &str) -> Rc<Relay> {
    let mut told = settings();
    name.clone_into(&mut told.name);
    Relay::new(told, Rc::new(TestDialect), Clock::default())
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
        is_spot: false,
    }
}

/// A relay that has read a list with one engine, whose entry stands at offset 0.
fn knowing_one(name: &str) -> Rc<Relay> {
    let relay = relay(name);
    relay.apply_change(ListChange::Put(entry(1)), Origin::Read);
    relay
        .list_position
        .borrow_mut()
        .record_read(since_boot_ms(), 1, Some(1));
    relay
}

/// The engine's entry goes; its reader could not reach the store shortly before, and neither could `relay`.
fn lapses(relay: &Relay) {
    relay
        .upstreams
        .borrow_mut()
        .store_unreachable(relay.now_ms());
    hears_that_it_went(relay, DOUBT_MS);
}

fn hears_that_it_went(relay: &Relay, doubt_ms: u32) {
    let news = GossipedChange {
        previous_offset: 1,
        offset: 2,
        change: ListChange::Gone("one".to_owned()),
        unconfirmed_ms: doubt_ms,
    };
    let told = GossipMessage {
        list_changes: vec![news],
        ..GossipMessage::new(InstanceKey::of("reader"), MessageKind::Sum)
    };
    relay.receive_gossip(&told, peer());
}

/// One asks the other, uses the engine as long as that one doubts, and no longer.
async fn asks_and_doubts(asking: &Relay, asked: &Relay) {
    relay::snapshot::merge(asking, &asked.snapshot(), peer());
    assert_eq!(ready(asking), 1, "it may have lapsed with the store");
    doubt_ends().await;
    assert_eq!(ready(asking), 0);
}

async fn doubt_ends() {
    actix_rt::time::sleep(Duration::from_millis(u64::from(DOUBT_MS) + 30)).await;
}

fn ready(relay: &Relay) -> usize {
    let now_ms = relay.now_ms();
    relay.upstreams.borrow().ready("llm", now_ms).count()
}

/// Callers' questions reach an engine three seconds after it left. Two instances were cut off together, and an
/// engine's entry goes in that time: both doubt for a while that it has left. Then one asks the other, which
/// still names the engine, and takes that for an entry that is back. Nothing is left then that would end the doubt.
///
/// What settled it, at one of three instances that were cut off until 6.30 s (the entry went at 6.22 s):
///
/// ```text
/// 6.347  upstream's entry lapsed with the store  origin=Read  list_next=21  standing=Ready
/// 6.654  asked another instance  upstreams=22
/// 9.023  prompt read  (by that engine; no line in between says that it left)
/// ```
#[actix_rt::test]
async fn an_answer_of_one_that_doubts_does_not_end_the_doubt() {
    let (asking, asked) = (knowing_one("a"), knowing_one("b"));
    lapses(&asking);
    lapses(&asked);
    asks_and_doubts(&asking, &asked).await;
}

/// An instance starts, or missed a change, and takes the whole list of one that doubts an entry. It has no
/// record left to read that says that the engine went, and must end the doubt when the other one does.
#[actix_rt::test]
async fn a_doubt_is_handed_on_with_the_list() {
    let (asking, asked) = (relay("a"), knowing_one("b"));
    lapses(&asked);
    asks_and_doubts(&asking, &asked).await;
}

/// The doubt is over, and nobody has read the store since at the instance that is asked: others read for it. It
/// sends the engine nothing any more, and must not name it to those that ask.
#[actix_rt::test]
async fn an_entry_that_lapsed_is_not_handed_on() {
    let (asking, asked) = (relay("a"), knowing_one("b"));
    lapses(&asked);
    doubt_ends().await;
    assert_eq!(ready(&asked), 0);
    relay::snapshot::merge(&asking, &asked.snapshot(), peer());
    assert_eq!(ready(&asking), 0);
}

/// A call of an instance fails, and it asks another one, which has not yet taken in that an engine went. Its answer
/// comes after this one has, and names the engine with a later entry than this one was ever told of. Taken
/// for one that is back, the engine would get questions for as long as it answers.
#[actix_rt::test]
async fn an_older_answer_does_not_bring_back_what_went() {
    let (asking, asked) = (knowing_one("a"), knowing_one("b"));
    asked.apply_change(ListChange::Put(entry(7)), Origin::Read);
    let answer = asked.snapshot();
    hears_that_it_went(&asking, 0);
    relay::snapshot::merge(&asking, &answer, peer());
    assert_eq!(ready(&asking), 0);
}

/// The same, while this instance doubts whether the entry has only lapsed with the store: an answer from before says
/// nothing of that, and must not end the doubt.
#[actix_rt::test]
async fn an_older_answer_does_not_end_a_doubt() {
    let (asking, asked) = (knowing_one("a"), knowing_one("b"));
    let answer = asked.snapshot();
    lapses(&asking);
    relay::snapshot::merge(&asking, &answer, peer());
    doubt_ends().await;
    assert_eq!(ready(&asking), 0);
}
