//! API keys, known by their hashes, and whose they are.
//!
//! A key itself is never stored: what an instance holds, compares and tells others is its SHA-256, so neither a dump of
//! its memory tables nor a message between instances lets anybody in. Comparing hashes also says nothing of a key by the
//! time that it takes. See docs/API.md.

mod hash;
mod ring;

pub use hash::{KeyHash, KeyHashError};
pub use ring::Keyring;
