//! The rate limit that an upstream names in its answers, in requests from all instances together.

use plan::TokenBucket;

/// Time for which a limit stays in force after an answer last named it, in ms. An answer without a
/// limit within this time may have been started before the limit was set.
const MIN_HOLD_MS: u64 = 1_500;

/// Time from the last answer that named a limit until the limit is dropped, in ms. By then no
/// instance is sending requests to the upstream, and the first answer to a later request names the
/// limit.
const EXPIRY_MS: u64 = 30_000;

/// Interval between gossip messages about a limit that stays the same, in ms; shorter than
/// [`MIN_HOLD_MS`], so that peers keep it in force.
const GOSSIP_INTERVAL_MS: u64 = 500;

/// An upstream's rate limit, and this instance's use of its share.
#[derive(Debug, Clone, Copy, Default)]
pub struct RateLimit {
    per_s: Option<f64>,
    /// When an answer last named the limit, to this instance or a peer.
    observed_ms: u64,
    /// When it was last sent to peers.
    gossiped_ms: u64,
    /// Fleet time of the newest observation, by which observations are ordered.
    as_of_ms: u64,
    bucket: TokenBucket,
}

/// Effect of an answer on the known limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitUpdate {
    /// Whether the limit in force changed.
    pub is_changed: bool,
    /// Fleet time of the observation, if it is to be sent to peers.
    pub gossip_as_of_ms: Option<u64>,
}

impl RateLimit {
    /// Limit in force, in requests per second from all instances; empty if there is none.
    pub fn per_s(&self, now_ms: u64) -> Option<f64> {
        let is_known = now_ms < self.observed_ms + EXPIRY_MS;
        self.per_s.filter(|_| is_known)
    }

    /// Applies an answer of fleet time `fleet_ms` that named a limit, or none.
    pub fn observe(&mut self, now_ms: u64, fleet_ms: u64, per_s: Option<f64>) -> LimitUpdate {
        let before = self.per_s(now_ms);
        let is_held = before.is_some() && now_ms < self.observed_ms + MIN_HOLD_MS;
        if per_s.is_none() && (is_held || before.is_none()) {
            return LimitUpdate {
                is_changed: false,
                gossip_as_of_ms: None,
            };
        }
        let is_changed = before != per_s;
        self.per_s = per_s;
        self.observed_ms = now_ms;
        let is_due = is_changed || now_ms >= self.gossiped_ms + GOSSIP_INTERVAL_MS;
        if is_due {
            self.gossiped_ms = now_ms;
            // An observation of this instance supersedes one of a peer, even if the peer's clock is
            // ahead.
            self.as_of_ms = fleet_ms.max(self.as_of_ms + 1);
        }
        LimitUpdate {
            is_changed,
            gossip_as_of_ms: is_due.then_some(self.as_of_ms),
        }
    }

    /// Applies an observation of a peer; returns whether it is newer than what was known.
    pub fn apply_from_peer(&mut self, now_ms: u64, as_of_ms: u64, per_s: Option<f64>) -> bool {
        if as_of_ms <= self.as_of_ms {
            return false;
        }
        self.as_of_ms = as_of_ms;
        self.per_s = per_s;
        self.observed_ms = now_ms;
        true
    }

    /// Whether a request may be sent now, given this instance's share of the limit.
    pub fn has_room(&mut self, now_ms: u64, share_per_s: f64) -> bool {
        self.bucket.has_token(now_ms, share_per_s)
    }

    /// Consumes one request from this instance's share; false if none is left now.
    pub fn take(&mut self, now_ms: u64, share_per_s: f64) -> bool {
        self.bucket.try_take(now_ms, share_per_s)
    }
}
