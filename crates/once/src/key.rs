//! Idempotency keys.

use std::fmt;
use std::str::FromStr;

use derive_more::{Display, Error};

/// Maximum length of a key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Separates the parts of a key.
const PART: char = '~';

/// Separates the fields of an [`InstanceEpoch`].
const FIELD: char = ':';

/// An incarnation of an instance and its epoch when the key was issued.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct InstanceEpoch {
    /// Name of the instance.
    pub instance: String,
    /// Random number drawn when the process started.
    pub incarnation: u64,
    /// Epoch of this incarnation when the key was issued.
    pub epoch: u64,
}

/// A key that names the instance that may dispatch the call and the one that must record it first.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct IdempotencyKey {
    /// The only incarnation that may dispatch the call.
    pub home: InstanceEpoch,
    /// The incarnation that must record the key before the home dispatches the call.
    pub witness: InstanceEpoch,
    /// Suffix chosen by the caller.
    pub suffix: String,
}

/// The text is not a valid key.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
#[display("Idempotency-Key: {detail}")]
pub struct KeyError {
    /// What is wrong with the text.
    #[error(not(source))]
    pub detail: &'static str,
}

impl IdempotencyKey {
    /// Prefix that is issued to callers, who append a suffix of their own.
    pub fn prefix(home: &InstanceEpoch, witness: &InstanceEpoch) -> String {
        format!("{home}{PART}{witness}{PART}")
    }
}

impl fmt::Display for InstanceEpoch {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        let Self {
            instance,
            incarnation,
            epoch,
        } = self;
        write!(out, "{instance}{FIELD}{incarnation:x}{FIELD}{epoch}")
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str(&Self::prefix(&self.home, &self.witness))?;
        out.write_str(&self.suffix)
    }
}

impl FromStr for IdempotencyKey {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        if text.len() > MAX_KEY_BYTES {
            return Err(KeyError {
                detail: "longer than 256 bytes",
            });
        }
        let bad_prefix = KeyError {
            detail: "must begin with the key_prefix that /v1/lookup gives",
        };
        let mut parts = text.splitn(3, PART);
        let (Some(home), Some(witness), Some(suffix)) = (parts.next(), parts.next(), parts.next())
        else {
            return Err(bad_prefix);
        };
        let is_allowed = |byte: u8| byte.is_ascii_graphic();
        if suffix.is_empty() || !suffix.bytes().all(is_allowed) {
            return Err(KeyError {
                detail: "needs the caller's own part, printable ASCII, after the prefix",
            });
        }
        let key = Self {
            home: parse_instance_epoch(home).ok_or_else(|| bad_prefix.clone())?,
            witness: parse_instance_epoch(witness).ok_or(bad_prefix)?,
            suffix: suffix.to_owned(),
        };
        if key.home.instance == key.witness.instance {
            return Err(KeyError {
                detail: "home and witness are the same instance",
            });
        }
        Ok(key)
    }
}

fn parse_instance_epoch(text: &str) -> Option<InstanceEpoch> {
    let mut fields = text.split(FIELD);
    let parsed = InstanceEpoch {
        instance: fields.next().filter(|name| !name.is_empty())?.to_owned(),
        incarnation: u64::from_str_radix(fields.next()?, 16).ok()?,
        epoch: fields.next()?.parse().ok()?,
    };
    fields.next().is_none().then_some(parsed)
}
