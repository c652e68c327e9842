//! Whether a request is worth sending to an upstream in another availability zone.
//!
//! Links between zones are billed by the byte. Without a price, requests go to the least loaded engine of the
//! region, and with three zones two of three bodies cross. A caller whose request starts on time either way
//! gains nothing by that, so time counts only beyond a safe part of the objective. The delay of other requests
//! always counts. See docs/design/zones.md.

use crate::Prediction;

/// Price of a gigabyte between zones, in requests on time, if the operator sets none.
pub const DEFAULT_CROSS_ZONE_PRICE: f64 = 1_500.0;

/// Wait for a first event that costs as much as a request on time is worth, in ms.
const REQUEST_WORTH_MS: f64 = 1_000.0;

const GIGABYTE: f64 = 1e9;

/// Factor on the crossing's cost that a gain must exceed while requests stay in their zone, and while they
/// leave it. The gap keeps load waves shorter than the age of load figures from reversing each choice.
const ENTER_FACTOR: f64 = 1.2;
const STAY_FACTOR: f64 = 0.8;

/// Shortest time between two changes of a service's tendency, in ms: ten gossip periods.
const MIN_TENDENCY_MS: u64 = 500;

/// Cost of sending a body to another zone, in ms of a caller's wait.
pub fn crossing_ms(price: f64, body_bytes: f64) -> f64 {
    price * body_bytes / GIGABYTE * REQUEST_WORTH_MS
}

/// Where an upstream is, seen from the instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ZoneRelation {
    /// In the instance's own zone.
    #[default]
    Own,
    /// In another zone.
    Other,
}

/// The part of a request that a placement serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacedStep {
    /// Prefill and decode at one engine.
    Whole,
    /// A separate prefill.
    Prefill,
    /// The decode after a separate prefill.
    Decode,
}

impl PlacedStep {
    /// Fraction of the time until the objective within which this step ends on time with a margin. The two
    /// steps of a separate prefill share what a whole placement may use.
    fn safe_fraction(self) -> f64 {
        match self {
            Self::Whole => 0.5,
            Self::Prefill => 0.35,
            Self::Decode => 0.15,
        }
    }
}

/// What a choice between zones depends on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ZoneChoice {
    /// Cost of sending the request's body to another zone.
    pub crossing_ms: f64,
    /// Time left until the request's objective.
    pub left_ms: f64,
    /// The part of the request to place.
    pub step: PlacedStep,
    /// Where the service's requests tend to go now.
    pub tendency: ZoneRelation,
}

impl ZoneChoice {
    /// Index and prediction of the placement to take; the cost of a crossing is part of its interference.
    ///
    /// The cheapest placement in the own zone is taken unless one in another zone gains more than the
    /// crossing costs.
    pub fn cheapest(
        &self,
        placements: impl Iterator<Item = (ZoneRelation, Prediction)>,
    ) -> Option<(usize, Prediction)> {
        let (mut own, mut other) = (None, None);
        for (index, (relation, predicted)) in placements.enumerate() {
            let (best, predicted) = match relation {
                ZoneRelation::Own => (&mut own, predicted),
                ZoneRelation::Other => (&mut other, self.with_crossing(predicted)),
            };
            let is_cheaper = best
                .is_none_or(|(_, best): (usize, Prediction)| predicted.cost_ms() < best.cost_ms());
            if is_cheaper {
                *best = Some((index, predicted));
            }
        }
        match (own, other) {
            (Some(own), Some(other)) if !self.is_worth_crossing(&own.1, &other.1) => Some(own),
            (own, other) => other.or(own),
        }
    }

    /// Whether a placement in another zone, whose prediction includes the crossing, gains enough.
    fn is_worth_crossing(&self, own: &Prediction, other: &Prediction) -> bool {
        let factor = match self.tendency {
            ZoneRelation::Own => ENTER_FACTOR,
            ZoneRelation::Other => STAY_FACTOR,
        };
        let gain_ms = self.counted_ms(own) - (self.counted_ms(other) - self.crossing_ms);
        gain_ms > self.crossing_ms * factor
    }

    /// Cost of a placement that counts for the choice of the zone.
    fn counted_ms(&self, predicted: &Prediction) -> f64 {
        let safe_ms = (self.left_ms * self.step.safe_fraction()).max(0.0);
        (predicted.total_ms() - safe_ms).max(0.0) + predicted.interference_ms
    }

    fn with_crossing(&self, predicted: Prediction) -> Prediction {
        Prediction {
            interference_ms: predicted.interference_ms + self.crossing_ms,
            ..predicted
        }
    }
}

/// Where the requests of a service tend to go: it follows the choices, with a least time between changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ZoneTendency {
    relation: ZoneRelation,
    changed_ms: u64,
}

impl ZoneTendency {
    /// Where requests tend to go.
    pub fn relation(&self) -> ZoneRelation {
        self.relation
    }

    /// Records a choice.
    pub fn record(&mut self, now_ms: u64, chosen: ZoneRelation) {
        if chosen != self.relation && now_ms >= self.changed_ms + MIN_TENDENCY_MS {
            *self = Self {
                relation: chosen,
                changed_ms: now_ms,
            };
        }
    }
}
