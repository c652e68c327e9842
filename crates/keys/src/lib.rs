//! API keys, stored as hashes, and their owners.
//!
//! A key itself is never stored. Instances store, compare and exchange its SHA-256 hash, so that
//! neither a memory dump nor a message between instances grants access. For the same reason the
//! time that a comparison takes says nothing about a key. See docs/API.md.

mod hash;
mod ring;

pub use hash::{KeyHash, KeyHashError};
pub use ring::Keyring;
