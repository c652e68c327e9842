//! Hashes of API keys.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use derive_more::{Display as DeriveDisplay, Error};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Length of a SHA-256 hash, in bytes.
const BYTES: usize = 32;

/// SHA-256 hash of an API key; hexadecimal in text and in serialised form.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyHash([u8; BYTES]);

/// The text is not the hexadecimal form of a SHA-256 hash.
#[derive(Debug, DeriveDisplay, Error, Clone, Copy, PartialEq, Eq)]
#[display("a SHA-256 of {} hexadecimal digits expected", 2 * BYTES)]
pub struct KeyHashError;

impl KeyHash {
    /// Hashes a key as the caller presented it; every byte is significant.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl Display for KeyHash {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl FromStr for KeyHash {
    type Err = KeyHashError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.as_bytes();
        if digits.len() != 2 * BYTES || !digits.iter().all(u8::is_ascii_hexdigit) {
            return Err(KeyHashError);
        }
        let mut hash = [0; BYTES];
        for (byte, at) in hash.iter_mut().zip((0..).step_by(2)) {
            *byte = u8::from_str_radix(&text[at..at + 2], 16).map_err(|_| KeyHashError)?;
        }
        Ok(Self(hash))
    }
}

impl TryFrom<String> for KeyHash {
    type Error = KeyHashError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<KeyHash> for String {
    fn from(hash: KeyHash) -> Self {
        hash.to_string()
    }
}
