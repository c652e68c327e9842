//! What a planned stop does to requests: which it still takes, and when it answers those that are left.
//!
//! The process ends with its grace period, and with it every request that has no answer yet. A request that may outlast
//! the period is refused before it runs, so that its caller sends it elsewhere at once; one that runs when the period
//! ends gets an answer that says so.

use std::cell::Cell;
use std::time::Duration;

use tick::Clock;
use tokio::sync::Notify;

use crate::config::{Route, RouteKind};

/// Objectives of its route that a request needs until the end if it may be repeated elsewhere, and if it may not.
const REPEATABLE_GOALS: u64 = 4;
const UNREPEATABLE_GOALS: u64 = 8;

/// A planned stop, once it has begun.
#[derive(Debug, Default)]
pub struct PlannedStop {
    answers_end_ms: Cell<Option<u64>>,
    begun: Notify,
}

impl PlannedStop {
    /// Begins the stop: requests without an answer get one at `answers_end_ms`, on the instance's clock.
    pub fn begin(&self, answers_end_ms: u64) {
        self.answers_end_ms.set(Some(answers_end_ms));
        self.begun.notify_waiters();
    }

    /// Whether a request is taken that has `left_ms` to its deadline.
    pub fn takes(&self, now_ms: u64, route: &Route, left_ms: u64) -> bool {
        let end_ms = self.answers_end_ms.get();
        end_ms.is_none_or(|end_ms| fits(route, left_ms, end_ms.saturating_sub(now_ms)))
    }

    /// Completes when requests without an answer get one; never while no stop has begun.
    pub async fn answers_end(&self, clock: Clock) {
        loop {
            if let Some(end_ms) = self.answers_end_ms.get() {
                let left_ms = end_ms.saturating_sub(clock.now_ms());
                return actix_rt::time::sleep(Duration::from_millis(left_ms)).await;
            }
            self.begun.notified().await;
        }
    }
}

/// Whether a request of this route with `left_ms` to its deadline ends within `room_ms`, as far as can be told.
///
/// The end of a stream that cannot be taken up elsewhere is told by its deadline alone.
pub fn fits(route: &Route, left_ms: u64, room_ms: u64) -> bool {
    let usual_ms = match route.kind {
        _ if route.is_retryable() => route.goal_ms.saturating_mul(REPEATABLE_GOALS),
        RouteKind::Stream => u64::MAX,
        RouteKind::Safe | RouteKind::Unsafe => route.goal_ms.saturating_mul(UNREPEATABLE_GOALS),
    };
    room_ms >= left_ms.min(usual_ms)
}
