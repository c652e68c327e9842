//! Membership and messages between instances.
//!
//! Who is a member is a pure view over heartbeats and the platform's lagging list; the messages
//! go by Cap'n Proto RPC over TCP. See docs/design/membership.md.

mod client;
mod error;
mod peer_table;
mod server;

pub use client::{Client, PeerRecords};
pub use error::{Error, Result};
pub use peer_table::{MembershipSettings, PeerInfo, PeerTable};
pub use server::{Handler, Server, serve};
