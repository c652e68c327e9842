//! How late the output of a request may start before the request is refused.
//!
//! In a burst, prompts can arrive for several seconds at twice the rate at which engines prefill
//! them. Requests that can meet their objective go first, and the others are served late with the
//! remaining capacity. If all of those were queued, each would wait for seconds and be answered
//! too late to be useful. If they were refused as soon as they are late, engines would be idle
//! when the burst is over. A refused caller retries once, so a retried request may wait for longer
//! than a new one.

/// Objectives that the latest start leaves to a request's own time if that is usual; whatever its own time, a
/// request may wait as long. A bound on the start alone would refuse the longest prompts at queues behind which
/// all others are served.
const OWN_OBJECTIVES: f64 = 1.0;

/// Time that a caller has waited before an attempt from which the request counts as retried after
/// a refusal, in ms; it is below the shortest delay after which refused callers are told to retry.
const RETRIED_MS: f64 = 60.0;

/// Latest start of the output of a late request, in multiples of its route's objective.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LatestStart {
    /// For a new request.
    pub new: f64,
    /// For a request that is retried after a refusal.
    pub returning: f64,
}

impl Default for LatestStart {
    /// A retried request is allowed one objective more, as it has lost about that much by then.
    fn default() -> Self {
        Self {
            new: 3.0,
            returning: 4.0,
        }
    }
}

/// A request that is predicted to miss its objective.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LateRequest {
    /// Objective for the start of its output.
    pub goal_ms: f64,
    /// Predicted time of the request itself, without waiting.
    pub processing_ms: f64,
    /// Time that its caller had waited before this attempt.
    pub waited_ms: f64,
    /// Time left until its deadline.
    pub left_ms: f64,
}

impl LatestStart {
    /// Time from now within which the output must start; the request is refused if a later start
    /// is predicted.
    pub fn max_wait_ms(&self, request: &LateRequest) -> f64 {
        let objectives = if request.waited_ms >= RETRIED_MS {
            self.returning
        } else {
            self.new
        };
        let goal_ms = request.goal_ms;
        let long_request_ms = request.processing_ms + goal_ms * (objectives - OWN_OBJECTIVES);
        (goal_ms * objectives)
            .max(long_request_ms)
            .min(request.left_ms)
    }
}
