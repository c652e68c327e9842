//! The load that an upstream names in its answers.

/// Load that an upstream reports with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct ReportedLoad {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are waiting.
    pub waiting: u32,
    /// Time that work takes there, in percent of the usual, as reported; not a number if it could not be parsed.
    pub pace_percent: Option<f64>,
}
