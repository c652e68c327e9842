//! Which requests come, and how their mix shifts.

use derive_more::Display;
use rand::Rng;

/// Kinds of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum RequestKind {
    /// A long prompt with a short answer.
    #[display("long")]
    Long,
    /// A short prompt with a middling answer.
    #[display("quick")]
    Quick,
    /// A small completion that must not wait behind long ones.
    #[display("urgent")]
    Urgent,
    /// A call to a plain service that may not be repeated.
    #[display("once")]
    Once,
}

/// Deployments of today.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Display, derive_more::FromStr)]
pub enum Deployment {
    /// The surplus food exchange: nine engines.
    #[default]
    #[display("annabhandar")]
    Annabhandar,
    /// The groomers' booking: eighteen engines.
    #[display("lakeshore")]
    Lakeshore,
}

impl Deployment {
    /// Availability zones.
    pub fn zones(self) -> [&'static str; 3] {
        match self {
            Self::Annabhandar => ["salt-lake", "howrah", "garia"],
            Self::Lakeshore => ["cleveland-hall", "toledo-hall", "erie-hall"],
        }
    }

    /// The model served.
    pub fn model(self) -> &'static str {
        match self {
            Self::Annabhandar => "annagrade-llm",
            Self::Lakeshore => "groom-llm",
        }
    }

    /// The plain service, and its path that may not be repeated.
    pub fn service(self) -> (&'static str, &'static str) {
        match self {
            Self::Annabhandar => ("claimdesk", "/claim"),
            Self::Lakeshore => ("salon-notify", "/pickup"),
        }
    }

    /// Engines.
    pub fn engines(self) -> usize {
        match self {
            Self::Annabhandar => 9,
            Self::Lakeshore => 18,
        }
    }

    /// Instances of the plain service.
    pub fn service_instances(self) -> usize {
        3
    }

    /// Members.
    pub fn members(self) -> &'static [&'static str] {
        match self {
            Self::Annabhandar => &["wholesalers", "caterers", "kitchens"],
            Self::Lakeshore => &["shear-joy", "pawfect", "muddy-paws", "top-dog"],
        }
    }

    /// Weight of role changes: goodput first here, few changes there.
    pub fn role_change_weight(self) -> f64 {
        match self {
            Self::Annabhandar => 0.1,
            Self::Lakeshore => 0.8,
        }
    }
}

/// Rates of each kind, in requests a second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TrafficMix {
    /// Long prompts.
    pub long: f64,
    /// Quick questions.
    pub quick: f64,
    /// Urgent completions.
    pub urgent: f64,
    /// Calls that may not be repeated.
    pub once: f64,
}

impl TrafficMix {
    /// Requests a second in all.
    pub fn total(&self) -> f64 {
        self.long + self.quick + self.urgent + self.once
    }

    /// Draws a kind by its rate.
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

/// A mix that lasts for a while.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Phase {
    /// How long.
    pub duration_ms: u64,
    /// Which mix.
    pub mix: TrafficMix,
}

/// Sizes of requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestSizes {
    /// Prompt and output tokens of long requests.
    pub long: (u32, u32),
    /// Those of quick ones.
    pub quick: (u32, u32),
    /// Those of urgent ones.
    pub urgent: (u32, u32),
}

impl RequestSizes {
    /// The deployment's sizes: whole manifests for a grade, or dogs' histories for a verdict.
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

    /// Prompt and output tokens of a kind.
    pub fn tokens(&self, kind: RequestKind) -> (u32, u32) {
        match kind {
            RequestKind::Long => self.long,
            RequestKind::Quick => self.quick,
            RequestKind::Urgent | RequestKind::Once => self.urgent,
        }
    }
}
