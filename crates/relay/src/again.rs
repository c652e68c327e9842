//! What follows a send that brought no answer: another one, or a refusal that is true.
//!
//! Load pattern: an upstream dies under a hundred claims. Some had not been sent, some were
//! rejected, and of the rest nobody knows. The first two may be refused as not run, or sent again
//! where the route allows it; the last must not be, however short the answer was in coming.

use crate::answer::{Reason, Refused};

/// Upstreams to which no connection could be opened before a request is refused: nothing was
/// sent, so trying is free but for its time.
const UNREACHED: u32 = 3;

/// Time after which a caller whose request was rejected unrun is asked back, in ms: a few times
/// the length of a short request, after which a place may be free.
const REJECTED_RETRY_MS: u64 = 120;

/// How a send ended that brought no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Nothing reached the upstream.
    Unsent,
    /// The upstream rejected it unrun.
    NotRun,
    /// It may have run.
    Lost,
}

/// What is known of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Facts {
    /// Whether it may run more than once.
    pub is_repeatable: bool,
    /// Whether an earlier send of it may have run.
    pub may_have_run: bool,
    /// Upstreams that could not be reached, this one included.
    pub unreached: u32,
}

/// What follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// It is sent to another upstream.
    Again,
    /// It is refused, or ends with an error.
    Refuse(Refused),
}

/// Decides what follows; `may_repeat` takes one more send from the route and the budget.
pub fn next(outcome: Outcome, facts: &Facts, may_repeat: impl Fn() -> bool) -> Next {
    match outcome {
        Outcome::Unsent if facts.unreached < UNREACHED => Next::Again,
        Outcome::NotRun if may_repeat() => Next::Again,
        Outcome::Lost if facts.is_repeatable && may_repeat() => Next::Again,
        Outcome::Lost => Next::Refuse(Refused::plain(Reason::Lost)),
        // 503 promises that nothing has run, so an earlier send forbids it.
        Outcome::Unsent | Outcome::NotRun if facts.may_have_run => {
            Next::Refuse(Refused::plain(Reason::Lost))
        }
        Outcome::Unsent => Next::Refuse(Refused::later(Reason::NoUpstream, REJECTED_RETRY_MS)),
        Outcome::NotRun => Next::Refuse(Refused::later(Reason::Rejected, REJECTED_RETRY_MS)),
    }
}
