//! What must always hold.

use derive_more::Display;

/// The brief's invariants, as far as they can be checked here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Invariant {
    /// No engine ever receives conflicting orders.
    #[display("no conflicting orders")]
    NoConflictingOrders,
    /// Orders from a process that has lost its authority have no effect.
    #[display("no order without authority")]
    NoOrderWithoutAuthority,
    /// Every caller receives only the answer to its own request.
    #[display("own answer")]
    OwnAnswer,
    /// A refusal that says "not run" is true.
    #[display("true refusal")]
    TrueRefusal,
    /// A call that may not be repeated runs at most once.
    #[display("at most once")]
    AtMostOnce,
    /// An upstream that is leaving receives no new order.
    #[display("nothing to a leaving upstream")]
    NothingToLeaving,
    /// A planned stop cuts no request.
    #[display("planned stop cuts nothing")]
    StopCutsNothing,
    /// An accepted bundle is in force everywhere within seconds.
    #[display("bundle in force")]
    BundleInForce,
    /// An accepted bundle never reverts.
    #[display("bundle never reverts")]
    NeverReverts,
}

/// An invariant that did not hold.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
#[display("{invariant} at {at_ms} ms: {detail}")]
pub struct Violation {
    /// Which.
    pub invariant: Invariant,
    /// When, in virtual time.
    pub at_ms: u64,
    /// What happened.
    pub detail: String,
}
