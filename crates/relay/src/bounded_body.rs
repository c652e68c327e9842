//! Reads the body of an answer whole, within bounds on its length and on what all such bodies hold together.
//!
//! An upstream that fails may write without end. An instance that kept all of it would run out of memory, and with it
//! would go the answers of all its callers. See docs/design/bounded-answers.md.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};
use derive_more::Display;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

/// Longest answer that is held whole, in bytes, if its head does not tell its length.
pub const MAX_HELD_BYTES: usize = 1 << 20;

/// Longest answer of an upstream, or of the platform, to a call of this instance's own, in bytes.
pub const MAX_CALL_ANSWER_BYTES: usize = 64 << 10;

/// Longest answer that holds the state of the fleet, from a peer or the store, in bytes.
pub const MAX_STATE_BYTES: usize = 8 << 20;

/// Part of an answer that is held in any case, in bytes: a few times the usual answer.
const OWN_SHARE_BYTES: usize = 32 << 10;

/// Most that all answers hold beyond these parts, in bytes.
const SHARED_BYTES: usize = 8 << 20;

/// Why a body could not be read whole.
#[derive(Debug, Display)]
pub enum BodyError {
    /// The connection failed.
    #[display("{_0}")]
    Broken(hyper::Error),
    /// It is longer than it may be.
    #[display("more than {most_bytes} bytes")]
    TooLong {
        /// Its longest length, in bytes.
        most_bytes: usize,
    },
}

impl BodyError {
    /// Whether the body went on past a bound.
    pub fn is_past_bound(&self) -> bool {
        match self {
            Self::Broken(_) => false,
            Self::TooLong { .. } => true,
        }
    }
}

/// What came of reading a body.
pub enum ReadBody {
    /// All of it. Its memory counts until its last byte was written to the caller.
    Whole(Bytes),
    /// Its beginning. There is no memory for more, so the rest has to be passed on as it comes: a caller that reads slowly
    /// then slows its upstream down.
    Begun(Bytes, Incoming),
}

/// Memory of this instance for answers that are held until they are whole, and from then on until their callers have read
/// them.
///
/// Each may hold [`OWN_SHARE_BYTES`], so that upstreams which write without end, and callers that read slowly, take nothing
/// from usual answers.
#[derive(Debug, Default)]
pub struct AnswerMemory {
    shared_bytes: Arc<AtomicUsize>,
}

impl AnswerMemory {
    /// Reads a body while there is memory for it; one of more than [`MAX_HELD_BYTES`] is an error.
    pub async fn read_whole(&self, mut body: Incoming) -> Result<ReadBody, BodyError> {
        let mut share = Share::of(self);
        let mut bytes = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(BodyError::Broken)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            bytes.extend_from_slice(&data);
            if bytes.len() > MAX_HELD_BYTES {
                return Err(BodyError::TooLong {
                    most_bytes: MAX_HELD_BYTES,
                });
            }
            if !share.grow(bytes.len().saturating_sub(OWN_SHARE_BYTES)) {
                return Ok(ReadBody::Begun(share.keep(bytes), body));
            }
        }
        Ok(ReadBody::Whole(share.keep(bytes)))
    }

    /// Bytes that answers hold beyond their own shares.
    pub fn shared_bytes(&self) -> usize {
        self.shared_bytes.load(Ordering::Relaxed)
    }
}

/// What one answer holds of the shared memory.
struct Share {
    memory: Arc<AtomicUsize>,
    shared_bytes: usize,
}

impl Share {
    fn of(memory: &AnswerMemory) -> Self {
        Self {
            memory: Arc::clone(&memory.shared_bytes),
            shared_bytes: 0,
        }
    }

    /// Takes memory until the answer holds so much; false if all answers hold as much as they may.
    fn grow(&mut self, to_bytes: usize) -> bool {
        let more = to_bytes.saturating_sub(self.shared_bytes);
        let before = self.memory.fetch_add(more, Ordering::Relaxed);
        if more > 0 && before + more > SHARED_BYTES {
            self.memory.fetch_sub(more, Ordering::Relaxed);
            return false;
        }
        self.shared_bytes += more;
        true
    }

    /// Bytes whose memory counts until they are dropped.
    fn keep(self, bytes: BytesMut) -> Bytes {
        if self.shared_bytes == 0 {
            return bytes.freeze();
        }
        Bytes::from_owner(Kept {
            bytes: bytes.freeze(),
            _share: self,
        })
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.memory.fetch_sub(self.shared_bytes, Ordering::Relaxed);
    }
}

/// Bytes of an answer with their share of the memory.
struct Kept {
    bytes: Bytes,
    _share: Share,
}

impl AsRef<[u8]> for Kept {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads the body of an answer to a call of this instance's own, which may have up to `most_bytes`.
pub async fn read_own(body: Incoming, most_bytes: usize) -> Result<Bytes, BodyError> {
    match Limited::new(body, most_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) => match error.downcast::<hyper::Error>() {
            Ok(error) => Err(BodyError::Broken(*error)),
            Err(_) => Err(BodyError::TooLong { most_bytes }),
        },
    }
}
