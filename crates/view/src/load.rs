//! What instances have outstanding at one upstream.

use crate::PrefillQueue;

/// Requests and work at one upstream, of one instance or of many.
///
/// All figures are whole numbers once they have been told, so that adding and taking away what the
/// same instance told leaves nothing behind.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Load {
    /// Requests.
    pub requests: u32,
    /// Work of reading prompts, in tokens by rank.
    pub queue: PrefillQueue,
    /// Prompt tokens of the requests that make output.
    pub context: u32,
}

impl Load {
    /// Adds another one's.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.queue = self.queue.plus(&other.queue);
        self.context = self.context.saturating_add(other.context);
    }

    /// Takes away what was added before.
    pub fn subtract(&mut self, other: &Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.queue = self.queue.minus(&other.queue);
        self.context = self.context.saturating_sub(other.context);
    }

    /// Whether nothing is outstanding.
    pub fn is_empty(&self) -> bool {
        self.requests == 0
    }
}
