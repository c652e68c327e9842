//! What follows a send without an answer, for every combination of what is known.

use relay::answer::Reason;
use relay::retry::{RetryContext, RetryDecision, SendFailure, decide};

/// An upstream dies under many requests at once. Whatever was known of a request, 503 goes only
/// to one of which no send may have run, and only an idempotent one is sent again after a send
/// that may have run.
#[test]
fn every_combination_keeps_both_promises() {
    for outcome in [SendFailure::Unsent, SendFailure::NotRun, SendFailure::Lost] {
        for case in 0..40_u32 {
            let (is_repeatable, earlier, may) = (case & 1 > 0, case & 2 > 0, case & 4 > 0);
            let unreached = case / 8;
            let may_have_run = earlier || outcome == SendFailure::Lost;
            let facts = RetryContext {
                is_repeatable,
                may_have_run,
                unreached,
            };
            match decide(outcome, &facts, || may) {
                RetryDecision::Retry if outcome == SendFailure::Lost => {
                    assert!(is_repeatable && may);
                }
                RetryDecision::Retry if outcome == SendFailure::NotRun => assert!(may),
                RetryDecision::Retry => assert!(unreached < 3),
                RetryDecision::Refuse(refused) if refused.reason.status() == 503 => {
                    assert!(!may_have_run, "{outcome:?} {facts:?}");
                    assert!(refused.retry_after_ms.is_some());
                }
                RetryDecision::Refuse(refused) => assert_eq!(refused.reason, Reason::Lost),
            }
        }
    }
}
