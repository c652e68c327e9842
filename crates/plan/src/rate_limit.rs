//! How many requests go to an upstream that takes no more than so many a second from all instances together.
//!
//! Load pattern: an engine in need names five requests a second and gets sixty. Kept by each instance alone the limit would be
//! passed six times over by six of them, and by three hundred with their first request each. So a few instances use
//! the limit of an upstream, each a part of it that is worth having, and the others leave the upstream alone. Nothing is
//! exchanged but the limit itself: who uses it follows from the order of the instances, which all know.

/// Requests a second of a limit for each instance that uses it; so what they have saved up together stays within what the
/// limit allows in half a second.
const PER_USER_S: f64 = 2.0;

/// Time for which a part may be saved up, in s; one request may be in any case.
const SAVED_S: f64 = 0.25;

/// An instance's place among those that serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InstancePosition {
    /// Instances before it in the order that all know; as many as there are, if it is not among them.
    pub rank: usize,
    /// Instances that serve.
    pub instances: usize,
}

impl InstancePosition {
    /// This instance's part of the limit of an upstream, in requests a second.
    ///
    /// Who has a part differs from upstream to upstream, so that no instance has a part of each.
    pub fn share_per_s(&self, limit_per_s: f64, upstream: u64) -> f64 {
        if self.rank >= self.instances {
            return 0.0;
        }
        let users = ((limit_per_s / PER_USER_S).ceil() as usize).clamp(1, self.instances);
        let first = (upstream % self.instances as u64) as usize;
        let turn = (self.rank + self.instances - first) % self.instances;
        if turn < users {
            limit_per_s / users as f64
        } else {
            0.0
        }
    }
}

/// A token bucket whose rate may change, and which is empty when it gets one.
///
/// One that came into use full would let each new user of a limit send at once, while what the users before it have
/// sent still counts.
#[derive(Debug, Clone, Copy, Default)]
pub struct TokenBucket {
    tokens: f64,
    per_s: f64,
    at_ms: u64,
}

impl TokenBucket {
    /// Whether a request may go now, at a rate of `per_s`.
    pub fn has_token(&mut self, now_ms: u64, per_s: f64) -> bool {
        self.fill(now_ms, per_s);
        self.tokens >= 1.0
    }

    /// Takes one request, if it may go now.
    pub fn try_take(&mut self, now_ms: u64, per_s: f64) -> bool {
        let may = self.has_token(now_ms, per_s);
        if may {
            self.tokens -= 1.0;
        }
        may
    }

    fn fill(&mut self, now_ms: u64, per_s: f64) {
        let elapsed_s = now_ms.saturating_sub(self.at_ms) as f64 / 1_000.0;
        let rate = self.per_s.min(per_s);
        let most = (SAVED_S * per_s).max(1.0);
        self.tokens = if rate > 0.0 {
            (self.tokens + rate * elapsed_s).min(most)
        } else {
            0.0
        };
        self.per_s = per_s;
        self.at_ms = now_ms;
    }
}
