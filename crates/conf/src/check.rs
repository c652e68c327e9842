//! Validation rules that JSON Schema cannot express.

use std::fmt::Display;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Maximum length of a name in settings and bundles.
const MAX_NAME_BYTES: usize = 64;

/// Length of a SHA-256 digest in hexadecimal digits.
const SHA256_HEX_DIGITS: usize = 64;

/// An invalid field and the reason.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[display("{field}: {detail}")]
pub struct Problem {
    /// Path of the field, such as `members[0].share`.
    pub field: String,
    /// Why the value was rejected.
    pub detail: String,
}

impl Problem {
    /// Creates a problem from anything that can be displayed.
    pub fn new(field: impl Display, detail: impl Display) -> Self {
        Self {
            field: field.to_string(),
            detail: detail.to_string(),
        }
    }
}

/// Collects all invalid fields, so that an operator sees them in one run.
#[derive(Debug, Default)]
pub(crate) struct Checker {
    pub(crate) problems: Vec<Problem>,
}

impl Checker {
    pub(crate) fn fail(&mut self, field: impl Display, detail: impl Display) {
        self.problems.push(Problem::new(field, detail));
    }

    pub(crate) fn name(&mut self, field: impl Display, value: &str) {
        if !is_name(value) {
            self.fail(field, "1 to 64 of A-Z a-z 0-9 . _ - / expected");
        }
    }

    pub(crate) fn address(&mut self, field: impl Display, value: &str) {
        if value.parse::<SocketAddr>().is_err() {
            self.fail(field, format!("`{value}` is no IP address with a port"));
        }
    }

    pub(crate) fn sha256(&mut self, field: impl Display, value: &str) {
        if value.len() != SHA256_HEX_DIGITS || !value.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            self.fail(field, "64 hexadecimal digits expected");
        }
    }

    pub(crate) fn range(&mut self, field: impl Display, value: u64, min: u64, max: u64) {
        if value < min || value > max {
            self.fail(field, format!("{value} is outside {min} to {max}"));
        }
    }

    pub(crate) fn unique<'a>(&mut self, field: &str, names: impl Iterator<Item = &'a str>) {
        let mut seen = std::collections::BTreeSet::new();
        for (index, name) in names.enumerate() {
            if !seen.insert(name) {
                self.fail(
                    format!("{field}[{index}]"),
                    format!("`{name}` stands twice"),
                );
            }
        }
    }
}

/// Whether a string is a valid name of an instance, an upstream or an item of a bundle: 1 to 64
/// letters, digits and `. _ - /`.
pub fn is_name(value: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-/".contains(&byte);
    (1..=MAX_NAME_BYTES).contains(&value.len()) && value.bytes().all(allowed)
}
