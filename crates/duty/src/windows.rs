//! Time windows for which usage is reported.

/// Consecutive windows of equal length; the first one starts at the beginning of 1970.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsageWindows {
    /// Length of a window, in ms.
    pub length_ms: u64,
}

impl UsageWindows {
    /// Number of the window that contains a time, given in ms since 1970.
    pub fn at(&self, time_ms: u64) -> u64 {
        time_ms / self.length_ms.max(1)
    }

    /// Start of a window, in ms since 1970.
    pub fn start_ms(&self, window: u64) -> u64 {
        window.saturating_mul(self.length_ms)
    }

    /// End of a window, in ms since 1970.
    pub fn end_ms(&self, window: u64) -> u64 {
        self.start_ms(window.saturating_add(1))
    }
}
