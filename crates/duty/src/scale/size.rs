//! How many engines a service should have, by its demand. See docs/design/scaling.md.

use serde::{Deserialize, Serialize};
use view::ServiceDemand;

use super::ScalingBounds;
use super::forecast::{DemandForecast, EngineDemand};

/// Utilisation of the engines at the forecast peak. The loss to callers from one engine too few for
/// the duration of a boot outweighs the cost of one too many for that time: queues at prefill
/// engines grow quickly above a half. Demand is averaged over 4 s, which hides about a fifth of a
/// burst of 3 s.
const PEAK_UTILIZATION: f64 = 0.45;

/// Utilisation at the forecast peak that is accepted while a zone's spot engines are being
/// replaced. It lasts for a boot time or two, so the headroom for bursts may be used for it.
const UTILIZATION_AFTER_LOSS: f64 = 0.7;

/// Smallest size, as a fraction of the starting size: headroom in proportion to demand does not
/// cover a step out of near silence.
const MIN_STARTING_FRACTION: f64 = 0.25;

/// Fraction of the size by which it grows at least, and by which it shrinks at most in one step.
const STEP_FRACTION: f64 = 1.0 / 12.0;

/// Steps by which the forecast must be lower before the first engines are given back. Peaks differ
/// from one hold to the next, and an engine takes its cached prompts along.
const STEPS_BELOW: usize = 2;

/// Shortest time for which peaks of demand are held, in ms: two phases of 14 s.
const MIN_HOLD_MS: u64 = 30_000;

/// Boot times for which peaks of demand are held at least.
const HOLD_BOOTS: u64 = 6;

/// Assumed boot time where the configuration has none, in ms; also the shortest time between two
/// steps in which engines are given back.
const MIN_STEP_MS: u64 = 4_000;

/// Boot times after which engines that were ordered but did not appear are ordered again.
const LATE_BOOTS: u64 = 3;

/// Why the size is what it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum SizeReason {
    /// Demand is unknown, so the size is kept.
    Unknown,
    /// Demand has grown, and engines for it were added.
    Demand,
    /// The size is what the forecast needs with its headroom.
    Headroom,
    /// The forecast needs fewer engines, which are kept for a while.
    Hold,
    /// The forecast needs fewer engines, and some are given back.
    GivingBack,
    /// The forecast needs a size beyond the bounds.
    Bounds,
}

impl SizeReason {
    /// All reasons, for metrics.
    pub const ALL: [Self; 6] = [
        Self::Unknown,
        Self::Demand,
        Self::Headroom,
        Self::Hold,
        Self::GivingBack,
        Self::Bounds,
    ];

    /// Label in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Demand => "demand",
            Self::Headroom => "headroom",
            Self::Hold => "hold",
            Self::GivingBack => "giving_back",
            Self::Bounds => "bounds",
        }
    }
}

/// The size of a service's fleet as planned.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SizePlan {
    /// Forecast peak of demand; `None` while it is unknown.
    pub forecast: Option<EngineDemand>,
    /// Engines that the service should have.
    pub size: usize,
    /// Why.
    pub reason: SizeReason,
}

/// What bounds the size: the starting size and the operators' bounds for all zones together.
#[derive(Debug, Clone, Copy)]
pub(super) struct SizeBounds {
    pub starting: usize,
    pub min: usize,
    pub max: usize,
}

/// Plans the size of a service's fleet by the demand that this instance observes.
#[derive(Debug, Clone, Default)]
pub(super) struct SizePlanner {
    forecast: DemandForecast,
    stepped_ms: Option<u64>,
    is_giving_back: bool,
}

impl SizePlanner {
    /// Records the fleet's demand, and whether the store is away.
    pub fn observe(
        &mut self,
        now_ms: u64,
        bounds: &ScalingBounds,
        demand: Option<&ServiceDemand>,
        is_store_away: bool,
    ) {
        let demand = demand.and_then(|demand| EngineDemand::try_from(demand).ok());
        self.forecast.observe(now_ms, hold_ms(bounds), demand);
        if is_store_away {
            self.forecast.disturb(now_ms);
        }
    }

