//! When a way that is believed to be slow is tried again.
//!
//! The load that it answers: links between engines are slow for some seconds, so that prompts are prefilled where their
//! output is made, and once the links are fast again no answer says so. Forgetting the learned time would send all
//! requests the slow way at once wherever it stays slow. So one request goes that way as if nothing had been learned,
//! and all others go by the learned time until the next one is due.

/// Time between two trials, in ms: with the way there, callers are served as before within 3 s.
const TRIAL_INTERVAL_MS: u64 = 2_500;

/// The trials of one way.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Trial {
    /// When the last request was sent that way.
    last_sent_ms: Option<u64>,
}

impl Trial {
    /// Records that a request was sent that way.
    pub fn note_sent(&mut self, sent_ms: u64) {
        self.last_sent_ms = self.last_sent_ms.max(Some(sent_ms));
    }

    /// Whether a request should go that way whatever was learned of it.
    pub fn is_due(&self, now_ms: u64) -> bool {
        self.last_sent_ms
            .is_some_and(|sent_ms| now_ms >= sent_ms + TRIAL_INTERVAL_MS)
    }
}
