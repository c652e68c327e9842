//! Constructors for responses.

use std::convert::Infallible;

use actix_http::StatusCode;
use actix_http::body::{BodyStream, BoxBody, MessageBody};
use actix_http::header::CONTENT_TYPE;
use bytes::Bytes;
use futures_util::StreamExt;
use serde::Serialize;
use tokio::sync::mpsc;

use crate::Response;

/// Creates a response without a body.
pub fn empty(status: StatusCode) -> Response {
    actix_http::Response::build(status)
        .finish()
        .map_into_boxed_body()
}

/// Creates a JSON response.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_else(|error| {
        // Only a map with keys other than strings fails to serialize, and no response has one.
        log::error!("failed to serialize a response: {error}");
        Vec::new()
    });
    text(status, "application/json", body)
}

/// Creates a response with the given content type and body.
pub fn text(status: StatusCode, content_type: &str, body: impl Into<Bytes>) -> Response {
    actix_http::Response::build(status)
        .insert_header((CONTENT_TYPE, content_type))
        .body(body.into())
        .map_into_boxed_body()
}

/// Creates a response that streams its body from a channel.
///
/// A bounded channel makes a slow caller block the sender instead of growing a buffer. When the
/// caller disconnects, the channel closes and sending fails.
pub fn stream(content_type: &str, receiver: mpsc::Receiver<Bytes>) -> Response {
    let chunks = futures_util::stream::unfold(receiver, |mut receiver| async {
        let chunk = receiver.recv().await?;
        Some((chunk, receiver))
    });
    let body: BoxBody = BodyStream::new(chunks.map(Ok::<_, Infallible>).boxed_local()).boxed();
    actix_http::Response::build(StatusCode::OK)
        .insert_header((CONTENT_TYPE, content_type))
        .body(body)
        .map_into_boxed_body()
}
