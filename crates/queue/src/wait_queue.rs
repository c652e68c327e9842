//! The queue: whom it takes, in which order they leave, and who is refused.

use std::cmp::Ordering;

use crate::Turnover;

/// Most requests that wait at an instance for one service; bounds the memory that their bodies take.
const MAX_WAITING: usize = 512;

/// Fraction of the time for which a request may wait, after which it counts among those that can meet their
/// objective. Without this, new ones would pass it until it is refused.
const PROMOTED_FRACTION: f64 = 0.5;

/// Factor by which a wait must be predicted too long before a request that waits is refused: the rate changes
/// from one period to the next, and one that has waited loses its place.
const CERTAIN_FACTOR: f64 = 2.0;

/// Bounds of the time after which a refused caller is told to return, in ms.
const RETURN_BOUNDS_MS: (f64, f64) = (80.0, 1_500.0);

/// Identifies a request that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WaiterId(u64);

/// A request that asks for a place in the queue.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Waiter {
    /// Rank of its workspace or route, 0 first.
    pub rank: u8,
    /// When it began to wait.
    pub since_ms: u64,
    /// Latest time to send it with which it meets its objective.
    pub on_time_until_ms: u64,
    /// Latest time to send it at all.
    pub send_until_ms: u64,
    /// Whether its caller returns after a refusal.
    pub is_returning: bool,
    /// How far its workspace is over its share; 0 if it is not.
    pub share_excess: f64,
}

impl Waiter {
    /// Whether it counts among those that can meet their objective.
    fn is_urgent(&self, now_ms: u64) -> bool {
        let longest_ms = self.send_until_ms.saturating_sub(self.since_ms) as f64;
        let waited_ms = now_ms.saturating_sub(self.since_ms) as f64;
        now_ms <= self.on_time_until_ms || waited_ms >= longest_ms * PROMOTED_FRACTION
    }

    /// Latest time that matters for it now.
    fn due_ms(&self, now_ms: u64) -> u64 {
        if now_ms <= self.on_time_until_ms {
            self.on_time_until_ms
        } else {
            self.send_until_ms
        }
    }

    /// Order in which requests leave: by rank, those under their share, those that can meet their objective, the
    /// least slack, those that return.
    fn compare(&self, other: &Self, now_ms: u64) -> Ordering {
        let by_class = |it: &Self| (!it.is_urgent(now_ms), it.due_ms(now_ms), !it.is_returning);
        self.rank
            .cmp(&other.rank)
            .then(self.share_excess.total_cmp(&other.share_excess))
            .then_with(|| by_class(self).cmp(&by_class(other)))
    }
}

/// Why the queue refuses a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// As many requests wait as may.
    Full,
    /// It would wait for longer than it may.
    WaitTooLong,
    /// It has waited for as long as it may.
    Expired,
}

impl RefusalCause {
    /// Label in metrics and log lines.
    pub fn label(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::WaitTooLong => "wait_too_long",
            Self::Expired => "expired",
        }
    }
}

/// A refusal by the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueRefusal {
    /// Why.
    pub cause: RefusalCause,
    /// Time after which its caller is to return, in ms.
    pub retry_after_ms: u64,
    /// Requests that waited before it.
    pub ahead: usize,
}

/// Requests of one service that wait for room.
#[derive(Debug, Clone, Default)]
pub struct WaitQueue {
    waiting: Vec<(WaiterId, Waiter)>,
    next_id: u64,
    turnover: Turnover,
    /// When the caller that was refused last is to return.
    last_return_ms: f64,
}

impl WaitQueue {
    /// Takes a request in, or refuses it if it would wait for too long. `assumed_per_ms` is the rate at which
    /// requests get places, as far as nothing was observed.
    pub fn enqueue(
        &mut self,
        now_ms: u64,
        waiter: Waiter,
        assumed_per_ms: f64,
    ) -> Result<WaiterId, QueueRefusal> {
        if self.waiting.is_empty() {
            self.turnover.begin(now_ms, assumed_per_ms);
        }
        let is_before = |(_, other): &&(WaiterId, Waiter)| other.compare(&waiter, now_ms).is_le();
        let ahead = self.waiting.iter().filter(is_before).count();
        if self.waiting.len() >= MAX_WAITING {
            return Err(self.refuse(now_ms, RefusalCause::Full, ahead));
        }
        let wait_ms = self.turnover.time_ms(now_ms, ahead + 1);
        if now_ms as f64 + wait_ms > waiter.send_until_ms as f64 {
            return Err(self.refuse(now_ms, RefusalCause::WaitTooLong, ahead));
        }
        self.next_id += 1;
        let id = WaiterId(self.next_id);
        self.waiting.push((id, waiter));
        Ok(id)
    }

