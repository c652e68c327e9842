//! Since when an instance knows all of a state.
//!
//! The load that it answers: processes that start in the midst of a rollout or an outage. What an instance does not know
//! is not what is not: an empty memory says nothing about the time before it began.

/// Since when an instance knows all of a state that changes, by its own steady clock.
///
/// One that has just started knows nothing, until it has watched for long enough or is told by one that knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum KnownSince {
    /// It knows of some, but others may have been.
    #[default]
    Unknown,
    /// It has watched without a gap since then, in ms.
    At(u64),
    /// It was told of all before by the store or by an instance that knows, and has watched without a gap since.
    Always,
}

impl KnownSince {
    /// Begins to watch, unless it has been watched already.
    pub fn watch(&mut self, now_ms: u64) {
        if *self == Self::Unknown {
            *self = Self::At(now_ms);
        }
    }

    /// Whether all of the last `age_ms` is known.
    #[must_use]
    pub fn covers(self, now_ms: u64, age_ms: u64) -> bool {
        match self {
            Self::Unknown => false,
            Self::At(since_ms) => now_ms >= since_ms.saturating_add(age_ms),
            Self::Always => true,
        }
    }
}
