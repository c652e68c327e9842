//! What can be wrong with bytes that claim to be one of our messages.

use derive_more::{Display, Error};

/// A message could not be read.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
pub enum Error {
    /// The bytes are no Cap'n Proto message, or one cut short.
    #[display("frame: {detail}")]
    Frame {
        /// What the decoder said.
        detail: String,
    },
    /// One field holds what its schema does not allow.
    #[display("field {field}: {detail}")]
    Field {
        /// Path of the field in the schema.
        field: &'static str,
        /// What is wrong with it.
        detail: String,
    },
}

/// Result of reading a message.
pub type Result<T> = std::result::Result<T, Error>;

impl From<capnp::Error> for Error {
    fn from(error: capnp::Error) -> Self {
        Self::Frame {
            detail: error.to_string(),
        }
    }
}

impl From<capnp::NotInSchema> for Error {
    fn from(error: capnp::NotInSchema) -> Self {
        Self::Frame {
            detail: error.to_string(),
        }
    }
}

impl From<Error> for capnp::Error {
    fn from(error: Error) -> Self {
        Self::failed(error.to_string())
    }
}
