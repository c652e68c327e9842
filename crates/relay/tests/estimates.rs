//! Estimates of an instance for engines and routes: prefill queues by rank, cached prompt parts,
//! typical prompt lengths and prior waits.

mod common;

use plan::Prediction;
use relay::estimates::Estimates;
use relay::prior_wait::PriorWaitEstimator;
use relay::upstream::{CachedParts, PrefillProgress, PrefillQueue};
use relay::urgency::{TypicalLength, Urgency};

/// Guards against overestimating the wait of a short prompt of an earlier rank: its prefill
/// comes before that of the long prompts that wait there, so only work of its own and earlier ranks
/// counts.
#[test]
fn work_of_later_ranks_adds_no_wait() {
    let mut queue = PrefillQueue::default();
    queue.add(0, 300.0);
    queue.add(1, 50_000.0);
    queue.add(5, 90_000.0);
    let tokens_by_rank = [
        queue.tokens_up_to(0),
        queue.tokens_up_to(1),
        queue.tokens_after(1),
        queue.total(),
    ];
    assert_eq!(
        tokens_by_rank.map(|tokens| tokens as u64),
        [300, 50_300, 90_000, 140_300]
    );
    queue.add(1, -60_000.0);
    assert_eq!(
        queue.tokens_up_to(1) as u64,
        300,
        "a queue never falls below zero"
    );
}

/// Guards against evicting parts in recent use when an engine's memory is full, and against a
/// second request for a part that resets its finished prefill.
#[test]
fn least_recently_used_parts_are_evicted() {
    let mut cache = CachedParts::default();
    for part in 0..4 {
        cache.add(part, 13_000.0, PrefillProgress::Done, 60_000.0);
    }
    cache.add(1, 13_000.0, PrefillProgress::Begun, 60_000.0);
    assert!(cache.tokens(0) < 1.0);
    assert!(cache.copyable_tokens(1) > 1.0);
    cache.add(9, 13_000.0, PrefillProgress::Begun, 60_000.0);
    assert!(cache.tokens(2) < 1.0);
    assert!(cache.tokens(9) > 1.0 && cache.copyable_tokens(9) < 1.0);
}

/// Typical prompts of a route have 17,000 tokens, and some 30,000. Among requests that can be on
/// time the long ones go first; short prompts are not ordered, and late requests come after all
/// others.
#[test]
fn the_longest_prompts_of_a_route_go_first() {
    let mut typical = TypicalLength::default();
    for _ in 0..50 {
        typical.yields_to_longer(17_000.0);
    }
    assert!(typical.yields_to_longer(17_000.0));
    assert!(!typical.yields_to_longer(30_000.0));
    assert!(!typical.yields_to_longer(400.0));
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

/// Guards against one unusually long deadline that makes all other callers of a route look as if
/// they had waited before. The usual deadline is six seconds; where deadlines don't agree, no prior
/// wait is assumed.
#[test]
fn one_long_deadline_implies_no_prior_wait_of_others() {
    let mut estimator = PriorWaitEstimator::default();
    assert_eq!(estimator.observe_deadline(60_000), 0);
    for _ in 0..20 {
        estimator.observe_deadline(6_000);
    }
    assert_eq!(estimator.observe_deadline(60_000), 0);
    assert_eq!(estimator.observe_deadline(6_000), 0);
    assert_eq!(estimator.observe_deadline(5_700), 300);
    let mut disagreeing = PriorWaitEstimator::default();
    for deadline_ms in 1_000..1_100 {
        assert_eq!(disagreeing.observe_deadline(deadline_ms * 7 % 5_000), 0);
    }
}

/// Estimates after many transfers that took 1.5 s, at time 0, and the time that was assumed before.
fn slow_transfers() -> (Estimates, f64) {
    let estimates = Estimates::default();
    let assumed_ms = estimates.latency_model(0, "llm").kv_transfer_ms();
    for _ in 0..1_000 {
        let first = Prediction {
            processing_ms: estimates.latency_model(0, "llm").kv_transfer_ms(),
            ..Prediction::default()
        };
        estimates.observe_first_event(0, "llm", &first, true, 1_500.0);
    }
    (estimates, assumed_ms)
}

/// Guards against transfers being avoided for good after a time in which links were slow: a way that is believed
/// to be dear is chosen no more, so no answer says that it is cheap again.
#[test]
fn a_transfer_time_that_no_answer_confirms_is_forgotten() {
    let (estimates, assumed_ms) = slow_transfers();
    let learned_ms = estimates.latency_model(0, "llm").kv_transfer_ms();
    assert!(learned_ms > 1_000.0, "{learned_ms}");
    let forgotten_ms = estimates.latency_model(30_000, "llm").kv_transfer_ms();
    assert!(forgotten_ms < 2.0 * assumed_ms, "{forgotten_ms}");
}

/// Guards against callers who are refused for many seconds after transfers have become fast again: nobody tries one while
/// it is believed to be slow.
#[test]
fn a_slow_transfer_is_forgotten_within_three_seconds_of_the_last_one() {
    let (estimates, assumed_ms) = slow_transfers();
    let forgotten_ms = estimates.latency_model(3_000, "llm").kv_transfer_ms();
    assert!(forgotten_ms < 2.0 * assumed_ms, "{forgotten_ms}");
}
