//! Slow upstreams: noticed by how their answers compare with predictions, left alone, tried again.

/// Weight of one answer in the moving average.
const SMOOTHING: f64 = 0.25;

/// Ratio of pace to prediction that an engine in good health shows under changing mixes.
const ORDINARY: f64 = 1.6;

/// Slowness at which an upstream gets no ordinary work.
const EJECT_AT: f64 = 4.0;

/// Failures in a row after which an upstream is left alone.
const FAILURES: u32 = 3;

/// First time for which an upstream is left alone; it doubles with each further ejection.
const REST_MS: u64 = 2_000;

/// Longest time for which an upstream is left alone.
const LONGEST_REST_MS: u64 = 30_000;

/// Whether an upstream is fit for work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthStatus {
    /// It is.
    Healthy,
    /// It may be tried with one request that can be repeated.
    Probe,
    /// It is not.
    Ejected,
}

/// How one upstream has been answering.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Health {
    slowness: f64,
    failures: u32,
    ejections: u32,
    rest_until_ms: u64,
    probing: bool,
    sign_ms: u64,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            slowness: 1.0,
            failures: 0,
            ejections: 0,
            rest_until_ms: 0,
            probing: false,
            sign_ms: 0,
        }
    }
}

impl Health {
    /// Factor by which predictions of the upstream are to be stretched.
    ///
    /// Within `ORDINARY` the pace differs for the mix's sake, and stretching predictions for it
    /// would refuse requests that would have been in time.
    pub fn slowness(&self) -> f64 {
        (self.slowness / ORDINARY).max(1.0)
    }

    /// The time between tokens was `actual_ms` where `predicted_ms` was expected of an engine in
    /// good health, or a call took that long.
    ///
    /// The pace of the output tells an engine's health better than the time to the first token,
    /// which says more of the queue than of the engine.
    pub fn record_latency(&mut self, now_ms: u64, predicted_ms: f64, actual_ms: f64) {
        let ratio = (actual_ms / predicted_ms.max(1.0)).clamp(0.25, 20.0);
        self.failures = 0;
        if self.probing {
            // What was slow before the rest says nothing of now.
            self.slowness = ratio;
            self.probing = false;
        } else {
            self.slowness += SMOOTHING * (ratio - self.slowness);
        }
        if self.slowness >= EJECT_AT {
            self.eject(now_ms);
        } else {
            self.ejections = 0;
            self.rest_until_ms = 0;
        }
    }

    /// The upstream gave a sign of life: a token of any request.
    pub fn record_activity(&mut self, now_ms: u64) {
        self.sign_ms = self.sign_ms.max(now_ms);
    }

    /// Whether the upstream has been silent towards everyone since a request was sent to it.
    ///
    /// A request that waits behind others on a busy engine must not be taken for one that sits
    /// on a dead one: giving it up and starting again elsewhere, at the back of another queue,
    /// adds work exactly when there is too much.
    pub fn is_silent_since(&self, sent_ms: u64) -> bool {
        self.sign_ms < sent_ms
    }

    /// A request failed for the upstream's own sake.
    pub fn record_failure(&mut self, now_ms: u64) {
        self.failures += 1;
        if self.failures >= FAILURES || self.probing {
            self.probing = false;
            self.eject(now_ms);
        }
    }

    /// No connection could be opened.
    ///
    /// It is left alone at once: finding out takes hundreds of ms of a request's time, and a
    /// second request would find nothing else.
    pub fn record_unreachable(&mut self, now_ms: u64) {
        self.probing = false;
        self.eject(now_ms);
    }

    fn eject(&mut self, now_ms: u64) {
        if self.rest_until_ms > now_ms {
            return;
        }
        let rest_ms = REST_MS << self.ejections.min(4);
        self.rest_until_ms = now_ms + rest_ms.min(LONGEST_REST_MS);
        self.ejections += 1;
    }

    /// Whether it may get work now.
    pub fn status(&self, now_ms: u64) -> HealthStatus {
        if self.rest_until_ms == 0 {
            return HealthStatus::Healthy;
        }
        if now_ms < self.rest_until_ms || self.probing {
            return HealthStatus::Ejected;
        }
        HealthStatus::Probe
    }

    /// A probe is on its way.
    pub fn start_probe(&mut self) {
        self.probing = true;
    }
}
