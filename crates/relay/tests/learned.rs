//! What an instance keeps of engines and callers: queues by rank, parts held, usual lengths, patience.

mod common;

use relay::prior_wait::PriorWaitEstimator;
use relay::upstream::{CachedParts, PrefillProgress, PrefillQueue};
use relay::urgency::{TypicalLength, Urgency};

/// Long prompts wait at an engine, and a short question of an earlier rank comes. It is read
/// first, so its wait counts only what is of its rank or before it.
#[test]
fn work_of_later_ranks_is_not_waited_for() {
    let mut queue = PrefillQueue::default();
    queue.add(0, 300.0);
    queue.add(1, 50_000.0);
    queue.add(5, 90_000.0);
    let sums = [
        queue.tokens_up_to(0),
        queue.tokens_up_to(1),
        queue.tokens_after(1),
        queue.total(),
    ];
    assert_eq!(
        sums.map(|tokens| tokens as u64),
        [300, 50_300, 90_000, 140_300]
    );
    queue.add(1, -60_000.0);
    assert_eq!(
        queue.tokens_up_to(1) as u64,
        300,
        "a queue never falls below nothing"
    );
}

/// Memory of an engine is full of parts. What was used least recently yields, and what was read is
/// not taken for unread because it is asked for again.
#[test]
fn parts_used_least_recently_yield() {
    let mut kept = CachedParts::default();
    for part in 0..4 {
        kept.add(part, 13_000.0, PrefillProgress::Done, 60_000.0);
    }
    kept.add(1, 13_000.0, PrefillProgress::Begun, 60_000.0);
    assert!(kept.tokens(0) < 1.0);
    assert!(kept.copyable_tokens(1) > 1.0);
    kept.add(9, 13_000.0, PrefillProgress::Begun, 60_000.0);
    assert!(kept.tokens(2) < 1.0);
    assert!(kept.tokens(9) > 1.0 && kept.copyable_tokens(9) < 1.0);
}

/// Prompts of a route are 17,000 tokens long, and some 30,000. The long ones go first among those
/// that can be on time; short questions are not ordered, and what is late stays behind all.
#[test]
fn the_longest_prompts_of_a_route_go_first() {
    let mut usual = TypicalLength::default();
    for _ in 0..50 {
        usual.yields_to_longer(17_000.0);
    }
    assert!(usual.yields_to_longer(17_000.0));
    assert!(!usual.yields_to_longer(30_000.0));
    assert!(!usual.yields_to_longer(400.0));
    let mut route = common::route("/grades/", relay::config::RouteKind::Stream, "llm");
    let mut ranks = Vec::new();
    for priority in [0, 1, 2, 3, 255] {
        route.priority = priority;
        ranks.push(Urgency::OnTime.rank(route.priority, false));
        ranks.push(Urgency::OnTime.rank(route.priority, true));
    }
    assert_eq!(ranks, [0, 1, 2, 3, 4, 5, 5, 5, 5, 5]);
    let late = [0, 1, 255].map(|priority| {
        route.priority = priority;
        Urgency::Late.rank(route.priority, false)
    });
    assert_eq!(late, [6, 7, 9]);
}

/// Callers of a route wait for six seconds. One that waits for a minute is an exception, and the
/// others must not seem to have come back: all of them would count as late. Where callers do not
/// agree on a time, nothing can be told.
#[test]
fn one_patient_caller_makes_nobody_seem_to_have_come_back() {
    let mut patience = PriorWaitEstimator::default();
    assert_eq!(patience.observe_deadline(60_000), 0);
    for _ in 0..20 {
        patience.observe_deadline(6_000);
    }
    assert_eq!(patience.observe_deadline(60_000), 0);
    assert_eq!(patience.observe_deadline(6_000), 0);
    assert_eq!(patience.observe_deadline(5_700), 300);
    let mut mixed = PriorWaitEstimator::default();
    for deadline_ms in 1_000..1_100 {
        assert_eq!(mixed.observe_deadline(deadline_ms * 7 % 5_000), 0);
    }
}
