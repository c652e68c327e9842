//! Whether a generation can still be on time, and the rank that engines are told.

use crate::config::Route;

/// Ranks by which a request that will be late comes after its like; more than routes differ by.
const LATE_RANKS: u8 = 4;

/// The last rank that engines know.
const LAST_RANK: u8 = 9;

/// Whether a generation can still start within its objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Urgency {
    /// It can.
    #[default]
    OnTime,
    /// It will be late, and is served with what the others leave.
    Late,
}

impl Urgency {
    /// Rank at an engine of a request of this route, 0 first.
    pub fn rank(self, route: &Route) -> u8 {
        match self {
            Self::OnTime => route.priority,
            Self::Late => route.priority.saturating_add(LATE_RANKS).min(LAST_RANK),
        }
    }
}
