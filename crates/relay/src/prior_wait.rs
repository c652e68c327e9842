//! How long a caller has waited before an attempt, from what is left of its deadline.
//!
//! Load pattern: in a rush callers are refused and come back when told, and to an instance their
//! second attempts look like new requests. They can be told apart: callers of a route wait for
//! the same time in all, and one that comes back does so with what is left of it. The usual time
//! is the most frequent one among recent requests and not the longest, since a single caller that
//! waits for a minute would make all others seem to have come back.

use std::collections::VecDeque;

/// Requests of a route that are looked at: enough for the usual deadline to stand out in a storm
/// of returns, few enough to follow a change within seconds.
const RECENT_REQUESTS: usize = 64;

/// Part of the recent requests that must agree on a deadline for it to count as the usual one.
const MIN_AGREEMENT: f64 = 0.3;

/// Deadlines of the recent requests of one route.
#[derive(Debug, Clone, Default)]
pub struct PriorWaitEstimator {
    recent_deadlines_ms: VecDeque<u64>,
}

impl PriorWaitEstimator {
    /// Takes in one request's deadline; gives how long its caller had waited before.
    pub fn observe_deadline(&mut self, deadline_ms: u64) -> u64 {
        self.recent_deadlines_ms.push_back(deadline_ms);
        if self.recent_deadlines_ms.len() > RECENT_REQUESTS {
            self.recent_deadlines_ms.pop_front();
        }
        let usual_deadline_ms = self.usual_deadline_ms().unwrap_or(deadline_ms);
        usual_deadline_ms.saturating_sub(deadline_ms)
    }

    /// The deadline that most recent requests agree on, if enough do.
    fn usual_deadline_ms(&self) -> Option<u64> {
        let mut sorted: Vec<u64> = self.recent_deadlines_ms.iter().copied().collect();
        sorted.sort_unstable();
        let runs = sorted.chunk_by(|a, b| a == b);
        let longest = runs.max_by_key(|run| run.len())?;
        let agree = longest.len() as f64 >= sorted.len() as f64 * MIN_AGREEMENT;
        agree.then_some(longest[0])
    }
}
