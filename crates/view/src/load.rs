//! Outstanding requests and tokens at an upstream.

use crate::PrefillQueue;

/// Load at one upstream, caused by one instance or by several.
///
/// Gossiped figures are whole numbers, so subtracting what an instance sent before leaves no
/// rounding error behind.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Load {
    /// Outstanding requests.
    pub requests: u32,
    /// Prompt tokens that wait for prefill, by rank.
    pub queue: PrefillQueue,
    /// Prompt tokens of the requests that are in decode.
    pub context: u32,
}

impl Load {
    /// Adds the load of another instance.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.queue = self.queue.plus(&other.queue);
        self.context = self.context.saturating_add(other.context);
    }

    /// Subtracts load that was added before.
    pub fn subtract(&mut self, other: &Self) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.queue = self.queue.minus(&other.queue);
        self.context = self.context.saturating_sub(other.context);
    }

    /// Whether no request is outstanding.
    pub fn is_empty(&self) -> bool {
        self.requests == 0
    }
}
