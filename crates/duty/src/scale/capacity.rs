//! Engines of a zone, the bounds on them, and orders for them.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

/// How an engine is paid for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CapacityKind {
    /// Stays until it is given back.
    OnDemand,
    /// Costs less, and may be reclaimed.
    Spot,
}

/// The operators' bounds on the engines of a service.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ScalingBounds {
    /// Fewest engines in a zone, of both kinds together.
    #[serde(rename = "least")]
    pub min_per_zone: usize,
    /// Most engines in a zone, of both kinds together.
    #[serde(rename = "most")]
    pub max_per_zone: usize,
    /// Time from an order to the engine's first answer, in ms; 0 if the operators do not say.
    #[serde(default)]
    pub boot_ms: u64,
    /// Price of a spot engine as a share of that of one on demand; 0 where there are no spot
    /// engines.
    pub spot_price: f64,
    /// Price of an engine in each zone, relative to the other zones; 1 where a zone is missing.
    pub zone_prices: HashMap<String, f64>,
}

impl ScalingBounds {
    /// Price of an engine in a zone, relative to the other zones.
    pub fn zone_price(&self, zone: &str) -> f64 {
        self.zone_prices.get(zone).copied().unwrap_or(1.0)
    }
}

/// The engines that a zone has now.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ZoneCapacity {
    /// Name of the zone.
    pub name: String,
    /// Engines on demand that serve.
    pub on_demand: usize,
    /// Spot engines that serve.
    pub spot: usize,
    /// Spot engines that were reclaimed and are leaving.
    pub spot_reclaimed: usize,
}

impl ZoneCapacity {
    /// Engines of a kind that serve.
    pub fn serving(&self, kind: CapacityKind) -> usize {
        match kind {
            CapacityKind::OnDemand => self.on_demand,
            CapacityKind::Spot => self.spot,
        }
    }
}

/// An order: how many engines of a kind a zone should have.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneTarget {
    /// Name of the zone.
    pub zone: String,
    /// Kind of the engines.
    pub kind: CapacityKind,
    /// Engines that the zone should have.
    pub desired: usize,
}

/// Outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It was accepted.
    Taken,
    /// The zone has no capacity of this kind.
    Dry,
    /// It was refused for another reason.
    Refused,
    /// There was no answer.
    Unanswered,
}
