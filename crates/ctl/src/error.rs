//! Errors of commands and their exit codes.

use derive_more::{Display, Error};

/// Why a command failed.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The command line is invalid.
    #[display("{detail}")]
    Usage {
        /// Why it is invalid.
        #[error(not(source))]
        detail: String,
    },
    /// Reading a file failed.
    #[display("{file}: {source}")]
    File {
        /// Name of the file.
        file: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The instance refused the request.
    #[display("refused: {detail}")]
    Refused {
        /// Reason given by the instance.
        #[error(not(source))]
        detail: String,
    },
    /// The instance did not answer, or does not know whether the request took effect.
    #[display("{operation} at {peer}: {detail}")]
    Unreachable {
        /// Operation that failed.
        operation: &'static str,
        /// Address of the instance.
        peer: String,
        /// Cause of the failure.
        detail: String,
    },
}

/// Result of a command.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Exit code: 1 refused, 2 invalid command line or file, 3 unreachable or outcome unknown.
    pub fn exit_code(&self) -> i32 {
        match self {
            Self::Refused { .. } => 1,
            Self::Usage { .. } | Self::File { .. } => 2,
            Self::Unreachable { .. } => 3,
        }
    }
}
