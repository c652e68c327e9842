//! Age of idempotency keys, counted in epochs by each process.

/// Length of an epoch, in ms.
pub const EPOCH_MS: u64 = 60_000;

/// Number of epochs for which a key is accepted and its record kept. The resulting ten minutes are
/// longer than any caller retries.
pub const RETAINED_EPOCHS: u64 = 10;

/// Epoch counter of one incarnation of an instance.
///
/// A key contains the epochs of its home and of its witness at the time it was issued. Each of them
/// checks only its own epoch, so clocks of different processes are never compared. A key that is
/// issued with an outdated epoch merely expires earlier.
#[derive(Debug, Clone, Copy)]
pub struct EpochCounter {
    start_ms: u64,
}

impl EpochCounter {
    /// Creates a counter that starts at a time of the incarnation's monotonic clock.
    pub fn new(start_ms: u64) -> Self {
        Self { start_ms }
    }

    /// Epoch at the given time, starting at 1.
    pub fn epoch_at(self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.start_ms) / EPOCH_MS + 1
    }

    /// Whether a key of this epoch is accepted. An epoch in the future was never issued.
    pub fn accepts(self, now_ms: u64, epoch: u64) -> bool {
        let current = self.epoch_at(now_ms);
        epoch <= current && current - epoch < RETAINED_EPOCHS
    }

    /// Whether a record of this epoch may be dropped, since its key is no longer accepted.
    pub fn may_drop(self, now_ms: u64, epoch: u64) -> bool {
        self.epoch_at(now_ms) >= epoch + RETAINED_EPOCHS
    }
}
