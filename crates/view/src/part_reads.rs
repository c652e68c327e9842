//! When a topic of the store is read again after pages of it could not be read.
//!
//! The store may have been slow, and then the next read brings the rest. A key of another writer may also hide the keys
//! behind it for good, so the reads are few.

/// Pause before the first repeat, in ms; each further one is twice as long.
const FIRST_PAUSE_MS: u64 = 200;

/// Most repeats in a row, over 6 s: what is still hidden then stays so until it is written again.
const MAX_REPEATS: u32 = 5;

/// The repeats of a read that brought a topic in part.
#[derive(Debug, Clone, Copy, Default)]
pub struct PartReads {
    repeats: u32,
    due_ms: Option<u64>,
}

impl PartReads {
    /// Records a read of the whole topic, of which some pages may be missing.
    pub fn record(&mut self, now_ms: u64, is_whole: bool) {
        if is_whole {
            *self = Self::default();
            return;
        }
        let pause_ms = FIRST_PAUSE_MS << self.repeats;
        self.due_ms = (self.repeats < MAX_REPEATS).then_some(now_ms + pause_ms);
        self.repeats = (self.repeats + 1).min(MAX_REPEATS);
    }

    /// Whether pages are missing and the topic will be read again.
    pub fn is_pending(&self) -> bool {
        self.due_ms.is_some()
    }

    /// Whether the topic has to be read again now.
    pub fn is_due(&self, now_ms: u64) -> bool {
        self.due_ms.is_some_and(|due_ms| now_ms >= due_ms)
    }
}
