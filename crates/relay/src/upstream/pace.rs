//! Pace of an upstream: how long work takes there, relative to the usual time.

use std::cell::{Cell, RefCell};

use plan::{Pace, PaceEstimator, TimedPace, unexplained_silence_ms};
use view::PaceReport;

use super::Upstream;

/// Age from which this instance's own reading of a pace is not reported to peers any more, in ms.
const REPORTED_FOR_MS: u64 = 5_000;

/// Multiple of the lasting factor that no passing slowdown explains: an upstream beyond it is silent.
const STALLED_FACTOR: f64 = 3.0;

/// What is known of the pace of an upstream.
#[derive(Debug, Default)]
pub(super) struct PaceState {
    estimator: RefCell<PaceEstimator>,
    /// The latest pace in an answer to this instance. Only such a pace is reported to peers: one that
    /// came from them would seem younger with each round.
    own: Cell<Option<TimedPace>>,
    /// Longest time within which an answer to a waiting request is expected, in ms; 0 if unknown.
    expected_ms: Cell<f64>,
    /// Lasting pace that was logged last.
    logged: Cell<Option<Pace>>,
}

impl Upstream {
    /// Records a pace that the upstream reported with an answer.
    pub fn note_pace(&self, now_ms: u64, pace: Pace) {
        self.pace.estimator.borrow_mut().record(now_ms, pace);
        self.pace.own.set(Some(TimedPace {
            pace,
            at_ms: now_ms,
        }));
    }

    /// Records what a peer knows of its pace.
    pub fn apply_pace_report(&self, now_ms: u64, report: &PaceReport) {
        let pace = |percent: u16| Pace::from_percent(percent.into());
        let mut estimator = self.pace.estimator.borrow_mut();
        if let Some(current) = pace(report.current_percent)
            && let Some(at_ms) = now_ms.checked_sub(report.age_ms.into())
        {
            estimator.record(at_ms, current);
        }
        if let Some(lasting) = pace(report.lasting_percent) {
            estimator.record_lasting(lasting);
        }
        estimator.record_silence(now_ms, report.silent_ms.into());
    }

    /// What this instance knows of its pace, for gossip; none if it has no recent answer and no silence to report.
    pub fn pace_report(&self, now_ms: u64) -> Option<PaceReport> {
        let estimator = self.pace.estimator.borrow();
        let silent_ms = self.unexplained_silence_ms(now_ms);
        let own = self.pace.own.get();
        let is_recent = own.is_some_and(|own| now_ms < own.at_ms + REPORTED_FOR_MS);
        if !estimator.is_known() || !(is_recent || silent_ms > 0) {
            return None;
        }
        let milliseconds = |ms: u64| u32::try_from(ms).unwrap_or(u32::MAX);
        Some(PaceReport {
            upstream: self.key,
            lasting_percent: estimator.lasting().map_or(0, Pace::percent),
            current_percent: own.map_or(0, |own| own.pace.percent()),
            age_ms: own.map_or(u32::MAX, |own| {
                milliseconds(now_ms.saturating_sub(own.at_ms))
            }),
            silent_ms: milliseconds(silent_ms),
        })
    }

    /// Whether a pace of it is known.
    pub fn reports_pace(&self) -> bool {
        self.pace.estimator.borrow().is_known()
    }

    /// Factor by which predicted times are multiplied there; exactly 1 if no pace of it is known.
    pub fn time_factor(&self, now_ms: u64) -> f64 {
        let silent_ms = self.unexplained_silence_ms(now_ms);
        let estimator = self.pace.estimator.borrow();
        estimator.time_factor(now_ms, silent_ms)
    }

    /// Whether it is silent for longer than slowdowns explain. Its slots count as no room, since requests sent there
    /// would wait until it is ejected; its prediction is still finite, so it is not left out where nobody waits.
    pub fn is_stalled(&self, now_ms: u64) -> bool {
        self.time_factor(now_ms) > self.lasting_factor() * STALLED_FACTOR
    }

    /// The lasting part of its time factor.
    pub fn lasting_factor(&self) -> f64 {
        self.pace.estimator.borrow().lasting_factor()
    }

    /// The lasting part of its time factor; `None` until it is known.
    pub fn known_lasting_factor(&self) -> Option<f64> {
        let lasting = self.pace.estimator.borrow().lasting();
        lasting.map(Pace::factor)
    }

    /// Lasting pace, and the one before, if it became known or fell into another class since the last call.
    pub fn changed_lasting_pace(&self) -> Option<(Pace, Option<Pace>)> {
        let lasting = self.pace.estimator.borrow().lasting()?;
        let before = self.pace.logged.get();
        let class = |pace: Pace| plan::speed_class(pace.factor());
        if before.is_some_and(|before| class(before) == class(lasting)) {
            return None;
        }
        self.pace.logged.set(Some(lasting));
        Some((lasting, before))
    }

    /// Records that a waiting request expects its answer within `expected_ms` at the lasting pace.
    pub(super) fn expect_answer(&self, expected_ms: f64) {
        let is_first = self.unanswered.get() <= 1;
        let others_ms = if is_first {
            0.0
        } else {
            self.pace.expected_ms.get()
        };
        self.pace.expected_ms.set(expected_ms.max(others_ms));
    }

    /// Time for which it has sent nothing while requests wait, beyond what their expected times explain, in ms.
    fn unexplained_silence_ms(&self, now_ms: u64) -> u64 {
        if self.unanswered.get() == 0 {
            return 0;
        }
        let silent_ms = now_ms.saturating_sub(self.last_activity_ms.get());
        let expected_ms = match self.pace.expected_ms.get() {
            0.0 => self.answer_ms(),
            expected_ms => expected_ms,
        };
        unexplained_silence_ms(silent_ms, expected_ms)
    }
}
