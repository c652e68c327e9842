//! Errors of reading settings and bundles.

use derive_more::{Display, Error};

use crate::Problem;

/// Why settings or a bundle were rejected.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// Reading the file failed.
    #[display("{file}: cannot be read: {source}")]
    Read {
        /// Name of the file as the caller gave it.
        file: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The text is not valid JSON or does not match the schema.
    #[display("{file}:{line}:{column}: {field}: {detail}")]
    Parse {
        /// Name of the file as the caller gave it.
        file: String,
        /// Line, from 1.
        line: usize,
        /// Column, from 1.
        column: usize,
        /// Path of the invalid field.
        field: String,
        /// Error of the JSON parser.
        detail: String,
    },
    /// The text matches the schema but fails the additional checks.
    #[display("{file}: {}", join(problems))]
    Check {
        /// Name of the file as the caller gave it.
        file: String,
        /// All invalid fields.
        #[error(not(source))]
        problems: Vec<Problem>,
    },
}

/// Result of reading settings or a bundle.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// All invalid fields; for a file that cannot be read, the file in place of a field.
    pub fn problems(&self) -> Vec<Problem> {
        match self {
            Self::Read { file, source } => vec![Problem::new(file, source)],
            Self::Parse { field, detail, .. } => vec![Problem::new(field, detail)],
            Self::Check { problems, .. } => problems.clone(),
        }
    }
}

fn join(problems: &[Problem]) -> String {
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    lines.join("; ")
}