    /// Removes and returns the request that gets the next place.
    pub fn next(&mut self, now_ms: u64) -> Option<(WaiterId, Waiter)> {
        let all = self.waiting.iter().enumerate();
        let first = all.min_by(|(_, one), (_, other)| compare_entries(one, other, now_ms));
        let (index, _) = first?;
        self.turnover.note_placed(now_ms);
        Some(self.waiting.swap_remove(index))
    }

    /// Removes and refuses requests that can no longer be sent in time, now or as the rate predicts.
    pub fn expire(&mut self, now_ms: u64) -> Vec<(WaiterId, QueueRefusal)> {
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.sort_unstable_by(|one, other| compare_entries(one, other, now_ms));
        let mut refused = Vec::new();
        for entry in waiting {
            let ahead = self.waiting.len();
            let left_ms = entry.1.send_until_ms.saturating_sub(now_ms) as f64;
            let wait_ms = self.turnover.time_ms(now_ms, ahead);
            let cause = if left_ms <= 0.0 {
                RefusalCause::Expired
            } else if wait_ms > left_ms * CERTAIN_FACTOR {
                RefusalCause::WaitTooLong
            } else {
                self.waiting.push(entry);
                continue;
            };
            refused.push((entry.0, self.refuse(now_ms, cause, ahead)));
        }
        refused
    }

    /// Removes a request whose caller left or that is placed otherwise; false if it no longer waits.
    pub fn remove(&mut self, id: WaiterId) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|(waiting, _)| *waiting != id);
        self.waiting.len() < before
    }

    /// Removes all requests and returns them in their order.
    pub fn remove_all(&mut self, now_ms: u64) -> Vec<WaiterId> {
        let mut all = std::mem::take(&mut self.waiting);
        all.sort_unstable_by(|one, other| compare_entries(one, other, now_ms));
        all.into_iter().map(|(id, _)| id).collect()
    }

    /// When the first request can no longer be sent in time; none if none waits.
    pub fn next_expiry_ms(&self) -> Option<u64> {
        let all = self.waiting.iter();
        all.map(|(_, waiter)| waiter.send_until_ms).min()
    }

    /// Records that a request got a place without waiting.
    pub fn note_placed(&mut self, now_ms: u64) {
        self.turnover.note_placed(now_ms);
    }

    /// Time after which a refused caller is to return, in ms: after the requests that wait, and after the callers
    /// that were refused before it.
    pub fn return_after_ms(&mut self, now_ms: u64) -> u64 {
        let ahead = self.waiting.len();
        let now_ms_f = now_ms as f64;
        let interval_ms = self.turnover.time_ms(now_ms, 1);
        let drained_ms = now_ms_f + self.turnover.time_ms(now_ms, ahead + 1);
        let (least_ms, most_ms) = RETURN_BOUNDS_MS;
        let at_ms = drained_ms
            .max(self.last_return_ms + interval_ms)
            .clamp(now_ms_f + least_ms, now_ms_f + most_ms);
        self.last_return_ms = at_ms;
        (at_ms - now_ms_f) as u64
    }

    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    fn refuse(&mut self, now_ms: u64, cause: RefusalCause, ahead: usize) -> QueueRefusal {
        QueueRefusal {
            cause,
            retry_after_ms: self.return_after_ms(now_ms),
            ahead,
        }
    }
}

fn compare_entries(one: &(WaiterId, Waiter), other: &(WaiterId, Waiter), now_ms: u64) -> Ordering {
    one.1.compare(&other.1, now_ms).then(one.0.cmp(&other.0))
}
