//! Why an instance cannot start.

use derive_more::{Display, Error};

/// An instance cannot start or go on.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// An address cannot be listened on.
    #[display("listen on {address}: {source}")]
    Listen {
        /// The address.
        address: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// The thread that gives orders cannot be set up.
    #[display("order guard: {source}")]
    Guard {
        /// What the system said.
        source: std::io::Error,
    },
}

/// Result of starting an instance.
pub type Result<T> = std::result::Result<T, Error>;
