//! Safeguards that can be disabled, to show that the matrix detects their absence.

use derive_more::Display;

use crate::Invariant;

/// The safeguard that a run disables.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Display)]
pub enum DisabledSafeguard {
    /// All safeguards are active.
    #[default]
    #[display("nothing")]
    None,
    /// An instance acts on its claim of a lease before it has read the claim back from the log.
    #[display("skip the read-back of a claim")]
    ReadBack,
    /// A successor claims a lease before it has expired.
    #[display("skip a successor's wait")]
    Wait,
    /// An instance that was paused sends its orders even if the lease has expired since.
    #[display("take the guard off the order's connection")]
    Guard,
    /// An instance installs a peer's snapshot even if it is older than its own state.
    #[display("ignore the order of offsets")]
    OffsetOrder,
    /// The home of a call forgets the idempotency keys that it has admitted.
    #[display("forget keys at the home")]
    ForgetKeys,
    /// The home dispatches a call without a claim at the witness.
    #[display("skip the witness")]
    Witness,
}

impl DisabledSafeguard {
    /// All safeguards that can be disabled.
    pub const ALL: [Self; 6] = [
        Self::ReadBack,
        Self::Wait,
        Self::Guard,
        Self::OffsetOrder,
        Self::ForgetKeys,
        Self::Witness,
    ];

    /// Invariants of which at least one must fail somewhere in the matrix.
    pub fn expected(self) -> &'static [Invariant] {
        match self {
            Self::None => &[],
            Self::ReadBack | Self::Wait | Self::Guard => &[
                Invariant::NoConflictingOrders,
                Invariant::NoOrderWithoutAuthority,
            ],
            Self::OffsetOrder => &[Invariant::NeverReverts],
            Self::ForgetKeys => &[Invariant::AtMostOnce],
            Self::Witness => &[Invariant::TrueRefusal],
        }
    }
}
