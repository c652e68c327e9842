//! The policy under test and what a user would pick instead.

use derive_more::{Display, FromStr};
use serde::Serialize;

/// Policies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, FromStr, Serialize, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// The product's own.
    #[display("chicoryrack")]
    Own,
    /// Each engine in turn.
    #[display("round-robin")]
    RoundRobin,
    /// The engine with the least reported load.
    #[display("least-reported")]
    LeastReported,
    /// The less loaded of two random engines, by reports.
    #[display("two-choices")]
    TwoChoices,
    /// The engine that a prompt's prefix hashes to; the least reported without one.
    #[display("prefix-affinity")]
    PrefixAffinity,
    /// The product's own without admission.
    #[display("no-admission")]
    NoAdmission,
    /// The product's own with fixed roles, the best of several in hindsight.
    #[display("static-roles")]
    StaticRoles,
    /// The product's own with roles that follow the mix at once.
    #[display("greedy-roles")]
    GreedyRoles,
    /// The product's own with retries counted in attempts.
    #[display("counted-retries")]
    CountedRetries,
    /// Ablation: no word from other instances.
    #[display("without-peers")]
    WithoutPeers,
    /// Ablation: no price on the delay caused to others.
    #[display("without-harm")]
    WithoutHarm,
    /// Ablation: no fair shares.
    #[display("without-shares")]
    WithoutShares,
    /// Ablation: no prefixes.
    #[display("without-prefixes")]
    WithoutPrefixes,
    /// Ablation: no role changes.
    #[display("without-roles")]
    WithoutRoles,
    /// Ablation: no ejection of slow engines.
    #[display("without-ejection")]
    WithoutEjection,
}

impl Policy {
    /// What a user would pick instead.
    pub const BASELINES: [Self; 8] = [
        Self::RoundRobin,
        Self::LeastReported,
        Self::TwoChoices,
        Self::PrefixAffinity,
        Self::NoAdmission,
        Self::StaticRoles,
        Self::GreedyRoles,
        Self::CountedRetries,
    ];

    /// The product's own with one mechanism taken out.
    pub const ABLATIONS: [Self; 6] = [
        Self::WithoutPeers,
        Self::WithoutHarm,
        Self::WithoutShares,
        Self::WithoutPrefixes,
        Self::WithoutRoles,
        Self::WithoutEjection,
    ];

    /// Whether requests are routed by the product's router.
    pub(crate) fn is_routed(self) -> bool {
        !matches!(
            self,
            Self::RoundRobin | Self::LeastReported | Self::TwoChoices | Self::PrefixAffinity
        )
    }

    /// Whether roles may change.
    pub(crate) fn plans_roles(self) -> bool {
        self.is_routed() && !matches!(self, Self::StaticRoles | Self::WithoutRoles)
    }
}
