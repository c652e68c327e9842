//! Encodes and decodes messages between instances and records of the log.
//!
//! Only this crate and the RPC layer of `peer` use the Cap'n Proto types. All other code uses the
//! plain types defined here. `TryFrom` converts into them and rejects missing and out-of-range
//! fields, so that no other crate has to check them. See docs/ARCHITECTURE.md.

#[allow(missing_docs, clippy::all, clippy::pedantic)]
#[path = "gen/record_capnp.rs"]
pub mod record_capnp;

#[allow(missing_docs, clippy::all, clippy::pedantic)]
#[path = "gen/peer_capnp.rs"]
pub mod peer_capnp;

mod call;
mod codec;
mod error;
mod heartbeat;
mod record;
mod snapshot;

pub use call::{Answer, Call, CallState, CallStatus, ClaimVerdict, parse_digest};
pub use error::{Error, Result};
pub use heartbeat::{Condition, EngineLoad, Heartbeat};
pub use record::{
    Body, BundlePublished, BundleRef, LeaseClaimed, LeaseRef, OrderKind, OrderPlaced, OrderSettled,
    Origin, Record,
};
pub use snapshot::{AuditEntry, BundleState, Drain, LeaseState, OrderState, Snapshot, Writer};
