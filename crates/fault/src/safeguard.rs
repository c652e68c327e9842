//! Safeguards taken out on purpose, to show that the matrix catches it.

use derive_more::Display;

use crate::Invariant;

/// A safeguard that is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Display)]
pub enum DisabledSafeguard {
    /// Nothing is.
    #[default]
    #[display("nothing")]
    None,
    /// A claim counts as won before it was read back.
    #[display("skip the read-back of a claim")]
    ReadBack,
    /// A successor claims without waiting for the lease to lapse.
    #[display("skip a successor's wait")]
    Wait,
    /// A paused order leaves when the process wakes up, whatever the lease.
    #[display("take the guard off the order's connection")]
    Guard,
    /// A peer's snapshot is taken whatever its offset.
    #[display("ignore the order of offsets")]
    OffsetOrder,
    /// A home forgets its keys.
    #[display("forget keys at the home")]
    ForgetKeys,
    /// A home dispatches without asking the witness.
    #[display("skip the witness")]
    Witness,
}

impl DisabledSafeguard {
    /// All safeguards that can be taken out.
    pub const ALL: [Self; 6] = [
        Self::ReadBack,
        Self::Wait,
        Self::Guard,
        Self::OffsetOrder,
        Self::ForgetKeys,
        Self::Witness,
    ];

    /// Invariants of which at least one must then fail somewhere in the matrix.
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
