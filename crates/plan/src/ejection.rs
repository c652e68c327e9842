//! Slow upstreams: noticed by how their answers compare with predictions, left alone, tried again.

/// Weight of one answer in the moving average.
const SMOOTHING: f64 = 0.1;

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
pub enum Verdict {
    /// It is.
    Fit,
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
}

impl Default for Health {
    fn default() -> Self {
        Self {
            slowness: 1.0,
            failures: 0,
            ejections: 0,
            rest_until_ms: 0,
            probing: false,
        }
    }
}

impl Health {
    /// Factor by which answers take longer than predicted, as a moving average.
    pub fn slowness(&self) -> f64 {
        self.slowness
    }

    /// An answer took `actual_ms` where `predicted_ms` was expected.
    pub fn answered(&mut self, now_ms: u64, predicted_ms: f64, actual_ms: f64) {
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

    /// A request failed for the upstream's own sake.
    pub fn failed(&mut self, now_ms: u64) {
        self.failures += 1;
        if self.failures >= FAILURES || self.probing {
            self.probing = false;
            self.eject(now_ms);
        }
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
    pub fn verdict(&self, now_ms: u64) -> Verdict {
        if self.rest_until_ms == 0 {
            return Verdict::Fit;
        }
        if now_ms < self.rest_until_ms || self.probing {
            return Verdict::Ejected;
        }
        Verdict::Probe
    }

    /// A probe is on its way.
    pub fn probe(&mut self) {
        self.probing = true;
    }
}
