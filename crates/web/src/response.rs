//! Responses.

use std::convert::Infallible;

use actix_http::StatusCode;
use actix_http::body::{BodyStream, BoxBody, MessageBody};
use actix_http::header::CONTENT_TYPE;
use bytes::Bytes;
use futures_util::StreamExt;
use serde::Serialize;
use tokio::sync::mpsc;

use crate::Response;

/// A response without a body.
pub fn empty(status: StatusCode) -> Response {
    actix_http::Response::build(status)
        .finish()
        .map_into_boxed_body()
}

/// A JSON response.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_else(|error| {
        // Only a map with keys that are no strings can fail, and no response has one.
        log::error!("response cannot be written as JSON: {error}");
        Vec::new()
    });
    text(status, "application/json", body)
}

/// A response with a body of some content type.
pub fn text(status: StatusCode, content_type: &str, body: impl Into<Bytes>) -> Response {
    actix_http::Response::build(status)
        .insert_header((CONTENT_TYPE, content_type))
        .body(body.into())
        .map_into_boxed_body()
}

/// A response whose body comes from a channel.
///
/// The channel is bounded, so a caller who reads slowly holds its sender back instead of growing
/// memory; when the caller leaves, the channel closes and the sender sees it.
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
