//! Estimates how long a caller waited before an attempt, from the rest of its deadline.
//!
//! Under overload, callers are refused and retry after the given delay. To an instance their second
//! attempts look like new requests, except that the deadline is shorter: callers of a route wait for
//! the same total time. The usual deadline is the most frequent one among recent requests, not the
//! longest: a single caller that waits for a minute would make all others look like retries.

use std::collections::VecDeque;

/// Number of recent requests of a route that are considered: enough for the usual deadline to stand
/// out among many retries, few enough to follow a change within seconds.
const RECENT_REQUESTS: usize = 64;

/// Fraction of the recent requests that must have the same deadline for it to count as the usual one.
const MIN_AGREEMENT: f64 = 0.3;

/// Estimator for one route, from the deadlines of its recent requests.
#[derive(Debug, Clone, Default)]
pub struct PriorWaitEstimator {
    recent_deadlines_ms: VecDeque<u64>,
}

impl PriorWaitEstimator {
    /// Adds the deadline of a request; returns the estimated time that its caller waited before, in ms.
    ///
    /// 0 if there is no usual deadline.
    pub fn observe_deadline(&mut self, deadline_ms: u64) -> u64 {
        self.recent_deadlines_ms.push_back(deadline_ms);
        if self.recent_deadlines_ms.len() > RECENT_REQUESTS {
            self.recent_deadlines_ms.pop_front();
        }
        let usual_deadline_ms = self.usual_deadline_ms().unwrap_or(deadline_ms);
        usual_deadline_ms.saturating_sub(deadline_ms)
    }

    /// The most frequent recent deadline, if enough requests have it.
    fn usual_deadline_ms(&self) -> Option<u64> {
        let mut sorted: Vec<u64> = self.recent_deadlines_ms.iter().copied().collect();
        sorted.sort_unstable();
        let runs = sorted.chunk_by(|a, b| a == b);
        let longest = runs.max_by_key(|run| run.len())?;
        let agree = longest.len() as f64 >= sorted.len() as f64 * MIN_AGREEMENT;
        agree.then_some(longest[0])
    }
}
