//! Idempotency keys.

use std::fmt;
use std::str::FromStr;

use derive_more::{Display, Error};

/// Longest key, in bytes.
const KEY_BYTES: usize = 256;

/// Between the parts of a key.
const PART: char = '~';

/// Between the fields of a place.
const FIELD: char = ':';

/// One incarnation of an instance, in the epoch in which the key was handed out.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct InstanceEpoch {
    /// Instance.
    pub instance: String,
    /// Number drawn at its start.
    pub incarnation: u64,
    /// Its own epoch then.
    pub epoch: u64,
}

/// A key that says who may run the call and who must have noted it first.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct IdempotencyKey {
    /// The only instance that may dispatch the call.
    pub home: InstanceEpoch,
    /// The instance that must note the key before the home dispatches.
    pub witness: InstanceEpoch,
    /// The caller's own part.
    pub suffix: String,
}

/// A text is no key.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
#[display("Idempotency-Key: {detail}")]
pub struct KeyError {
    /// What is wrong with it.
    #[error(not(source))]
    pub detail: &'static str,
}

impl IdempotencyKey {
    /// The part to hand out to callers, who put their own text behind it.
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
        if text.len() > KEY_BYTES {
            return Err(KeyError {
                detail: "longer than 256 bytes",
            });
        }
        let missing = KeyError {
            detail: "must begin with the key_prefix that /v1/lookup gives",
        };
        let mut parts = text.splitn(3, PART);
        let (Some(home), Some(witness), Some(suffix)) = (parts.next(), parts.next(), parts.next())
        else {
            return Err(missing);
        };
        let own = |byte: u8| byte.is_ascii_graphic();
        if suffix.is_empty() || !suffix.bytes().all(own) {
            return Err(KeyError {
                detail: "needs the caller's own part, printable ASCII, after the prefix",
            });
        }
        let key = Self {
            home: place(home).ok_or_else(|| missing.clone())?,
            witness: place(witness).ok_or(missing)?,
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

fn place(text: &str) -> Option<InstanceEpoch> {
    let mut fields = text.split(FIELD);
    let place = InstanceEpoch {
        instance: fields.next().filter(|name| !name.is_empty())?.to_owned(),
        incarnation: u64::from_str_radix(fields.next()?, 16).ok()?,
        epoch: fields.next()?.parse().ok()?,
    };
    fields.next().is_none().then_some(place)
}
