//! Errors on starting an instance.

use derive_more::{Display, Error};

/// An instance cannot start.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// An address cannot be listened on.
    #[display("listen on {address}: {source}")]
    Listen {
        /// Address that cannot be used.
        address: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The thread that sends orders cannot be set up.
    #[display("order guard: {source}")]
    Guard {
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// Result of starting an instance.
pub type Result<T> = std::result::Result<T, Error>;
