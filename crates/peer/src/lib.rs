//! Membership and messages between instances.
//!
//! Who is a member is a pure view over heartbeats and the platform's lagging list; the messages
//! go by Cap'n Proto RPC over TCP. See docs/design/membership.md.

mod client;
mod error;
mod members;
mod server;

pub use client::{Client, Records};
pub use error::{Error, Result};
pub use members::{Known, Members, Settings};
pub use server::{Handler, Server, serve};
