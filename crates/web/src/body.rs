//! Reads request bodies with limits on size and time.

use std::time::Duration;

use actix_http::{Payload, StatusCode};
use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use futures_util::StreamExt;
use serde::de::DeserializeOwned;

/// Why a request body was rejected.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
pub enum BodyError {
    /// The body is larger than the limit.
    #[display("body: larger than {limit} bytes")]
    TooLarge {
        /// Maximum size in bytes.
        limit: usize,
    },
    /// The body did not arrive in time.
    #[display("body: not complete after {limit_ms} ms")]
    TooSlow {
        /// Timeout.
        limit_ms: u64,
    },
    /// The connection ended or failed before the body was complete.
    #[display("body: {detail}")]
    Broken {
        /// Error of the connection.
        detail: String,
    },
    /// The JSON or the query string is not of the expected form.
    #[display("{field}: {detail}")]
    Json {
        /// Path of the invalid field.
        field: String,
        /// Error of the parser.
        detail: String,
    },
}

impl BodyError {
    /// Status code of the response to the caller.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow { .. } => StatusCode::REQUEST_TIMEOUT,
            Self::Broken { .. } | Self::Json { .. } => StatusCode::BAD_REQUEST,
        }
    }
}

/// Reads a complete body of at most `limit` bytes within `limit_ms`.
pub async fn read_body(payload: Payload, limit: usize, limit_ms: u64) -> Result<Bytes, BodyError> {
    let body = collect(payload, limit);
    let result = actix_rt::time::timeout(Duration::from_millis(limit_ms), body).await;
    result.unwrap_or(Err(BodyError::TooSlow { limit_ms }))
}

async fn collect(mut payload: Payload, limit: usize) -> Result<Bytes, BodyError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|error| BodyError::Broken {
            detail: error.to_string(),
        })?;
        if body.len() + chunk.len() > limit {
            return Err(BodyError::TooLarge { limit });
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}

/// Parses JSON; an error names the path of the invalid field.
pub fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, BodyError> {
    let mut deserializer = serde_json::Deserializer::from_slice(body);
    let value =
        serde_path_to_error::deserialize(&mut deserializer).map_err(|error| BodyError::Json {
            field: field_path(error.path()),
            detail: error.inner().to_string(),
        })?;
    deserializer.end().map_err(|error| BodyError::Json {
        field: WHOLE_BODY.to_owned(),
        detail: error.to_string(),
    })?;
    Ok(value)
}

/// Path in errors that no single field causes.
const WHOLE_BODY: &str = "body";

fn field_path(path: &serde_path_to_error::Path) -> String {
    let path = path.to_string();
    match path.as_str() {
        "?" | "." => WHOLE_BODY.to_owned(),
        _ => path,
    }
}
