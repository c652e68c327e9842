//! The decision after a send without an answer, for every combination of its inputs.

use relay::answer::Reason;
use relay::retry::{RetryContext, RetryDecision, SendFailure, decide};

/// Guards against two broken promises when an upstream fails under many requests: 503 goes only to
/// a request of which no send may have run, and only an idempotent request is retried after a send
/// that may have run.
#[test]
fn every_combination_keeps_both_promises() {
    for failure in [SendFailure::Unsent, SendFailure::NotRun, SendFailure::Lost] {
        for case in 0..40_u32 {
            let (is_repeatable, may_have_run_before, retry_allowed) =
                (case & 1 > 0, case & 2 > 0, case & 4 > 0);
            let unreachable_upstreams = case / 8;
            let may_have_run = may_have_run_before || failure == SendFailure::Lost;
            let context = RetryContext {
                is_repeatable,
                may_have_run,
                unreachable_upstreams,
            };
            match decide(failure, &context, || retry_allowed) {
                RetryDecision::Retry if failure == SendFailure::Lost => {
                    assert!(is_repeatable && retry_allowed);
                }
                RetryDecision::Retry if failure == SendFailure::NotRun => assert!(retry_allowed),
                RetryDecision::Retry => assert!(unreachable_upstreams < 3),
                RetryDecision::Refuse(refusal) if refusal.reason.status() == 503 => {
                    assert!(!may_have_run, "{failure:?} {context:?}");
                    assert!(refusal.retry_after_ms.is_some());
                }
                RetryDecision::Refuse(refusal) => assert_eq!(refusal.reason, Reason::Lost),
            }
        }
    }
}
