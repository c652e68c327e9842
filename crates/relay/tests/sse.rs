//! Streams cut at the ends of their events, however the bytes come.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use relay::sse::{Event, EventSplitter};

/// Gives the whole events, and whether bytes of another are left.
fn split(chunks: &[&[u8]]) -> (Vec<Event>, bool) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for chunk in chunks {
        splitter.push(chunk);
        while let Some(event) = splitter.next_event() {
            events.push(event);
        }
    }
    (events, splitter.has_partial_event())
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20),
        ..ProptestConfig::with_cases(1_000)
    })]

    /// The network cuts a stream anywhere. The same events come out, byte for byte.
    #[test]
    fn events_do_not_depend_on_how_bytes_come(
        ids in prop::collection::vec(0_u64..1_000, 1..20),
        cuts in prop::collection::vec(1_usize..40, 1..60),
        crlf: bool,
    ) {
        let end = if crlf { "\r\n" } else { "\n" };
        let whole = ids.iter().fold(String::new(), |all, id| {
            all + &format!("id: {id}{end}data: x{end}{end}")
        });
        let mut rest = whole.as_bytes();
        let mut chunks = Vec::new();
        for cut in cuts {
            let (chunk, left) = rest.split_at(cut.min(rest.len()));
            chunks.push(chunk);
            rest = left;
        }
        chunks.push(rest);
        let (events, has_rest) = split(&chunks);
        let seen: Vec<u64> = events.iter().filter_map(|event| event.id).collect();
        prop_assert_eq!(seen, ids);
        let bytes: Vec<u8> = events.into_iter().flat_map(|event| event.bytes).collect();
        prop_assert_eq!(bytes, whole.into_bytes());
        prop_assert!(!has_rest);
    }

    /// Whatever an upstream sends, nothing is lost or made up.
    #[test]
    fn any_bytes_are_kept(chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..30), 0..20)) {
        let chunks: Vec<&[u8]> = chunks.iter().map(Vec::as_slice).collect();
        let (events, _) = split(&chunks);
        let bytes: Vec<u8> = events.into_iter().flat_map(|event| event.bytes).collect();
        prop_assert!(chunks.concat().starts_with(&bytes));
    }
}

/// An upstream stops in the middle of an event: what came of it is not given out.
#[test]
fn an_unfinished_event_is_held_back() {
    let (events, has_rest) = split(&[b"id: 1\n\nid: 2\nda"]);
    assert_eq!(events.len(), 1);
    assert!(has_rest);
}
