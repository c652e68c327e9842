//! Leases over groups of engines, and the orders that a lease holder gives them.
//!
//! Both are state machines without clocks or sockets: the time and what was read from the log
//! come in, and what to append or send goes out. See docs/design/lease.md and
//! docs/design/orders.md.

mod desk;
mod elector;
mod guard;
mod turns;

pub use desk::{Desk, EngineReport, Move, Send, Wish};
pub use elector::{Action, Authority, Elector, Identity, Times};
pub use guard::{Guard, HELD_BACK_MS, Watch};
pub use turns::{Ticket, TurnTimes, Turns};

/// Bound on how much faster one instance's monotonic clock may run than another's.
///
/// Crystal clocks differ by under 100 parts in a million and a slewed one by 500; one in a
/// hundred leaves room for both. A margin of twice this share of the ttl keeps a successor whose
/// clock runs fast from acting before a holder whose clock runs slow has stopped.
pub const CLOCK_RATE_BOUND: f64 = 0.01;
