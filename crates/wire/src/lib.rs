//! Messages between instances and records in the log, with their codecs.
//!
//! The Cap'n Proto types stay inside this crate and at the edge of `peer`: everything else
//! uses the plain types here, reached by `From` and `TryFrom`, so that a field that is missing
//! or out of range is refused in one place. See docs/ARCHITECTURE.md.

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
