//! Datagrams about the versions that began streams.
//!
//! They use the same ports as gossip and another first byte. See docs/design/stream-versions.md.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{InstanceKey, MessageError, ServiceKey, VersionKey};

/// Format of these datagrams, in the first byte; formats of gossip are below 128.
const FORMAT: u8 = 129;

/// A stream, by a hash of the id of the attempt that brought its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamKey(#[serde(with = "postcard::fixint::le")] pub u64);

impl StreamKey {
    /// The key of the stream that an attempt began.
    pub fn of(attempt: &[u8]) -> Self {
        Self(xxh3_64(attempt))
    }

    /// Place of an instance among those that keep the stream's record; the smallest ones keep it.
    pub fn place(self, instance: InstanceKey) -> u64 {
        xxh3_64_with_seed(&instance.0.to_le_bytes(), self.0)
    }
}

/// A datagram about what began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum OriginMessage {
    /// A stream began at a version; the receiver keeps the record.
    Began {
        /// The stream.
        stream: StreamKey,
        /// The version.
        version: VersionKey,
    },
    /// Asks for the record of a stream.
    Query {
        /// Number by which the answer is known.
        number: u32,
        /// The stream.
        stream: StreamKey,
        /// Service that serves it.
        service: ServiceKey,
    },
    /// Answers a query.
    Reply {
        /// Number of the query.
        number: u32,
        /// Version in the record, if there is one.
        recorded: Option<VersionKey>,
        /// Version that began it by what the receiver saw of versions, if there is no record and it can tell.
        unrecorded: Option<VersionKey>,
    },
}

/// Whether a datagram is one of these.
pub fn is_origin_message(bytes: &[u8]) -> bool {
    bytes.first() == Some(&FORMAT)
}

/// Encodes a datagram.
pub fn encode(message: &OriginMessage) -> Result<Vec<u8>, MessageError> {
    postcard::to_extend(message, vec![FORMAT]).map_err(MessageError::Malformed)
}

/// Decodes a datagram.
pub fn decode(bytes: &[u8]) -> Result<OriginMessage, MessageError> {
    let format = bytes.first().copied();
    if format != Some(FORMAT) {
        return Err(MessageError::UnknownFormat { format });
    }
    postcard::from_bytes(&bytes[1..]).map_err(MessageError::Malformed)
}
