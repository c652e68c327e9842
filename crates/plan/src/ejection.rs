//! Outlier ejection: upstreams that are much slower than predicted, or that fail, get no requests
//! for a while and are then probed with one.

/// Weight of one response in the moving average.
const SMOOTHING_FACTOR: f64 = 0.25;

/// Ratio of actual to predicted latency that a healthy engine reaches under changing mixes.
const HEALTHY_RATIO: f64 = 1.6;

/// Average ratio of actual to predicted latency at which an upstream is ejected.
const EJECTION_RATIO: f64 = 4.0;

/// Bounds of the ratio that a single response counts with. One late response of a healthy upstream, which may have been
/// silent for a second, must not reach `EJECTION_RATIO`.
const RATIO_BOUNDS: (f64, f64) = (0.25, 11.0);

/// Consecutive failures at which an upstream is ejected.
const MAX_FAILURES: u32 = 3;

/// Time of the first ejection; it doubles with each further one.
const BASE_EJECTION_MS: u64 = 2_000;

/// Longest time of an ejection.
const MAX_EJECTION_MS: u64 = 30_000;

/// Whether an upstream may be sent requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthStatus {
    /// It may.
    Healthy,
    /// Its ejection is over; it may be sent one request that can be retried.
    Probe,
    /// It is ejected, or a probe is in flight.
    Ejected,
}

/// Recent latency and failures of one upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Health {
    /// Moving average of actual to predicted latency.
    latency_ratio: f64,
    /// Consecutive failures.
    failures: u32,
    /// Consecutive ejections, which lengthen the next one.
    ejections: u32,
    /// Start and end of the ejection; the end is 0 if it is not ejected.
    ejected_from_ms: u64,
    ejected_until_ms: u64,
    is_probing: bool,
    last_activity_ms: u64,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            latency_ratio: 1.0,
            failures: 0,
            ejections: 0,
            ejected_from_ms: 0,
            ejected_until_ms: 0,
            is_probing: false,
            last_activity_ms: 0,
        }
    }
}

impl Health {
    /// Factor by which to stretch latency predictions of the upstream; at least 1.
    ///
    /// Up to `HEALTHY_RATIO` the latency varies with the mix of requests, and stretching
    /// predictions for it would refuse requests that would have met their deadline.
    pub fn slowness(&self) -> f64 {
        (self.latency_ratio / HEALTHY_RATIO).max(1.0)
    }

    /// Records the actual time between two tokens, or of a call, against the time predicted for a
    /// healthy upstream.
    ///
    /// The time between tokens indicates an engine's health better than the time to the first
    /// token, which depends mostly on its queue.
    pub fn record_latency(&mut self, now_ms: u64, predicted_ms: f64, actual_ms: f64) {
        let ratio = (actual_ms / predicted_ms.max(1.0)).clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
        self.failures = 0;
        if self.is_probing {
            // Latency from before the ejection does not describe the upstream now.
            self.latency_ratio = ratio;
            self.is_probing = false;
        } else {
            self.latency_ratio += SMOOTHING_FACTOR * (ratio - self.latency_ratio);
        }
        if self.latency_ratio >= EJECTION_RATIO {
            self.eject(now_ms);
        } else {
            self.ejections = 0;
            self.ejected_until_ms = 0;
        }
    }

    /// Records a token of any request, which shows that the upstream is alive.
    pub fn record_activity(&mut self, now_ms: u64) {
        self.last_activity_ms = self.last_activity_ms.max(now_ms);
    }

    /// Whether the upstream has sent nothing on any request since `sent_ms`.
    ///
    /// This distinguishes a request on a dead engine from one that waits in the queue of a busy
    /// engine. Cancelling the latter and starting over at the back of another queue would add work
    /// just when the engines are overloaded.
    pub fn is_silent_since(&self, sent_ms: u64) -> bool {
        self.last_activity_ms < sent_ms
    }

    /// Records a failure that is due to the upstream.
    pub fn record_failure(&mut self, now_ms: u64) {
        self.failures += 1;
        if self.failures >= MAX_FAILURES || self.is_probing {
            self.is_probing = false;
            self.eject(now_ms);
        }
    }

    /// Records that no connection could be opened.
    ///
    /// It ejects the upstream at once: a failed connection attempt takes hundreds of ms of a
    /// request's time, and the next request would fail in the same way.
    pub fn record_unreachable(&mut self, now_ms: u64) {
        self.is_probing = false;
        self.eject(now_ms);
    }

    fn eject(&mut self, now_ms: u64) {
        if self.ejected_until_ms > now_ms {
            return;
        }
        let ejection_ms = BASE_EJECTION_MS << self.ejections.min(4);
        self.ejected_from_ms = now_ms;
        self.ejected_until_ms = now_ms + ejection_ms.min(MAX_EJECTION_MS);
        self.ejections += 1;
    }

    /// Takes back failures and an ejection since `since_ms`, which were not the upstream's fault.
    pub fn forgive_since(&mut self, since_ms: u64) {
        self.failures = 0;
        if self.ejected_until_ms > 0 && self.ejected_from_ms >= since_ms {
            *self = Self {
                last_activity_ms: self.last_activity_ms,
                ..Self::default()
            };
        }
    }

    /// Whether the upstream may be sent requests now.
    pub fn status(&self, now_ms: u64) -> HealthStatus {
        if self.ejected_until_ms == 0 {
            return HealthStatus::Healthy;
        }
        if now_ms < self.ejected_until_ms || self.is_probing {
            return HealthStatus::Ejected;
        }
        HealthStatus::Probe
    }

    /// Ends a probe that neither succeeded nor failed, because it was rejected, held back or given up; the next
    /// one follows after another ejection.
    pub fn abandon_probe(&mut self, now_ms: u64) {
        if self.is_probing {
            self.is_probing = false;
            self.ejected_until_ms = now_ms + BASE_EJECTION_MS;
        }
    }

    /// Marks a probe as sent; until its outcome is recorded the upstream counts as ejected.
    pub fn start_probe(&mut self) {
        self.is_probing = true;
    }
}
