//! A reverse proxy that balances requests over upstreams.
//!
//! An instance follows the configuration and the list of upstreams in the store. Callers connect to it; it
//! chooses an upstream for each request, sends the request and streams the answer back. A
//! [`dialect::Dialect`] supplies the header and path names of a deployment. See docs/design/platform.md.

pub mod access;
pub mod announcement;
pub mod answer;
pub mod attribution;
pub mod awaited;
pub mod body_memory;
pub mod bounded_body;
pub mod call;
mod claimed_trial;
pub mod config;
pub mod connection;
pub mod dialect;
pub mod directory;
pub mod engine_process;
pub mod estimates;
pub mod forward;
pub mod framing;
pub mod generation;
pub mod gossip;
pub mod handover;
pub mod helpers;
pub mod inquiry;
pub mod listener;
pub mod logging;
pub mod metrics;
pub mod own_request;
pub mod part_evidence;
pub mod path_check;
pub mod placement;
mod plain_attempts;
pub mod planned_stop;
pub mod pool;
pub mod prefill;
pub mod prefix;
pub mod prior_wait;
pub mod reachability;
pub mod relay;
pub mod retry;
pub mod role_orders;
pub mod room_waiters;
pub mod scheduling;
pub mod send;
pub mod share_state;
pub mod shares;
pub mod shutdown;
pub mod singleton_tasks;
pub mod snapshot;
pub mod sse;
pub mod stream;
pub mod stream_origins;
pub mod subset;
pub mod upstream;
pub mod upstreams;
pub mod urgency;
pub mod waiting;
pub mod zone_cost;

pub use plan::RetryBudgetSettings;
pub use relay::{Origin, Phase, Relay, Settings};
pub use scheduling::{CrossZonePrice, SchedulingPart, SchedulingSettings};
pub use view::{log_follower, members, polling};
