//! How late a request may start before it is refused.
//!
//! Load pattern: for some seconds twice as many prompts come as engines read. Those that can be on time
//! go first; the others are served with what these leave, late. Were all of them kept, each would wait
//! for seconds behind the rest and come to its caller when it is of no use; were they refused as
//! soon as they are late, engines would stand idle when the rush is over. A refused caller comes back
//! once, so one that has come back waits longer than one that is new.

/// Wait, as a share of the objective, that a request bears which is late by its own length.
const LONGEST_WAIT: f64 = 0.5;

/// Time that a caller has waited before an attempt from which on it was refused before, in ms: less
/// than the shortest time after which callers are asked back.
const CAME_BACK_MS: f64 = 60.0;

/// Bounds on a start, in objectives of its route.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LatestStart {
    /// For a request that is new.
    pub new: f64,
    /// For one that was refused and came back.
    pub returning: f64,
}

impl Default for LatestStart {
    /// Three and four objectives: one that has come back has lost its first by then.
    fn default() -> Self {
        Self {
            new: 3.0,
            returning: 4.0,
        }
    }
}

/// A request that would be late.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LateRequest {
    /// Objective of its start.
    pub goal_ms: f64,
    /// Time that it takes itself.
    pub processing_ms: f64,
    /// Time that its caller has waited before this attempt.
    pub waited_ms: f64,
    /// Time that it may still take, by its deadline.
    pub left_ms: f64,
}

impl LatestStart {
    /// Time from now until which it must have started, or is refused now.
    pub fn max_wait_ms(&self, request: &LateRequest) -> f64 {
        let objectives = if request.waited_ms >= CAME_BACK_MS {
            self.returning
        } else {
            self.new
        };
        let goal_ms = request.goal_ms;
        let by_length_ms = request.processing_ms + goal_ms * LONGEST_WAIT;
        (goal_ms * objectives)
            .max(by_length_ms)
            .min(request.left_ms)
    }
}
