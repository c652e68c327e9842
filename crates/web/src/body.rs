//! Bodies of requests, bounded in size and time.

use std::time::Duration;

use actix_http::{Payload, StatusCode};
use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use futures_util::StreamExt;
use serde::de::DeserializeOwned;

/// A request's body cannot be used.
#[derive(Debug, Display, Error, Clone, PartialEq, Eq)]
pub enum BodyError {
    /// It is larger than allowed.
    #[display("body: larger than {limit} bytes")]
    TooLarge {
        /// The limit.
        limit: usize,
    },
    /// It did not arrive in time.
    #[display("body: not complete after {limit_ms} ms")]
    TooSlow {
        /// The limit.
        limit_ms: u64,
    },
    /// The connection ended or broke in its midst.
    #[display("body: {detail}")]
    Broken {
        /// What the connection said.
        detail: String,
    },
    /// It is not the JSON that was expected.
    #[display("{field}: {detail}")]
    Json {
        /// Path of the field.
        field: String,
        /// What is wrong there.
        detail: String,
    },
}

impl BodyError {
    /// The status that tells the caller.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow { .. } => StatusCode::REQUEST_TIMEOUT,
            Self::Broken { .. } | Self::Json { .. } => StatusCode::BAD_REQUEST,
        }
    }
}

/// Reads a whole body.
pub async fn read_body(payload: Payload, limit: usize, limit_ms: u64) -> Result<Bytes, BodyError> {
    let read = collect(payload, limit);
    let timed = actix_rt::time::timeout(Duration::from_millis(limit_ms), read).await;
    timed.unwrap_or(Err(BodyError::TooSlow { limit_ms }))
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

/// Parses JSON and names the field that is wrong.
pub fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, BodyError> {
    let mut deserializer = serde_json::Deserializer::from_slice(body);
    let value =
        serde_path_to_error::deserialize(&mut deserializer).map_err(|error| BodyError::Json {
            field: field(error.path()),
            detail: error.inner().to_string(),
        })?;
    deserializer.end().map_err(|error| BodyError::Json {
        field: WHOLE.to_owned(),
        detail: error.to_string(),
    })?;
    Ok(value)
}

/// Names the whole body where no field of it is to blame.
const WHOLE: &str = "body";

fn field(path: &serde_path_to_error::Path) -> String {
    let path = path.to_string();
    match path.as_str() {
        "?" | "." => WHOLE.to_owned(),
        _ => path,
    }
}
