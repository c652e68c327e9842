//! Deserializes JSON with comments and locates errors by line, column and field.

use std::io::Read;

use json_comments::StripComments;
use serde::de::DeserializeOwned;

use crate::{Error, Result};

/// Parses JSON with `//`, `#` and `/* */` comments; `file` only appears in error messages.
pub fn parse<T: DeserializeOwned>(text: &str, file: &str) -> Result<T> {
    let mut plain = String::with_capacity(text.len());
    // Comments are replaced by spaces, so errors keep the line and column of the file.
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
        // A text that ends too early yields the path "?", as no field caused the error.
        let field = if path == "?" { ".".to_owned() } else { path };
        parse_error(file, field, error.inner())
    })?;
    deserializer
        .end()
        .map_err(|error| parse_error(file, ".".to_owned(), &error))?;
    Ok(value)
}

fn parse_error(file: &str, field: String, error: &serde_json::Error) -> Error {
    Error::Parse {
        file: file.to_owned(),
        line: error.line(),
        column: error.column(),
        field,
        detail: error.to_string(),
    }
}
