//! Settings that turn the parts of scheduling under hard load off.
//!
//! A part that is not turned off acts only where the deployment calls for it. See docs/design/hard-load.md.

use derive_more::{Display, FromStr};
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

/// Which parts of scheduling may act.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
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
