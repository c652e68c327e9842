//! Request traffic of the modelled deployments.

use derive_more::Display;
use rand::Rng;

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum RequestKind {
    /// A long prompt with a short answer.
    #[display("long")]
    Long,
    /// A short prompt with an answer of medium length.
    #[display("quick")]
    Quick,
    /// A short completion that must not wait behind long ones.
    #[display("urgent")]
    Urgent,
    /// A call to a plain service that must run at most once.
    #[display("once")]
    Once,
}

/// Modelled deployments.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Display, derive_more::FromStr)]
pub enum Deployment {
    /// Exchange for surplus food, with nine engines.
    #[default]
    #[display("annabhandar")]
    Annabhandar,
    /// Booking for pet groomers, with eighteen engines.
    #[display("lakeshore")]
    Lakeshore,
}

impl Deployment {
    /// Names of the availability zones.
    pub fn zones(self) -> [&'static str; 3] {
        match self {
            Self::Annabhandar => ["salt-lake", "howrah", "garia"],
            Self::Lakeshore => ["cleveland-hall", "toledo-hall", "erie-hall"],
        }
    }

    /// Name of the served model.
    pub fn model(self) -> &'static str {
        match self {
            Self::Annabhandar => "annagrade-llm",
            Self::Lakeshore => "groom-llm",
        }
    }

    /// Name of the plain service, and the path whose calls must run at most once.
    pub fn service(self) -> (&'static str, &'static str) {
        match self {
            Self::Annabhandar => ("claimdesk", "/claim"),
            Self::Lakeshore => ("salon-notify", "/pickup"),
        }
    }

    /// Number of engines.
    pub fn engines(self) -> usize {
        match self {
            Self::Annabhandar => 9,
            Self::Lakeshore => 18,
        }
    }

    /// Number of instances of the plain service.
    pub fn service_instances(self) -> usize {
        3
    }

    /// Names of the members.
    pub fn members(self) -> &'static [&'static str] {
        match self {
            Self::Annabhandar => &["wholesalers", "caterers", "kitchens"],
            Self::Lakeshore => &["shear-joy", "pawfect", "muddy-paws", "top-dog"],
        }
    }

    /// Cost weight of a role change: low where goodput matters most, high where changes should be
    /// rare.
    pub fn role_change_weight(self) -> f64 {
        match self {
            Self::Annabhandar => 0.1,
            Self::Lakeshore => 0.8,
        }
    }
}

/// Request rate of each kind, in requests per second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TrafficMix {
    /// Rate of [`RequestKind::Long`].
    pub long: f64,
    /// Rate of [`RequestKind::Quick`].
    pub quick: f64,
    /// Rate of [`RequestKind::Urgent`].
    pub urgent: f64,
    /// Rate of [`RequestKind::Once`].
    pub once: f64,
}

impl TrafficMix {
    /// Sum of all rates, in requests per second.
    pub fn total(&self) -> f64 {
        self.long + self.quick + self.urgent + self.once
    }

    /// Draws a kind at random, weighted by rate.
    pub fn draw(&self, rng: &mut impl Rng) -> RequestKind {
        let mut point = rng.random_range(0.0..self.total().max(f64::MIN_POSITIVE));
        for (kind, rate) in [
            (RequestKind::Long, self.long),
            (RequestKind::Quick, self.quick),
            (RequestKind::Urgent, self.urgent),
        ] {
            if point < rate {
                return kind;
            }
            point -= rate;
        }
        RequestKind::Once
    }
}

/// Period of time with a constant traffic mix.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Phase {
    /// Length of the phase, in ms.
    pub duration_ms: u64,
    /// Request rates during the phase.
    pub mix: TrafficMix,
}

/// Mean prompt and output tokens of each kind of request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestSizes {
    /// Prompt and output tokens of [`RequestKind::Long`].
    pub long: (u32, u32),
    /// Prompt and output tokens of [`RequestKind::Quick`].
    pub quick: (u32, u32),
    /// Prompt and output tokens of [`RequestKind::Urgent`] and [`RequestKind::Once`].
    pub urgent: (u32, u32),
}

impl RequestSizes {
    /// Sizes in a deployment. Long prompts are complete food manifests or dogs' medical histories.
    pub fn of(deployment: Deployment) -> Self {
        match deployment {
            Deployment::Annabhandar => Self {
                long: (6_000, 24),
                quick: (160, 80),
                urgent: (60, 16),
            },
            Deployment::Lakeshore => Self {
                long: (3_000, 48),
                quick: (120, 60),
                urgent: (60, 16),
            },
        }
    }

    /// Prompt and output tokens of a kind of request.
    pub fn tokens(&self, kind: RequestKind) -> (u32, u32) {
        match kind {
            RequestKind::Long => self.long,
            RequestKind::Quick => self.quick,
            RequestKind::Urgent | RequestKind::Once => self.urgent,
        }
    }
}
