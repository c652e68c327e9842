//! Rate limits that an upstream sets for all instances together.
//!
//! An overloaded engine may ask for five requests a second while it receives sixty. If each
//! instance kept that limit by itself, six instances would exceed it six times over, and three
//! hundred would exceed it with their first request each. So a few instances split the limit of an
//! upstream into shares that are large enough to be useful, and the others send it nothing. The
//! instances exchange nothing but the limit itself: which of them have a share follows from their
//! order, which all of them know.

/// Requests per second of a limit for each instance that has a share; it keeps what the instances
/// save up together within half a second's worth of the limit.
const PER_INSTANCE_S: f64 = 2.0;

/// Time for which an instance may save up unused requests, in s; one request may always be saved.
const BURST_S: f64 = 0.25;

/// An instance's position among the instances that serve requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InstancePosition {
    /// Number of instances before it in the common order; equal to `instances` if it is not among
    /// them.
    pub rank: usize,
    /// Number of instances that serve requests.
    pub instances: usize,
}

impl InstancePosition {
    /// This instance's share of an upstream's limit, in requests per second; 0 if it has none.
    ///
    /// Each upstream has other instances with a share, so that no instance has a share of all.
    pub fn share_per_s(&self, limit_per_s: f64, upstream: u64) -> f64 {
        if self.rank >= self.instances {
            return 0.0;
        }
        let sharing = ((limit_per_s / PER_INSTANCE_S).ceil() as usize).clamp(1, self.instances);
        let first = (upstream % self.instances as u64) as usize;
        let offset = (self.rank + self.instances - first) % self.instances;
        if offset < sharing {
            limit_per_s / sharing as f64
        } else {
            0.0
        }
    }
}

/// A token bucket whose rate may change and which is empty when its rate rises from zero.
///
/// If it started full, every instance that newly gets a share of a limit could send at once, while
/// the upstream still counts the requests of the instances that had the shares before.
#[derive(Debug, Clone, Copy, Default)]
pub struct TokenBucket {
    tokens: f64,
    per_s: f64,
    at_ms: u64,
}

impl TokenBucket {
    /// Whether a request may be sent now, at a rate of `per_s`.
    pub fn has_token(&mut self, now_ms: u64, per_s: f64) -> bool {
        self.refill(now_ms, per_s);
        self.tokens >= 1.0
    }

    /// Takes a token for one request, or returns false if none may be sent now.
    pub fn try_take(&mut self, now_ms: u64, per_s: f64) -> bool {
        let may = self.has_token(now_ms, per_s);
        if may {
            self.tokens -= 1.0;
        }
        may
    }

    /// Adds the tokens of the time since the last call, at the lower of the old and the new rate.
    fn refill(&mut self, now_ms: u64, per_s: f64) {
        let elapsed_s = now_ms.saturating_sub(self.at_ms) as f64 / 1_000.0;
        let rate = self.per_s.min(per_s);
        let capacity = (BURST_S * per_s).max(1.0);
        self.tokens = if rate > 0.0 {
            (self.tokens + rate * elapsed_s).min(capacity)
        } else {
            0.0
        };
        self.per_s = per_s;
        self.at_ms = now_ms;
    }
}
