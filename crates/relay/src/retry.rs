//! What follows a send that brought no answer: another one, or a refusal that is true.
//!
//! Load pattern: an upstream dies under a hundred claims. Some had not been sent, some were
//! rejected, and of the rest nobody knows. The first two may be refused as not run, or sent again
//! where the route allows it; the last must not be, however short the answer was in coming.

use crate::answer::{Reason, Refusal};

/// Upstreams to which no connection could be opened before a request is refused: nothing was
/// sent, so trying is free but for its time.
const MAX_UNREACHABLE: u32 = 3;

/// Time after which a caller whose request was rejected unrun is asked back, in ms: a few times
/// the length of a short request, after which a place may be free.
const REJECTED_RETRY_MS: u64 = 120;

/// How a send ended that brought no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendFailure {
    /// Nothing reached the upstream.
    Unsent,
    /// The upstream rejected it unrun.
    NotRun,
    /// It may have run.
    Lost,
}

/// What is known of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryContext {
    /// Whether it may run more than once.
    pub is_repeatable: bool,
    /// Whether an earlier send of it may have run.
    pub may_have_run: bool,
    /// Upstreams that could not be reached, this one included.
    pub unreached: u32,
}

/// What follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// It is sent to another upstream.
    Retry,
    /// It is refused, or ends with an error.
    Refuse(Refusal),
}

/// A refusal as it may be given to a request of which a send may have run.
///
/// Placing a second try can fail for want of an upstream or of time. Its refusal says that the
/// request has not run, which is true of that try and not of the first; the caller would then
/// take an effect that it had for one that it had not.
pub fn without_false_not_run(refused: Refusal, may_have_run: bool) -> Refusal {
    if may_have_run && refused.reason.says_not_run() {
        return Refusal::new(Reason::Lost);
    }
    refused
}

/// Decides what follows; `may_repeat` takes one more send from the route and the budget.
pub fn decide(
    outcome: SendFailure,
    facts: &RetryContext,
    may_repeat: impl Fn() -> bool,
) -> RetryDecision {
    match outcome {
        SendFailure::Unsent if facts.unreached < MAX_UNREACHABLE => RetryDecision::Retry,
        SendFailure::NotRun if may_repeat() => RetryDecision::Retry,
        SendFailure::Lost if facts.is_repeatable && may_repeat() => RetryDecision::Retry,
        SendFailure::Lost => RetryDecision::Refuse(Refusal::new(Reason::Lost)),
        SendFailure::Unsent => refuse(Reason::NoUpstream, facts.may_have_run),
        SendFailure::NotRun => refuse(Reason::Rejected, facts.may_have_run),
    }
}

/// Refuses a request that upstreams rejected, where no further repeat is allowed.
pub fn refuse_rejected() -> Refusal {
    Refusal::with_retry_after(Reason::Rejected, REJECTED_RETRY_MS)
}

fn refuse(reason: Reason, may_have_run: bool) -> RetryDecision {
    let refused = Refusal::with_retry_after(reason, REJECTED_RETRY_MS);
    RetryDecision::Refuse(without_false_not_run(refused, may_have_run))
}
