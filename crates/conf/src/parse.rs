//! JSON with comments into generated structs, with the place of what is wrong.

use std::io::Read;

use json_comments::StripComments;
use serde::de::DeserializeOwned;

use crate::{Error, Result};

/// Parses JSON with `//`, `#` and `/* */` comments; `file` is only for messages.
pub(crate) fn parse<T: DeserializeOwned>(text: &str, file: &str) -> Result<T> {
    let mut plain = String::with_capacity(text.len());
    // Comments turn into blanks, so lines and columns stay those of the file.
    StripComments::new(text.as_bytes())
        .read_to_string(&mut plain)
        .map_err(|error| Error::Parse {
            file: file.to_owned(),
            line: text.lines().count(),
            column: 1,
            field: ".".to_owned(),
            detail: error.to_string(),
        })?;
    let mut deserializer = serde_json::Deserializer::from_str(&plain);
    let value = serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
        let path = error.path().to_string();
        // A text that ends too early has no field to blame.
        let field = if path == "?" { ".".to_owned() } else { path };
        located(file, field, error.inner())
    })?;
    deserializer
        .end()
        .map_err(|error| located(file, ".".to_owned(), &error))?;
    Ok(value)
}

fn located(file: &str, field: String, error: &serde_json::Error) -> Error {
    Error::Parse {
        file: file.to_owned(),
        line: error.line(),
        column: error.column(),
        field,
        detail: error.to_string(),
    }
}
