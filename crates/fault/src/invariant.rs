//! Invariants that every run must keep.

use derive_more::Display;

/// An invariant that the simulation checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Invariant {
    /// No engine ever receives conflicting orders.
    #[display("no conflicting orders")]
    NoConflictingOrders,
    /// No order is sent by a process that has lost its lease, and no two processes hold one lease.
    #[display("no order without authority")]
    NoOrderWithoutAuthority,
    /// Every caller receives only the answer to its own request.
    #[display("own answer")]
    OwnAnswer,
    /// A call that is refused as not run has not run.
    #[display("true refusal")]
    TrueRefusal,
    /// A call to an at-most-once path runs at most once.
    #[display("at most once")]
    AtMostOnce,
    /// An upstream that is leaving receives no new orders.
    #[display("nothing to a leaving upstream")]
    NothingToLeaving,
    /// A planned stop interrupts no request.
    #[display("planned stop cuts nothing")]
    StopCutsNothing,
    /// An accepted bundle is in force at every instance within seconds.
    #[display("bundle in force")]
    BundleInForce,
    /// No instance returns to an older bundle.
    #[display("bundle never reverts")]
    NeverReverts,
}

/// A violation of an invariant.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{invariant} at {at_ms} ms: {detail}")]
pub struct Violation {
    /// The violated invariant.
    pub invariant: Invariant,
    /// Virtual time of the violation, in ms.
    pub at_ms: u64,
    /// Description of what happened.
    pub detail: String,
}
