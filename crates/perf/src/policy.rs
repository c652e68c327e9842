//! Routing and role policies that the bench compares.

use derive_more::{Display, FromStr};
use serde::Serialize;

/// A policy. `chicoryrack` is the one under test, the others are baselines and ablations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, FromStr, Serialize, PartialOrd, Ord)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Chicoryrack's policy, which is under test.
    #[display("chicoryrack")]
    Own,
    /// Baseline: engines in turn.
    #[display("round-robin")]
    RoundRobin,
    /// Baseline: the engine with the lowest reported load.
    #[display("least-reported")]
    LeastReported,
    /// Baseline: of two random engines, the one with the lower reported load.
    #[display("two-choices")]
    TwoChoices,
    /// Baseline: the engine that the prompt's prefix maps to, or the least reported without one.
    #[display("prefix-affinity")]
    PrefixAffinity,
    /// Baseline: Chicoryrack's policy without admission control.
    #[display("no-admission")]
    NoAdmission,
    /// Baseline: Chicoryrack's policy with fixed roles, the best of several splits in hindsight.
    #[display("static-roles")]
    StaticRoles,
    /// Baseline: Chicoryrack's policy with roles that adapt to the mix immediately.
    #[display("greedy-roles")]
    GreedyRoles,
    /// Baseline: Chicoryrack's policy with a fixed number of attempts instead of a retry budget.
    #[display("counted-retries")]
    CountedRetries,
    /// Ablation: no gossip between instances.
    #[display("without-peers")]
    WithoutPeers,
    /// Ablation: no cost for the delay that a request causes to others.
    #[display("without-harm")]
    WithoutHarm,
    /// Ablation: no fair shares between members.
    #[display("without-shares")]
    WithoutShares,
    /// Ablation: routing ignores cached prefixes.
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
    /// Policies that a user could choose instead.
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

    /// Chicoryrack's policy, each time without one mechanism.
    pub const ABLATIONS: [Self; 6] = [
        Self::WithoutPeers,
        Self::WithoutHarm,
        Self::WithoutShares,
        Self::WithoutPrefixes,
        Self::WithoutRoles,
        Self::WithoutEjection,
    ];

    /// Whether `plan::Router` chooses the engine.
    pub(crate) fn is_routed(self) -> bool {
        !matches!(
            self,
            Self::RoundRobin | Self::LeastReported | Self::TwoChoices | Self::PrefixAffinity
        )
    }

    /// Whether engines may change their roles.
    pub(crate) fn plans_roles(self) -> bool {
        self.is_routed() && !matches!(self, Self::StaticRoles | Self::WithoutRoles)
    }
}
