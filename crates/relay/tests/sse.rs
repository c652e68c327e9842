//! Splits a stream at the ends of its events, however its bytes are divided into chunks.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use relay::sse::{Event, EventSplitter};

/// Returns the complete events with the bytes after the last one, and whether bytes of a further one remain.
fn split(chunks: &[&[u8]]) -> (Vec<Event>, bool) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for chunk in chunks {
        splitter.push(chunk);
        while let Some(event) = splitter.next_event() {
            events.push(event);
        }
    }
    let is_within_event = splitter.is_within_event();
    let rest = splitter.take_all();
    if !is_within_event && !rest.is_empty() {
        events.push(Event {
            id: None,
            bytes: rest,
        });
    }
    (events, is_within_event)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(20),
        ..ProptestConfig::with_cases(1_000)
    })]

    /// The same events come out, byte for byte, wherever the network divides the stream.
    #[test]
    fn events_do_not_depend_on_chunk_boundaries(
        ids in prop::collection::vec(0_u64..1_000, 1..20),
        cuts in prop::collection::vec(1_usize..40, 1..60),
        end in prop::sample::select(vec!["\n", "\r\n", "\r"]),
    ) {
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
        let (events, has_partial) = split(&chunks);
        let split_ids: Vec<u64> = events.iter().filter_map(|event| event.id).collect();
        prop_assert_eq!(split_ids, ids);
        let bytes: Vec<u8> = events.into_iter().flat_map(|event| event.bytes).collect();
        prop_assert_eq!(bytes, whole.into_bytes());
        prop_assert!(!has_partial);
    }

    /// Whatever an upstream sends, the events are an unchanged prefix of its bytes.
    #[test]
    fn events_are_a_prefix_of_the_stream(chunks in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..30), 0..20)) {
        let chunks: Vec<&[u8]> = chunks.iter().map(Vec::as_slice).collect();
        let (events, _) = split(&chunks);
        let bytes: Vec<u8> = events.into_iter().flat_map(|event| event.bytes).collect();
        prop_assert!(chunks.concat().starts_with(&bytes));
    }
}

/// An upstream stops in the middle of an event; the partial event is not returned.
#[test]
fn a_partial_event_is_not_returned() {
    let (events, has_partial) = split(&[b"id: 1\n\nid: 2\nda"]);
    assert_eq!(events.len(), 1);
    assert!(has_partial);
}

/// Guards against a whole stream that is taken for a broken one, or a broken one for a whole one, by its line ends.
#[test]
fn an_event_ends_with_an_empty_line_of_any_kind() {
    for whole in [
        "id: 1\n\n",
        "id: 1\r\n\r\n",
        "id: 1\r\r",
        "id: 1\r\n\n",
        "id: 1\n\r\n",
        "id: 1\r\ndata: x\n\r",
        "id: 1\n\n: a comment\n",
        "\n\nid: 1\n\n",
    ] {
        let (events, is_within_event) = split(&[whole.as_bytes()]);
        let ids: Vec<u64> = events.iter().filter_map(|event| event.id).collect();
        assert_eq!((ids, is_within_event), (vec![1], false), "{whole:?}");
    }
    for broken in [
        "id: 1\n",
        "id: 1\r\n",
        "id: 1\r",
        "id: 1",
        "id: 1\n\ndata",
        "id: 1\n\n: a com",
    ] {
        assert!(split(&[broken.as_bytes()]).1, "{broken:?}");
    }
}
