//! Answers that went on past a bound, and were taken for none.

use prometheus::IntCounterVec;

use super::Registrar;

/// What was longer than it may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PastBound {
    /// The head, with the interim answers before it.
    Head,
    /// The body of an answer that is read whole.
    Body,
    /// An event of a stream.
    Event,
    /// The number of events of a stream.
    Events,
}

impl PastBound {
    /// Label in metrics.
    fn label(self) -> &'static str {
        match self {
            Self::Head => "head",
            Self::Body => "body",
            Self::Event => "event",
            Self::Events => "events",
        }
    }
}

/// Counts such answers by service and bound.
pub struct PastBoundMetrics(IntCounterVec);

impl PastBoundMetrics {
    pub(super) fn new(all: &Registrar) -> Self {
        Self(all.counter(
            "answers_past_bound_total",
            "Answers that went on past a bound and were taken for none.",
            &["service", "bound"],
        ))
    }

    /// Counts one.
    pub fn count(&self, service: &str, bound: PastBound) {
        self.0.with_label_values(&[service, bound.label()]).inc();
    }
}
