//! The age of keys, counted by each process for itself.

/// Length of an epoch.
pub const EPOCH_MS: u64 = 60_000;

/// Epochs for which a key is accepted and its record kept. Ten minutes outlast any retry that a
/// person or a van is still waiting for.
pub const RETAINED_EPOCHS: u64 = 10;

/// Epoch counter of one incarnation.
///
/// A key carries the epochs that its home and its witness were in when it was handed out. Each
/// judges only its own number, so no two clocks are compared: whoever handed the key out late
/// only made it older.
#[derive(Debug, Clone, Copy)]
pub struct EpochCounter {
    start_ms: u64,
}

impl EpochCounter {
    /// A counter that begins at the incarnation's own monotonic time.
    pub fn new(start_ms: u64) -> Self {
        Self { start_ms }
    }

    /// The epoch at a moment.
    pub fn epoch_at(self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.start_ms) / EPOCH_MS + 1
    }

    /// Whether a key of this epoch is accepted. One from the future was never handed out.
    pub fn accepts(self, now_ms: u64, epoch: u64) -> bool {
        let current = self.epoch_at(now_ms);
        epoch <= current && current - epoch < RETAINED_EPOCHS
    }

    /// Whether a record of this epoch may be dropped: its key is refused from now on.
    pub fn may_drop(self, now_ms: u64, epoch: u64) -> bool {
        self.epoch_at(now_ms) >= epoch + RETAINED_EPOCHS
    }
}
