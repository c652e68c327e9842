//! Short keys that stand for names in datagrams.

use std::fmt::{self, Display, Formatter};
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64, xxh3_64_with_seed};

/// An incarnation of an upstream, by a hash of its id and start.
///
/// Two of 1,900 upstreams share a key in about one of two thousand fleets. Each of them is then
/// believed to have the load of both.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UpstreamKey(#[serde(with = "postcard::fixint::le")] pub u32);

impl UpstreamKey {
    /// The key of an incarnation.
    pub fn of(id: &str, started_ms: u64) -> Self {
        Self(xxh3_64_with_seed(id.as_bytes(), started_ms) as u32)
    }
}

/// An instance, by a hash of its name.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct InstanceKey(#[serde(with = "postcard::fixint::le")] pub u32);

impl InstanceKey {
    /// The key of an instance's name.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()) as u32)
    }
}

/// A workspace, by a hash of its name.
///
/// Two of 12,000 workspaces share a key in about one of sixty fleets. The usage of both is then
/// reported as one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WorkspaceKey(#[serde(with = "postcard::fixint::le")] pub u32);

impl WorkspaceKey {
    /// The key of a workspace's name.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()) as u32)
    }
}

/// A service, by a hash of its name.
///
/// Two of a dozen services share a key in about one of sixty million fleets. An instance that reaches one of them
/// is then believed to reach both.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServiceKey(#[serde(with = "postcard::fixint::le")] pub u32);

impl ServiceKey {
    /// The key of a service's name.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()) as u32)
    }
}

/// Version of an upstream's software, by a hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VersionKey(#[serde(with = "postcard::fixint::le")] pub u64);

impl VersionKey {
    /// The key of no version: that of a stream which nobody knows to have been begun by a certain one.
    pub const UNKNOWN: Self = Self(0);

    /// The key of a version's name.
    pub fn of(version: &str) -> Self {
        Self(xxh3_64(version.as_bytes()))
    }
}

/// The content of a request, by a hash of its host, method, path, body and, where it is known, caller.
///
/// Each attempt of a caller has its own id. This key is the same for all attempts of a request, at
/// whichever instance they arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestKey(#[serde(with = "postcard::fixint::le")] pub u64);

impl RequestKey {
    /// The key of a request; `target` is its path with the query.
    pub fn of(host: &str, method: &str, target: &str, body: &[u8]) -> Self {
        let mut hash = Xxh3::new();
        // A zero byte ends each of these parts; none of them can contain one.
        for part in [host, method, target] {
            hash.update(part.as_bytes());
            hash.update(&[0]);
        }
        hash.update(body);
        Self(hash.digest())
    }

    /// The key of the same request of a certain caller, if callers are known by name.
    #[must_use]
    pub fn of_caller(self, caller: Option<&str>) -> Self {
        caller.map_or(self, |caller| {
            Self(xxh3_64_with_seed(caller.as_bytes(), self.0))
        })
    }
}

/// A part of prompts, by a hash of its id.
///
/// Two of a million parts share a key in about one of forty million fleets.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct PartKey(#[serde(with = "postcard::fixint::le")] pub u64);

/// Keeps keys of parts apart from those of requests.
const PART_SEED: u64 = 0x7061_7274;

impl PartKey {
    /// The key of a part with this id.
    pub fn of(id: u64) -> Self {
        Self(xxh3_64_with_seed(&id.to_le_bytes(), PART_SEED))
    }

    /// The key under which all requests with this part are refused once it is known to end upstreams, so that it is
    /// told, kept and forgotten like a poison request.
    pub fn request_key(self) -> RequestKey {
        RequestKey(self.0)
    }
}

impl Display for PartKey {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        self.request_key().fmt(formatter)
    }
}

impl FromStr for RequestKey {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

impl Display for RequestKey {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
