//! How long work takes at one upstream, relative to the usual time.
//!
//! Upstreams report a pace with their answers: a lasting factor, the speed of the machine, times a
//! passing one, a slowdown of some hundred ms. Predictions follow the lasting factor for hours and
//! the passing one only for as long as it may still hold. See docs/design/pace.md.

use std::collections::VecDeque;

/// Bounds of a reported pace, in percent of the usual time; others are taken for nonsense.
const PACE_BOUNDS_PERCENT: (f64, f64) = (10.0, 2_000.0);

/// Bounds of the time factor.
const FACTOR_BOUNDS: (f64, f64) = (0.1, 20.0);

/// Time over which reported paces count as one observation of the lasting factor, in ms. A burst of
/// answers within one slowdown must not outvote the others.
const OBSERVATION_MS: u64 = 250;

/// Most observations kept: the latest few seconds of a busy upstream.
const MAX_OBSERVATIONS: usize = 16;

/// Observations from which the lasting factor counts as known.
const MIN_OBSERVATIONS: usize = 3;

/// Quantile of the observations that is the lasting factor: slowdowns only ever raise a pace.
const LASTING_QUANTILE: f64 = 0.3;

/// Age at which a reported pace says nothing of the passing factor any more, in ms: the usual
/// duration of a slowdown.
const PASSING_MS: f64 = 500.0;

/// Unexplained silence that doubles the time factor, in ms.
const SILENCE_DOUBLING_MS: f64 = 100.0;

/// Time for which a peer's report of a silence counts, in ms: some gossip periods.
const SILENCE_REPORT_MS: u64 = 300;

/// Multiple of the expected time of an answer that a silence may last without explanation.
const EXPLAINED_FACTOR: f64 = 1.5;

/// Bounds of the silence that expected times explain, in ms. A sound upstream may be silent for a second.
const EXPLAINED_BOUNDS_MS: (f64, f64) = (150.0, 1_000.0);

/// Ratio of two lasting factors that fall into neighbouring speed classes.
const SPEED_CLASS_RATIO: f64 = 1.2;

/// Time that work takes relative to the usual time, as an upstream reported it.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Pace(f64);

impl Pace {
    /// The pace of a figure in percent; `None` if the figure is nonsense.
    pub fn from_percent(percent: f64) -> Option<Self> {
        let (least, most) = PACE_BOUNDS_PERCENT;
        (least..=most)
            .contains(&percent)
            .then_some(Self(percent / 100.0))
    }

    /// The factor by which work takes longer than usual.
    pub fn factor(self) -> f64 {
        self.0
    }

    /// The figure in whole percent.
    pub fn percent(self) -> u16 {
        (self.0 * 100.0).round() as u16
    }
}

/// Paces of about the same time, of which the lowest counts.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Observation {
    began_ms: u64,
    lowest: Pace,
}

/// A reported pace and when the upstream reported it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TimedPace {
    /// The pace.
    pub pace: Pace,
    /// When it was reported.
    pub at_ms: u64,
}

/// A silence that a peer reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PeerSilence {
    since_ms: u64,
    reported_ms: u64,
}

/// Estimates the time factor of one incarnation of an upstream.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct PaceEstimator {
    observations: VecDeque<Observation>,
    latest: Option<TimedPace>,
    /// The lasting factor by the observations; kept up to date because predictions ask for it often.
    observed: Option<f64>,
    told_by_peers: Option<Pace>,
    peer_silence: Option<PeerSilence>,
}

impl PaceEstimator {
    /// Records a pace that the upstream reported at `at_ms`, to this instance or a peer.
    pub fn record(&mut self, at_ms: u64, pace: Pace) {
        if self.latest.is_none_or(|latest| latest.at_ms <= at_ms) {
            self.latest = Some(TimedPace { pace, at_ms });
        }
        let nearest = self
            .observations
            .iter_mut()
            .rev()
            .find(|each| each.began_ms <= at_ms);
        match nearest {
            Some(each) if at_ms < each.began_ms + OBSERVATION_MS => {
                each.lowest = if pace < each.lowest {
                    pace
                } else {
                    each.lowest
                };
            }
            _ => self.insert(Observation {
                began_ms: at_ms,
                lowest: pace,
            }),
        }
        self.observed = self.quantile();
    }

    /// Inserts an observation in order of time; reports of peers come late.
    fn insert(&mut self, observation: Observation) {
        let later = |each: &Observation| each.began_ms > observation.began_ms;
        let later = self
            .observations
            .iter()
            .rev()
            .take_while(|each| later(each));
        let at = self.observations.len() - later.count();
        self.observations.insert(at, observation);
        if self.observations.len() > MAX_OBSERVATIONS {
            self.observations.pop_front();
        }
    }

