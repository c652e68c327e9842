//! What shows that an upstream lives, and what only shows that something listens at its address.
//!
//! The load that it answers: an upstream ends under a request, but connections to its address are still established for
//! a while, by the kernel, a supervisor or a proxy. If that counted as a sign of life, the request would be sent to one
//! upstream after the other, and each would end. See docs/design/reachability.md.

/// Pause after the first attempt that brought no answer, in ms: most processes end in less. It doubles with each one.
const FIRST_PAUSE_MS: u64 = 10;

/// Longest pause between two attempts, in ms.
const MAX_PAUSE_MS: u64 = 250;

/// Time without any sign of life, while it could answer, after which an upstream that lost an answer counts as ended, in
/// ms. A sound one may be silent for a second.
const NO_SIGN_MS: u64 = 3_000;

/// What an attempt to get an answer from an upstream on a new connection showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sign {
    /// It answered, and nothing says that it is another incarnation.
    Answered,
    /// Another incarnation answered at its address.
    Replaced,
    /// The connection was refused: nothing listens at the address, or the path refuses.
    Refused,
    /// No answer came, and the connection was not established or did not last.
    Unanswered,
    /// A connection was established and lasted, and no answer came on it.
    Silent,
    /// It was not asked, since it wants no requests now, or the answer could not have come for another reason.
    NotAsked,
}

impl Sign {
    /// Whether it shows that the path to the address works in both directions. A connection that was established does
    /// not: it may be reset before its request is read, or pass one direction only.
    pub fn proves_path(self) -> bool {
        match self {
            Self::Answered | Self::Replaced => true,
            Self::Refused | Self::Unanswered | Self::Silent | Self::NotAsked => false,
        }
    }
}

/// What became of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Its process runs.
    Lives,
    /// Its process has ended.
    Ended,
    /// It could not be found out.
    Unknown,
}

/// What follows from a sign.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InquiryStep {
    /// The inquiry is over.
    Conclude(Verdict),
    /// The sign shows neither; it is to be asked again after this many ms.
    AskAgain(u64),
}

/// The inquiry into whether an upstream that lost an answer has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Inquiry {
    began_ms: u64,
    /// Since when it could have answered and did not.
    silent_since_ms: Option<u64>,
    pause_ms: u64,
    /// Whether the last attempt was refused.
    was_refused: bool,
}

impl Inquiry {
    /// Begins an inquiry into a loss at `now_ms`.
    pub fn new(now_ms: u64) -> Self {
        Self {
            began_ms: now_ms,
            silent_since_ms: Some(now_ms),
            pause_ms: FIRST_PAUSE_MS,
            was_refused: false,
        }
    }

    /// When it began.
    pub fn began_ms(&self) -> u64 {
        self.began_ms
    }

    /// Decides what a sign means.
    ///
    /// One refusal shows no end: the path may be failing just then, and whether others still answer on it is known only
    /// after the next attempt.
    pub fn decide(&mut self, now_ms: u64, sign: Sign) -> InquiryStep {
        let was_refused = std::mem::replace(&mut self.was_refused, sign == Sign::Refused);
        let is_over = |from_ms: u64| now_ms >= from_ms + NO_SIGN_MS;
        let silent_since_ms = match sign {
            Sign::Unanswered | Sign::Silent => Some(self.silent_since_ms.unwrap_or(now_ms)),
            Sign::Answered | Sign::Replaced | Sign::Refused | Sign::NotAsked => None,
        };
        self.silent_since_ms = silent_since_ms;
        match sign {
            Sign::Answered => InquiryStep::Conclude(Verdict::Lives),
            Sign::Replaced => InquiryStep::Conclude(Verdict::Ended),
            Sign::Refused if was_refused => InquiryStep::Conclude(Verdict::Ended),
            Sign::Unanswered | Sign::Silent if silent_since_ms.is_some_and(is_over) => {
                InquiryStep::Conclude(Verdict::Ended)
            }
            Sign::NotAsked if is_over(self.began_ms) => InquiryStep::Conclude(Verdict::Unknown),
            Sign::Refused | Sign::Unanswered | Sign::Silent | Sign::NotAsked => {
                let pause_ms = self.pause_ms;
                self.pause_ms = (pause_ms * 2).min(MAX_PAUSE_MS);
                InquiryStep::AskAgain(pause_ms)
            }
        }
    }
}
