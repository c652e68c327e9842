//! Reads the body of an answer whole, within bounds on its length and on what all such bodies hold together.
//!
//! An upstream that fails may write without end. An instance that kept all of it would run out of memory, and with it
//! would go the answers of all its callers. See docs/design/bounded-answers.md.

use std::cell::Cell;

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
    /// All answers together hold as much as they may.
    #[display("all answers hold {SHARED_BYTES} bytes")]
    NoMemory,
}

impl BodyError {
    /// Whether the body went on past a bound.
    pub fn is_past_bound(&self) -> bool {
        match self {
            Self::Broken(_) => false,
            Self::TooLong { .. } | Self::NoMemory => true,
        }
    }
}

/// Memory of this instance for answers that are held until they are whole.
///
/// Each may hold [`OWN_SHARE_BYTES`], so that upstreams which write without end take nothing from usual answers.
#[derive(Debug, Default)]
pub struct AnswerMemory {
    shared_bytes: Cell<usize>,
}

impl AnswerMemory {
    /// Reads a body whole; one of more than [`MAX_HELD_BYTES`], or for which there is no memory, is an error.
    pub async fn read_whole(&self, mut body: Incoming) -> Result<Bytes, BodyError> {
        let mut held = Held::new(self);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(BodyError::Broken)?;
            if let Ok(data) = frame.into_data() {
                held.add(&data)?;
            }
        }
        Ok(std::mem::take(&mut held.bytes).freeze())
    }

    /// Bytes that answers hold beyond their own shares.
    pub fn shared_bytes(&self) -> usize {
        self.shared_bytes.get()
    }
}

/// The part of a body that was read.
struct Held<'a> {
    memory: &'a AnswerMemory,
    bytes: BytesMut,
    shared_bytes: usize,
}

impl<'a> Held<'a> {
    fn new(memory: &'a AnswerMemory) -> Self {
        Self {
            memory,
            bytes: BytesMut::new(),
            shared_bytes: 0,
        }
    }

    fn add(&mut self, data: &[u8]) -> Result<(), BodyError> {
        let length = self.bytes.len() + data.len();
        if length > MAX_HELD_BYTES {
            return Err(BodyError::TooLong {
                most_bytes: MAX_HELD_BYTES,
            });
        }
        let more = length.saturating_sub(OWN_SHARE_BYTES) - self.shared_bytes;
        let all = self.memory.shared_bytes.get() + more;
        if more > 0 && all > SHARED_BYTES {
            return Err(BodyError::NoMemory);
        }
        self.memory.shared_bytes.set(all);
        self.shared_bytes += more;
        self.bytes.extend_from_slice(data);
        Ok(())
    }
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        let all = self.memory.shared_bytes.get();
        self.memory.shared_bytes.set(all - self.shared_bytes);
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
