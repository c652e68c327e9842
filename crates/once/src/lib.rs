//! Calls that run at most once: records at a home instance and at a witness.
//!
//! An idempotency key names, in front of the caller's own part, the incarnation of the instance
//! that alone may dispatch the call (its home) and the incarnation of another (its witness).
//! The home dispatches only after its witness has noted the key. Whoever cannot reach the home
//! asks the witness, which either has noted the key (the call may have run) or closes it for good
//! (it has not run and never will). No log and no clock of another process is involved, so the
//! rule holds through log outages. See docs/design/once.md.

mod epoch;
mod home;
mod key;
mod witness;

pub use epoch::{EPOCH_MS, EpochCounter, RETAINED_EPOCHS};
pub use home::{Admission, Home};
pub use key::{IdempotencyKey, InstanceEpoch, KeyError};
pub use witness::Witness;

/// SHA-256 over what the call asks for.
pub type BodyDigest = [u8; 32];
