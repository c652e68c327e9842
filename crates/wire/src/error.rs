//! Errors of decoding messages.

use derive_more::{Display, Error};

/// Why a message was rejected.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
pub enum Error {
    /// The bytes are not a complete Cap'n Proto message, or hold a value that the schema lacks.
    #[display("frame: {detail}")]
    Frame {
        /// Error of the Cap'n Proto decoder.
        detail: String,
    },
    /// A field has an invalid value.
    #[display("field {field}: {detail}")]
    Field {
        /// Path of the field in the schema.
        field: &'static str,
        /// Why the value was rejected.
        detail: String,
    },
}

/// Result of decoding a message.
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
