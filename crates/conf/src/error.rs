//! What can be wrong with settings or a bundle.

use derive_more::{Display, Error};

use crate::Problem;

/// Settings or a bundle cannot be used.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// The file cannot be read.
    #[display("{file}: cannot be read: {source}")]
    Read {
        /// File as it was named.
        file: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// The text is not JSON, or not of the schema.
    #[display("{file}:{line}:{column}: {field}: {detail}")]
    Parse {
        /// File as it was named.
        file: String,
        /// Line, from 1.
        line: usize,
        /// Column, from 1.
        column: usize,
        /// Path of the field.
        field: String,
        /// What is wrong.
        detail: String,
    },
    /// The text fits the schema but not the rules beyond it.
    #[display("{file}: {}", list(problems))]
    Check {
        /// File as it was named.
        file: String,
        /// Everything that is wrong.
        #[error(not(source))]
        problems: Vec<Problem>,
    },
}

/// Result of reading settings or a bundle.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Every wrong field with what is wrong there.
    pub fn problems(&self) -> Vec<Problem> {
        match self {
            Self::Read { file, source } => vec![Problem::new(file, source)],
            Self::Parse { field, detail, .. } => vec![Problem::new(field, detail)],
            Self::Check { problems, .. } => problems.clone(),
        }
    }
}

fn list(problems: &[Problem]) -> String {
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    lines.join("; ")
}