    /// Whether demand has been observed without a disturbance for as long as its peaks are held.
    pub fn is_settled(&self, now_ms: u64, bounds: &ScalingBounds) -> bool {
        self.forecast.is_settled(now_ms, hold_ms(bounds))
    }

    /// Engines that the forecast needs with their headroom; 0 while demand is unknown.
    pub fn needed(&self, now_ms: u64) -> usize {
        let peak = self.forecast.peak(now_ms);
        peak.map_or(0, |peak| (peak.total() / PEAK_UTILIZATION).ceil() as usize)
    }

    /// The plan while the fleet keeps the starting size and its reserve.
    pub fn keep(&self, now_ms: u64, size: usize) -> SizePlan {
        let forecast = self.forecast.peak(now_ms);
        let reason = match forecast {
            Some(_) => SizeReason::Hold,
            None => SizeReason::Unknown,
        };
        SizePlan {
            forecast,
            size,
            reason,
        }
    }

    /// The size that follows `size`. `has_surplus` tells that more engines are ordered than `size`
    /// needs, so that a step may be made although the size is right.
    pub fn next(
        &mut self,
        now_ms: u64,
        scaling: &ScalingBounds,
        bounds: SizeBounds,
        size: usize,
        has_surplus: bool,
    ) -> SizePlan {
        let forecast = self.forecast.peak(now_ms);
        let plan = |size, reason| SizePlan {
            forecast,
            size,
            reason,
        };
        if forecast.is_none() {
            return plan(size, SizeReason::Unknown);
        }
        let needed = self.needed(now_ms);
        let least_of_start = (bounds.starting as f64 * MIN_STARTING_FRACTION).ceil() as usize;
        let min = bounds.min.max(least_of_start).min(bounds.max);
        let goal = needed.clamp(min, bounds.max);
        if goal > size {
            self.is_giving_back = false;
            let grown = goal.max(size + step(size)).min(bounds.max);
            return plan(grown, SizeReason::Demand);
        }
        let at_goal = if goal == needed {
            SizeReason::Headroom
        } else {
            SizeReason::Bounds
        };
        let steps = if self.is_giving_back { 1 } else { STEPS_BELOW };
        let is_lower = goal + steps * step(size) < size;
        if !is_lower && !has_surplus {
            self.is_giving_back = false;
            return plan(size, at_goal);
        }
        let interval_ms = boot_ms(scaling).max(MIN_STEP_MS);
        let is_paused = (self.stepped_ms).is_some_and(|at_ms| now_ms < at_ms + interval_ms);
        if is_paused || !self.forecast.is_settled(now_ms, hold_ms(scaling)) {
            return plan(size, SizeReason::Hold);
        }
        self.stepped_ms = Some(now_ms);
        self.is_giving_back = is_lower;
        let next = if is_lower {
            goal.max(size - step(size))
        } else {
            size
        };
        plan(next, SizeReason::GivingBack)
    }
}

/// Engines by which a fleet grows at least and shrinks at most in one step.
pub(super) fn step(size: usize) -> usize {
    (size as f64 * STEP_FRACTION).ceil() as usize
}

/// Engines that must remain when all spot engines of one zone are reclaimed.
pub(super) fn size_after_loss(size: usize) -> usize {
    (size as f64 * (PEAK_UTILIZATION / UTILIZATION_AFTER_LOSS)).ceil() as usize
}

/// Time after which engines that were ordered but did not appear are ordered again, in ms.
pub(super) fn late_ms(bounds: &ScalingBounds) -> u64 {
    LATE_BOOTS * boot_ms(bounds)
}

fn boot_ms(bounds: &ScalingBounds) -> u64 {
    if bounds.boot_ms == 0 {
        MIN_STEP_MS
    } else {
        bounds.boot_ms
    }
}

fn hold_ms(bounds: &ScalingBounds) -> u64 {
    (HOLD_BOOTS * boot_ms(bounds)).max(MIN_HOLD_MS)
}
