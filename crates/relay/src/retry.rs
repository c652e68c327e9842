//! Decides whether a request is retried or refused after a send that brought no answer.
//!
//! When an upstream dies under many requests, some were not sent, some were rejected, and the rest
//! may have run. The first two kinds may be refused as not run, or retried. A request that may have
//! run must never be refused as not run, and is retried only if it is repeatable.

use crate::answer::{Reason, Refusal};

/// Number of unreachable upstreams after which a request is refused. Nothing was sent to them, so
/// these attempts cost only time and need no retry budget.
pub const MAX_UNREACHABLE: u32 = 3;

/// Retry delay sent to a caller whose request upstreams rejected or did not receive, in ms: a few
/// times the duration of a short request, after which a slot may be free.
const REJECTED_RETRY_MS: u64 = 120;

/// How a send without an answer failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendFailure {
    /// Nothing reached the upstream.
    Unsent,
    /// The upstream rejected the request without running it.
    NotRun,
    /// The request may have run.
    Lost,
}

/// Facts about the request that the decision depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryContext {
    /// Whether it may run more than once.
    pub is_repeatable: bool,
    /// Whether one of its sends may have run.
    pub may_have_run: bool,
    /// Number of upstreams that could not be reached, including the last one.
    pub unreachable_upstreams: u32,
}

/// What to do after a failed send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send the request to another upstream.
    Retry,
    /// Answer the caller with this refusal or error.
    Refuse(Refusal),
}

/// Replaces a refusal that promises "not run" by [`Reason::Lost`] if a send may have run.
///
/// Placing a retry can fail for lack of an upstream or of time. Such a refusal is true of the retry
/// but not of the first send: the caller would believe that an effect which took place did not.
pub fn without_false_not_run(refusal: Refusal, may_have_run: bool) -> Refusal {
    if may_have_run && refusal.reason.says_not_run() {
        return Refusal::new(Reason::Lost);
    }
    refusal
}

/// Decides whether to retry after a failed send.
///
/// `may_retry` checks the route's maximum of attempts and takes one retry from the budget. It is not
/// called for an unreachable upstream, which received nothing.
pub fn decide(
    failure: SendFailure,
    context: &RetryContext,
    may_retry: impl Fn() -> bool,
) -> RetryDecision {
    match failure {
        SendFailure::Unsent if context.unreachable_upstreams < MAX_UNREACHABLE => {
            RetryDecision::Retry
        }
        SendFailure::NotRun if may_retry() => RetryDecision::Retry,
        SendFailure::Lost if context.is_repeatable && may_retry() => RetryDecision::Retry,
        SendFailure::Lost => RetryDecision::Refuse(Refusal::new(Reason::Lost)),
        SendFailure::Unsent => refuse(Reason::NoUpstream, context.may_have_run),
        SendFailure::NotRun => refuse(Reason::Rejected, context.may_have_run),
    }
}

/// Refuses a request that upstreams rejected and that may not be retried.
pub fn refuse_rejected() -> Refusal {
    Refusal::with_retry_after(Reason::Rejected, REJECTED_RETRY_MS)
}

fn refuse(reason: Reason, may_have_run: bool) -> RetryDecision {
    let refusal = Refusal::with_retry_after(reason, REJECTED_RETRY_MS);
    RetryDecision::Refuse(without_false_not_run(refusal, may_have_run))
}
