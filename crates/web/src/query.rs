//! Parses query strings.

use actix_http::Request;
use serde::de::DeserializeOwned;

use crate::BodyError;

/// Deserializes the query string of a request; an error names the field `query`.
pub fn parse_query<T: DeserializeOwned>(request: &Request) -> Result<T, BodyError> {
    let text = request.uri().query().unwrap_or_default();
    serde_urlencoded::from_str(text).map_err(|error| BodyError::Json {
        field: "query".to_owned(),
        detail: error.to_string(),
    })
}
