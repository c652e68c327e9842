//! What can go wrong at the command line, and the exit code of each.

use derive_more::{Display, Error};

/// The command did not do what was asked.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The command line is wrong.
    #[display("{detail}")]
    Usage {
        /// What is wrong with it.
        #[error(not(source))]
        detail: String,
    },
    /// A file cannot be read.
    #[display("{file}: {source}")]
    File {
        /// The file.
        file: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// The instance refused.
    #[display("refused: {detail}")]
    Refused {
        /// Its reason.
        #[error(not(source))]
        detail: String,
    },
    /// No instance answered, or none could say what became of the request.
    #[display("{step} at {peer}: {detail}")]
    Unreachable {
        /// What was being done.
        step: &'static str,
        /// Address of the instance.
        peer: String,
        /// What went wrong.
        detail: String,
    },
}

/// Result of a command.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Exit code: 1 refused, 2 usage, 3 unreachable or unknown.
    pub fn exit_code(&self) -> i32 {
        match self {
            Self::Refused { .. } => 1,
            Self::Usage { .. } | Self::File { .. } => 2,
            Self::Unreachable { .. } => 3,
        }
    }
}
