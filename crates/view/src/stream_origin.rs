//! Datagrams about the versions that began streams.
//!
//! They use the same ports as gossip and another first byte. See docs/design/stream-versions.md.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{InstanceKey, MessageError, ServiceKey, VersionKey};

/// Format of these datagrams, in the first byte; formats of gossip are below 128.
const FORMAT: u8 = 129;

/// Instances for each of which one more appends to the store's log.
const INSTANCES_PER_RECORDER: usize = 100;

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
    /// A stream began at a version; the receiver keeps the record and appends it to the store's log.
    Record {
        /// The stream.
        stream: StreamKey,
        /// The version.
        version: VersionKey,
    },
    /// Asks for the record of a stream, and for what the receiver knows of versions.
    Ask {
        /// Number by which the answer is known.
        number: u32,
        /// The stream.
        stream: StreamKey,
        /// Service that serves it.
        service: ServiceKey,
    },
    /// Answers an [`OriginMessage::Ask`].
    Answer {
        /// Number of the question.
        number: u32,
        /// What the sender knows.
        told: ToldOrigin,
    },
}

/// What an instance knows of a stream's origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToldOrigin {
    /// A record names its version.
    Recorded(VersionKey),
    /// It has no record and does not know all versions that served lately.
    Unknown,
    /// It has no record; this version alone served.
    Only(VersionKey),
    /// It has no record; before all others came lately, this version served.
    Before(VersionKey),
    /// It has no record; several versions served.
    Several,
}

/// Streams and the versions that began them, as one record of the store's log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamBatch(Vec<(VersionKey, Vec<StreamKey>)>);

impl StreamBatch {
    /// Adds a stream.
    pub fn add(&mut self, stream: StreamKey, version: VersionKey) {
        match self.0.iter_mut().find(|(known, _)| *known == version) {
            Some((_, streams)) => streams.push(stream),
            None => self.0.push((version, vec![stream])),
        }
    }

    /// The streams with their versions.
    pub fn streams(&self) -> impl Iterator<Item = (StreamKey, VersionKey)> {
        let each = |(version, streams): &(VersionKey, Vec<StreamKey>)| {
            let version = *version;
            let streams = streams.clone();
            streams.into_iter().map(move |stream| (stream, version))
        };
        self.0.iter().flat_map(each)
    }

    /// Encodes the batch.
    pub fn encode(&self) -> Result<Vec<u8>, MessageError> {
        postcard::to_extend(self, vec![FORMAT]).map_err(MessageError::Malformed)
    }

    /// Decodes a batch.
    pub fn decode(bytes: &[u8]) -> Result<Self, MessageError> {
        postcard::from_bytes(checked(bytes)?).map_err(MessageError::Malformed)
    }
}

/// An instance among which those that keep a stream's record are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate<'a, T> {
    /// The instance.
    pub key: InstanceKey,
    /// Its availability zone.
    pub zone: &'a str,
    /// What the caller knows it by.
    pub value: T,
}

/// Number of instances that append records to the store's log, in a fleet of this size.
pub fn recorder_count(instances: usize) -> usize {
    1 + instances / INSTANCES_PER_RECORDER
}

/// The instances that keep a stream's record, in the order in which they are told and asked: the one that appends it to
/// the store's log, one in another availability zone than that, and others by a hash of the stream.
///
/// The choice changes with the members; records of before are then found by the second or third, or in the log.
pub fn homes<'a, T: Copy>(
    stream: StreamKey,
    instances: &[Candidate<'a, T>],
    count: usize,
) -> Vec<Candidate<'a, T>> {
    let slot = StreamKey(stream.0 % recorder_count(instances.len()) as u64);
    let Some(recorder) = instances.iter().min_by_key(|each| slot.place(each.key)) else {
        return Vec::new();
    };
    let mut others: Vec<(bool, u64, &Candidate<'a, T>)> = instances
        .iter()
        .filter(|each| each.key != recorder.key)
        .map(|each| (each.zone == recorder.zone, stream.place(each.key), each))
        .collect();
    let count = count.saturating_sub(1).min(others.len());
    if count < others.len() {
        others.select_nth_unstable_by_key(count, |(is_near, place, _)| (*is_near, *place));
        others.truncate(count);
    }
    others.sort_unstable_by_key(|(is_near, place, _)| (*is_near, *place));
    let others = others.into_iter().map(|(_, _, each)| *each);
    std::iter::once(*recorder).chain(others).collect()
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
    postcard::from_bytes(checked(bytes)?).map_err(MessageError::Malformed)
}

/// What follows the format.
fn checked(bytes: &[u8]) -> Result<&[u8], MessageError> {
    match bytes.split_first() {
        Some((&FORMAT, rest)) => Ok(rest),
        other => Err(MessageError::UnknownFormat {
            format: other.map(|(format, _)| *format),
        }),
    }
}
