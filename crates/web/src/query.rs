//! Query strings.

use actix_http::Request;
use serde::de::DeserializeOwned;

use crate::BodyError;

/// Reads a request's query string and names what is wrong with it.
pub fn parse_query<T: DeserializeOwned>(request: &Request) -> Result<T, BodyError> {
    let text = request.uri().query().unwrap_or_default();
    serde_urlencoded::from_str(text).map_err(|error| BodyError::Json {
        field: "query".to_owned(),
        detail: error.to_string(),
    })
}
