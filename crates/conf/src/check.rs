//! Rules that a schema cannot state.

use std::fmt::Display;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Longest name of anything in settings and bundles, in bytes.
const NAME_BYTES: usize = 64;

/// Length of a SHA-256 in hexadecimal.
const SHA256_HEX: usize = 64;

/// One wrong field.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[display("{field}: {detail}")]
pub struct Problem {
    /// Path of the field, such as `members[0].share`.
    pub field: String,
    /// What is wrong with it.
    pub detail: String,
}

impl Problem {
    /// States what is wrong with a field.
    pub fn new(field: impl Display, detail: impl Display) -> Self {
        Self {
            field: field.to_string(),
            detail: detail.to_string(),
        }
    }
}

/// Collects what is wrong, so that an operator sees all of it at once.
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
        if value.len() != SHA256_HEX || !value.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            self.fail(field, "64 hexadecimal digits expected");
        }
    }

    pub(crate) fn range(&mut self, field: impl Display, value: u64, least: u64, most: u64) {
        if value < least || value > most {
            self.fail(field, format!("{value} is outside {least} to {most}"));
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

/// Whether a text can name an instance, an upstream or anything in a bundle.
pub fn is_name(value: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-/".contains(&byte);
    (1..=NAME_BYTES).contains(&value.len()) && value.bytes().all(allowed)
}
