//! Passes requests on to upstreams.
//!
//! An instance follows a configuration and a list of upstreams that it is told; callers connect
//! to it, and it places each request, sends it, and passes the answer on. The names that a
//! deployment uses on the wire come from a [`dialect::Dialect`]. See docs/design/platform.md.

pub mod access;
pub mod again;
pub mod answer;
pub mod audit;
pub mod blame;
pub mod call;
pub mod config;
pub mod dialect;
pub mod directory;
pub mod duties;
pub mod events;
pub mod forward;
pub mod front;
pub mod generate;
pub mod gossip;
pub mod learned;
pub mod leaving;
pub mod metrics;
pub mod nearby;
pub mod orders;
pub mod patience;
pub mod place;
pub mod pool;
pub mod prefix;
pub mod reading;
pub mod relay;
pub mod send;
pub mod state;
pub mod stream;
pub mod upstream;
pub mod upstreams;
pub mod urgency;

pub use plan::RetryBudgetSettings;
pub use relay::{Origin, Phase, Relay, Settings};
pub use view::{cadence, followed, members};