    fn quantile(&self) -> Option<f64> {
        let mut factors: Vec<f64> = self
            .observations
            .iter()
            .map(|each| each.lowest.factor())
            .collect();
        factors.sort_by(f64::total_cmp);
        let at = (factors.len().saturating_sub(1) as f64 * LASTING_QUANTILE) as usize;
        factors.get(at).copied()
    }

    /// Records the lasting pace that a peer knows.
    pub fn record_lasting(&mut self, pace: Pace) {
        self.told_by_peers = Some(pace);
    }

    /// Records that at `now_ms` the upstream has been silent to a peer for `silent_ms` longer than is
    /// explained; 0 if the peer withdraws an earlier report.
    pub fn record_silence(&mut self, now_ms: u64, silent_ms: u64) {
        let since_ms = now_ms.saturating_sub(silent_ms);
        self.peer_silence = (silent_ms > 0).then_some(PeerSilence {
            since_ms,
            reported_ms: now_ms,
        });
    }

    /// Whether any pace of the upstream is known.
    pub fn is_known(&self) -> bool {
        self.latest.is_some() || self.told_by_peers.is_some()
    }

    /// The latest reported pace.
    pub fn latest(&self) -> Option<TimedPace> {
        self.latest
    }

    /// The lasting pace; `None` until enough paces were reported.
    pub fn lasting(&self) -> Option<Pace> {
        let is_observed = self.observations.len() >= MIN_OBSERVATIONS;
        self.observed
            .filter(|_| is_observed)
            .map(Pace)
            .or(self.told_by_peers)
    }

    /// The lasting factor as far as it is known. A few observations may all be of one slowdown, so they
    /// count for less.
    pub fn lasting_factor(&self) -> f64 {
        match (self.lasting(), self.observed) {
            (Some(lasting), _) => lasting.factor(),
            (None, Some(observed)) => {
                let trust = self.observations.len() as f64 / MIN_OBSERVATIONS as f64;
                observed.powf(trust)
            }
            (None, None) => 1.0,
        }
    }

    /// Factor by which predicted times at the upstream are multiplied; exactly 1 if no pace is known.
    ///
    /// `silent_ms` is for how long it has been silent to this instance beyond what is explained.
    pub fn time_factor(&self, now_ms: u64, silent_ms: u64) -> f64 {
        if !self.is_known() {
            return 1.0;
        }
        let lasting = self.lasting_factor();
        let factor = self.passing(now_ms, lasting) * self.silence(now_ms, silent_ms);
        (lasting * factor).clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1)
    }

    /// The passing factor, of which less counts the older the latest pace is.
    fn passing(&self, now_ms: u64, lasting: f64) -> f64 {
        let Some(latest) = self.latest else {
            return 1.0;
        };
        let age_ms = now_ms.saturating_sub(latest.at_ms) as f64;
        let weight = (1.0 - age_ms / PASSING_MS).max(0.0);
        1.0 + (latest.pace.factor() / lasting - 1.0) * weight
    }

    /// The factor for a silence to this instance or to a peer that no later answer has ended.
    fn silence(&self, now_ms: u64, silent_ms: u64) -> f64 {
        let own_since_ms = (silent_ms > 0).then(|| now_ms.saturating_sub(silent_ms));
        let is_recent = |it: &PeerSilence| now_ms < it.reported_ms + SILENCE_REPORT_MS;
        let peer_since_ms = self
            .peer_silence
            .filter(is_recent)
            .map(|silence| silence.since_ms);
        let is_unanswered =
            |since_ms: &u64| self.latest.is_none_or(|latest| latest.at_ms < *since_ms);
        let since_ms = own_since_ms
            .into_iter()
            .chain(peer_since_ms)
            .filter(is_unanswered)
            .min();
        let silent_ms = since_ms.map_or(0, |since_ms| now_ms.saturating_sub(since_ms));
        1.0 + silent_ms as f64 / SILENCE_DOUBLING_MS
    }
}

/// The part of a silence that the expected time of the answers does not explain, in ms.
pub fn unexplained_silence_ms(silent_ms: u64, expected_ms: f64) -> u64 {
    let (least_ms, most_ms) = EXPLAINED_BOUNDS_MS;
    let explained_ms = (expected_ms * EXPLAINED_FACTOR).clamp(least_ms, most_ms);
    silent_ms.saturating_sub(explained_ms as u64)
}

/// Speed class of an upstream: 0 at the usual speed, negative if it is faster. Small differences fall
/// into one class, so that other criteria decide.
pub fn speed_class(lasting_factor: f64) -> i32 {
    (lasting_factor.ln() / SPEED_CLASS_RATIO.ln()).round() as i32
}
