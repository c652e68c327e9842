//! Windows of time for which usage is reported.

/// Windows of one length; the first began with 1970.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsageWindows {
    /// Length of each, in ms.
    pub length_ms: u64,
}

impl UsageWindows {
    /// Number of the window that holds a time.
    pub fn at(&self, time_ms: u64) -> u64 {
        time_ms / self.length_ms.max(1)
    }

    /// When a window begins, in ms since 1970.
    pub fn start_ms(&self, window: u64) -> u64 {
        window.saturating_mul(self.length_ms)
    }

    /// When a window ends, in ms since 1970.
    pub fn end_ms(&self, window: u64) -> u64 {
        self.start_ms(window.saturating_add(1))
    }
}
