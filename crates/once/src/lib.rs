//! At-most-once calls, recorded at a home instance and at a witness instance.
//!
//! An idempotency key starts with the incarnation of the only instance that may dispatch the call
//! (its home) and the incarnation of another instance (its witness), followed by a suffix that the
//! caller chooses. The home dispatches the call only after its witness has recorded the key. An
//! instance that cannot reach the home asks the witness: either the witness has recorded the key,
//! and the call may have run, or it fences the key, and the call has not run and never will. This
//! depends on no log and on no other process's clock, so it also holds during log outages. See
//! docs/design/once.md.

mod epoch;
mod home;
mod key;
mod witness;

pub use epoch::{EPOCH_MS, EpochCounter, RETAINED_EPOCHS};
pub use home::{Admission, Home};
pub use key::{IdempotencyKey, InstanceEpoch, KeyError};
pub use witness::Witness;

/// SHA-256 of the workspace, service, path and body of a call.
pub type BodyDigest = [u8; 32];
