//! A bounded queue at an instance, for requests that no upstream has room for now but one will have in time.
//!
//! Everything here is pure: times, random numbers and loads are arguments. See docs/design/waiting.md.

mod room;
mod turnover;
mod wait_queue;

pub use room::{FreePlaces, PlaceQuota, draw_by_places, free_places};
pub use turnover::Turnover;
pub use wait_queue::{QueueRefusal, RefusalCause, WaitQueue, Waiter, WaiterId};
