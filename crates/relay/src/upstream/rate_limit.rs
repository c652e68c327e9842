//! How many requests an upstream takes from all instances together, as it names it in its answers.

use plan::TokenBucket;

/// Time for which a limit holds after it was last named, whatever other answers say, in ms: an answer that names none may
/// have been begun before it was named.
const MIN_HOLD_MS: u64 = 1_500;

/// Time after which a limit that nobody has named again is forgotten, in ms: its users have nothing to send there, and what the
/// others send tells them again.
const EXPIRY_MS: u64 = 30_000;

/// Time between two tellings of a limit that goes on being named, in ms; shorter than it is held.
const GOSSIP_INTERVAL_MS: u64 = 500;

/// What is known of an upstream's limit, and how much of it is left.
#[derive(Debug, Clone, Copy, Default)]
pub struct RateLimit {
    per_s: Option<f64>,
    /// When it was last named, to anybody.
    observed_ms: u64,
    /// When it was last told to others.
    gossiped_ms: u64,
    /// Time of day of the word that counts.
    as_of_ms: u64,
    bucket: TokenBucket,
}

/// What an answer changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitUpdate {
    /// Whether the limit is another one now.
    pub is_changed: bool,
    /// Time of day of the word for the others, if they are to be told.
    pub gossip_as_of_ms: Option<u64>,
}

impl RateLimit {
    /// Requests a second that it takes from all instances together.
    pub fn per_s(&self, now_ms: u64) -> Option<f64> {
        let is_known = now_ms < self.observed_ms + EXPIRY_MS;
        self.per_s.filter(|_| is_known)
    }

    /// An answer named a limit, or none, at `day_ms` of the fleet's time of day.
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
            // What was seen here counts, even where another one's time of day is ahead.
            self.as_of_ms = fleet_ms.max(self.as_of_ms + 1);
        }
        LimitUpdate {
            is_changed,
            gossip_as_of_ms: is_due.then_some(self.as_of_ms),
        }
    }

    /// Another instance was told so; gives whether that is news.
    pub fn apply_from_peer(&mut self, now_ms: u64, as_of_ms: u64, per_s: Option<f64>) -> bool {
        if as_of_ms <= self.as_of_ms {
            return false;
        }
        self.as_of_ms = as_of_ms;
        self.per_s = per_s;
        self.observed_ms = now_ms;
        true
    }

    /// Whether a request may go there now, where this instance's part is `part_per_s`.
    pub fn has_room(&mut self, now_ms: u64, share_per_s: f64) -> bool {
        self.bucket.has_token(now_ms, share_per_s)
    }

    /// Takes the place of one request, if it may go there now.
    pub fn take(&mut self, now_ms: u64, share_per_s: f64) -> bool {
        self.bucket.try_take(now_ms, share_per_s)
    }
}
