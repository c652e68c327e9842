//! Forecast of the engines that a service's requests will keep busy.

use std::collections::VecDeque;

use view::ServiceDemand;

/// Time for which a figure must have held to count, in ms. A rate whose measurement has just begun
/// is far too high for some hundred ms, and one instance reports it for the whole sum.
const STEADY_MS: u64 = 750;

/// Time without any figure after which earlier ones say nothing about the present, in ms.
const MAX_GAP_MS: u64 = 2_000;

/// Time for which demand must have been observed before the forecast is used, in ms.
const MIN_OBSERVED_MS: u64 = 3_000;

/// Length of the spans whose peaks are kept, in ms.
const SPAN_MS: u64 = 1_000;

/// Request rate of the fleet below which demand counts as unknown, per second: an instance without
/// gossip and callers would otherwise conclude that there is no demand.
const MIN_REQUESTS_PER_S: f32 = 3.0;

/// Demand on a service's engines, in engines that would be fully used.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct EngineDemand {
    /// Engines that would prefill without a pause.
    pub prefill: f64,
    /// Engines whose slots would all be in use for decoding.
    pub decode: f64,
}

impl EngineDemand {
    /// Engines of both roles.
    pub fn total(&self) -> f64 {
        self.prefill + self.decode
    }

    fn max(self, other: Self) -> Self {
        Self {
            prefill: self.prefill.max(other.prefill),
            decode: self.decode.max(other.decode),
        }
    }

    fn min(self, other: Self) -> Self {
        Self {
            prefill: self.prefill.min(other.prefill),
            decode: self.decode.min(other.decode),
        }
    }
}

impl TryFrom<&ServiceDemand> for EngineDemand {
    type Error = UnusableDemand;

    fn try_from(demand: &ServiceDemand) -> Result<Self, UnusableDemand> {
        let is_valid = |engines: f32| engines.is_finite() && engines >= 0.0;
        let is_known = demand.requests_per_s >= MIN_REQUESTS_PER_S;
        if !is_known || !is_valid(demand.prefill_engines) || !is_valid(demand.decode_engines) {
            return Err(UnusableDemand);
        }
        Ok(Self {
            prefill: f64::from(demand.prefill_engines),
            decode: f64::from(demand.decode_engines),
        })
    }
}

/// The figures do not tell the demand: they are invalid, or too few requests were seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnusableDemand;

/// Peak of demand over the last while, by which the next burst is forecast.
///
/// The peaks of prefill and decode are held separately: engines need seconds to change their role,
/// and the requests of the two kinds swing in turn.
#[derive(Debug, Clone, Default)]
pub struct DemandForecast {
    since_ms: u64,
    seen_ms: Option<u64>,
    /// Start of the time since which engines may be given back if demand allows it.
    undisturbed_since_ms: u64,
    recent: VecDeque<(u64, EngineDemand)>,
    peaks: VecDeque<(u64, EngineDemand)>,
}

impl DemandForecast {
    /// Records the current demand; `None` while it is unknown. Peaks are held for `hold_ms`.
    pub fn observe(&mut self, now_ms: u64, hold_ms: u64, demand: Option<EngineDemand>) {
        let Some(demand) = demand else {
            return;
        };
        if !self.is_current(now_ms) {
            *self = Self {
                since_ms: now_ms,
                undisturbed_since_ms: now_ms,
                ..Self::default()
            };
        }
        self.seen_ms = Some(now_ms);
        self.recent.push_back((now_ms, demand));
        while (self.recent.front()).is_some_and(|(at_ms, _)| at_ms + STEADY_MS < now_ms) {
            self.recent.pop_front();
        }
        let steady = self.recent.iter().map(|(_, demand)| *demand);
        let steady = steady.reduce(EngineDemand::min).unwrap_or(demand);
        let span = now_ms / SPAN_MS;
        match self.peaks.back_mut() {
            Some((at, peak)) if *at == span => *peak = peak.max(steady),
            _ => self.peaks.push_back((span, steady)),
        }
        while (self.peaks.front()).is_some_and(|(at, _)| (at + 1) * SPAN_MS + hold_ms < now_ms) {
            self.peaks.pop_front();
        }
    }

    /// Restarts the time after which engines may be given back.
    pub fn disturb(&mut self, now_ms: u64) {
        self.undisturbed_since_ms = now_ms;
    }

    fn is_current(&self, now_ms: u64) -> bool {
        (self.seen_ms).is_some_and(|seen_ms| now_ms <= seen_ms + MAX_GAP_MS)
    }

    /// The forecast peak; `None` while demand is unknown.
    pub fn peak(&self, now_ms: u64) -> Option<EngineDemand> {
        if !self.is_current(now_ms) || now_ms < self.since_ms + MIN_OBSERVED_MS {
            return None;
        }
        let peaks = self.peaks.iter().map(|(_, peak)| *peak);
        peaks.reduce(EngineDemand::max)
    }

    /// Whether demand has been observed without a disturbance for as long as peaks are held.
    pub fn is_settled(&self, now_ms: u64, hold_ms: u64) -> bool {
        self.is_current(now_ms) && now_ms >= self.undisturbed_since_ms + hold_ms
    }
}
