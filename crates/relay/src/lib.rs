//! Passes requests on to upstreams.
//!
//! An instance follows a configuration and a list of upstreams that it is told; callers connect
//! to it, and it places each request, sends it, and passes the answer on. The names that a
//! deployment uses on the wire come from a [`dialect::Dialect`]. See docs/design/platform.md.

pub mod access;
pub mod answer;
pub mod attribution;
pub mod call;
pub mod config;
pub mod dialect;
pub mod directory;
pub mod forward;
pub mod generation;
pub mod gossip;
pub mod learned;
pub mod listener;
pub mod logging;
pub mod metrics;
pub mod placement;
pub mod pool;
pub mod prefill;
pub mod prefix;
pub mod prior_wait;
pub mod relay;
pub mod retry;
pub mod role_orders;
pub mod send;
pub mod shutdown;
pub mod singleton_tasks;
pub mod snapshot;
pub mod sse;
pub mod stream;
pub mod subset;
pub mod upstream;
pub mod upstreams;
pub mod urgency;

pub use plan::RetryBudgetSettings;
pub use relay::{Origin, Phase, Relay, Settings};
pub use view::{log_follower, members, polling};
