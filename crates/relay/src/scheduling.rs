//! Settings that turn the parts of scheduling under hard load off.
//!
//! A part that is not turned off acts only where the deployment calls for it. See docs/design/hard-load.md.

use derive_more::{Display, Error, FromStr};
use plan::DEFAULT_CROSS_ZONE_PRICE;
use serde::Deserialize;

/// Whether a part acts where the deployment calls for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Switch {
    /// It acts where the configuration or the upstreams call for it.
    #[default]
    Auto,
    /// It never acts.
    Off,
}

impl Switch {
    /// Whether the part may act.
    pub fn is_auto(self) -> bool {
        self == Self::Auto
    }
}

/// A part of scheduling that can be turned off.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq, FromStr)]
pub enum SchedulingPart {
    /// Speeds of single upstreams.
    #[display("pace")]
    Pace,
    /// The queue at the instance.
    #[display("waiting")]
    Waiting,
    /// Fair shares of workspaces.
    #[display("shares")]
    Shares,
    /// The cost of placements in other availability zones.
    #[display("zones")]
    Zones,
    /// Engines ordered by demand.
    #[display("scaling")]
    Scaling,
}

/// Why a price is not usable.
#[derive(Debug, Display, Clone, Copy, PartialEq, Error)]
#[display("crossZonePrice is {_0}, not a finite number from 0 up")]
pub struct InvalidPrice(#[error(not(source))] f64);

/// Price of a gigabyte between zones, in requests on time.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(try_from = "f64")]
pub struct CrossZonePrice(f64);

impl CrossZonePrice {
    /// The price.
    pub fn value(self) -> f64 {
        self.0
    }
}

impl Default for CrossZonePrice {
    fn default() -> Self {
        Self(DEFAULT_CROSS_ZONE_PRICE)
    }
}

impl TryFrom<f64> for CrossZonePrice {
    type Error = InvalidPrice;

    fn try_from(price: f64) -> Result<Self, InvalidPrice> {
        if price.is_finite() && price >= 0.0 {
            Ok(Self(price))
        } else {
            Err(InvalidPrice(price))
        }
    }
}

/// Which parts of scheduling may act.
#[derive(Debug, Clone, Copy, PartialEq, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SchedulingSettings {
    /// Speeds of single upstreams.
    pub pace: Switch,
    /// The queue at the instance.
    pub waiting: Switch,
    /// Fair shares of workspaces.
    pub shares: Switch,
    /// The cost of placements in other availability zones.
    pub zones: Switch,
    /// Engines ordered by demand.
    pub scaling: Switch,
    /// Price of a gigabyte between zones.
    #[serde(rename = "crossZonePrice")]
    pub cross_zone_price: CrossZonePrice,
}

impl SchedulingSettings {
    /// These settings with one part turned off.
    #[must_use]
    pub fn without(mut self, part: SchedulingPart) -> Self {
        let switch = match part {
            SchedulingPart::Pace => &mut self.pace,
            SchedulingPart::Waiting => &mut self.waiting,
            SchedulingPart::Shares => &mut self.shares,
            SchedulingPart::Zones => &mut self.zones,
            SchedulingPart::Scaling => &mut self.scaling,
        };
        *switch = Switch::Off;
        self
    }
}
