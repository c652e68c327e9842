//! Short names on the wire.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// An incarnation of an upstream, by a hash of its id and start.
///
/// Two of 1,900 share a key once in two thousand fleets, and then each is believed to have the load
/// of both.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UpstreamKey(#[serde(with = "postcard::fixint::le")] pub u32);

impl UpstreamKey {
    /// Of an incarnation.
    pub fn of(id: &str, born_ms: u64) -> Self {
        Self(xxh3_64_with_seed(id.as_bytes(), born_ms) as u32)
    }
}

/// An instance, by a hash of its name.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct InstanceKey(#[serde(with = "postcard::fixint::le")] pub u32);

impl InstanceKey {
    /// Of a name.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()) as u32)
    }
}
