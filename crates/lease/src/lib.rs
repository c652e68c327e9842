//! Leases over groups of engines, and the orders that a lease holder gives them.
//!
//! Both are state machines without clocks or sockets: the time and what was read from the log
//! come in, and what to append or send goes out. See docs/design/lease.md and
//! docs/design/orders.md.

mod append_lease;
mod elector;
mod guard;
mod order_scheduler;

pub use append_lease::{AppendLease, AppendLeaseTimes, SendPermit};
pub use elector::{Authority, Elector, Identity, LeaseAction, LeaseTimes};
pub use guard::{ArmedGuard, ConnectionGuard, TCP_USER_TIMEOUT_MS};
pub use order_scheduler::{DesiredState, EngineReport, OrderAction, OrderScheduler, OutgoingOrder};

/// Bound on how much faster one instance's monotonic clock may run than another's.
///
/// Crystal clocks differ by under 100 parts in a million and a slewed one by 500; one in a
/// hundred leaves room for both. A margin of twice this share of the ttl keeps a successor whose
/// clock runs fast from acting before a holder whose clock runs slow has stopped.
pub const CLOCK_RATE_BOUND: f64 = 0.01;
