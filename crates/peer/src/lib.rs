//! Membership of the fleet, and remote calls between instances.
//!
//! Membership is derived from heartbeats and from the platform's list, which may be outdated.
//! Remote calls use Cap'n Proto RPC over TCP. See docs/design/membership.md.

mod client;
mod error;
mod peer_table;
mod server;

pub use client::{Client, PeerRecords};
pub use error::{Error, Result};
pub use peer_table::{MembershipSettings, PeerInfo, PeerTable};
pub use server::{Handler, Server, serve};
