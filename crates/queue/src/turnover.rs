//! Rate at which waiting requests of an instance get places.

/// Time constant of the average, in ms: a few durations of a short answer.
const SMOOTHING_MS: f64 = 500.0;

/// Time without an observation after which the assumed rate applies again, in ms.
const STALE_MS: u64 = 2_000;

/// Lowest rate, as a fraction of the assumed one: upstreams that pause for a moment go on.
const MIN_FRACTION: f64 = 0.1;

/// Moving average of the rate at which requests of this instance get places.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Turnover {
    per_ms: f64,
    assumed_per_ms: f64,
    at_ms: u64,
}

impl Turnover {
    /// Starts to observe requests that wait. Without them the observed rate is that of the arrivals, so the assumed
    /// one applies if it is higher.
    pub fn begin(&mut self, now_ms: u64, assumed_per_ms: f64) {
        self.assumed_per_ms = assumed_per_ms;
        let is_stale = now_ms >= self.at_ms + STALE_MS;
        let known_per_ms = if is_stale { 0.0 } else { self.per_ms(now_ms) };
        self.per_ms = known_per_ms.max(assumed_per_ms);
        self.at_ms = now_ms;
    }

    /// Records that a request got a place.
    pub fn note_placed(&mut self, now_ms: u64) {
        self.per_ms = self.decayed(now_ms) + 1.0 / SMOOTHING_MS;
        self.at_ms = now_ms;
    }

    /// Requests that get places, per ms.
    pub fn per_ms(&self, now_ms: u64) -> f64 {
        self.decayed(now_ms).max(self.assumed_per_ms * MIN_FRACTION)
    }

    /// Time until `requests` have got places, in ms.
    pub fn time_ms(&self, now_ms: u64, requests: usize) -> f64 {
        requests as f64 / self.per_ms(now_ms).max(f64::MIN_POSITIVE)
    }

    fn decayed(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.per_ms * (-age_ms / SMOOTHING_MS).exp()
    }
}
