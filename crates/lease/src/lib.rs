//! Leases over groups of engines, and the orders that lease holders send to engines.
//!
//! The state machines use no clock and no socket: callers pass in the current time and the records
//! read from the log, and get back what to append or send. [`ConnectionGuard`] is the exception.
//! See docs/design/lease.md and docs/design/orders.md.

mod append_lease;
mod elector;
mod guard;
mod order_scheduler;

pub use append_lease::{AppendLease, AppendLeaseTimes, SendPermit};
pub use elector::{Authority, Elector, Identity, LeaseAction, LeaseTimes};
pub use guard::{ArmedGuard, ConnectionGuard, TCP_USER_TIMEOUT_MS};
pub use order_scheduler::{DesiredState, EngineReport, OrderAction, OrderScheduler, OutgoingOrder};

/// Largest relative difference in rate between the monotonic clocks of two instances.
///
/// Crystal clocks differ by less than 100 ppm and slewing adds up to 500 ppm; 1% covers both. A
/// margin of at least twice this fraction of the TTL keeps a successor with a fast clock from
/// acting before a holder with a slow clock has stopped.
pub const CLOCK_RATE_BOUND: f64 = 0.01;
