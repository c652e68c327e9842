//! Requests of callers that several test files send.

use bytes::Bytes;
use http::{HeaderValue, Method, Request};
use http_body_util::Full;

use super::{ReceivedRequest, request};

/// A stream of one event.
pub const EVENTS: &str = "id: 1\ndata: 1\n\n";

/// A request that may be retried, to a plain service.
pub fn read_request(id: usize) -> Request<Full<Bytes>> {
    request(Method::GET, "/reads/x", &id.to_string())
}

/// A generation whose prompt is one part of its own with this many tokens.
pub fn generation_request(path: &str, id: usize, tokens: usize) -> Request<Full<Bytes>> {
    let mut req = request(Method::POST, path, &id.to_string());
    let prompt = HeaderValue::from_str(&format!("{id}:{tokens}")).expect("a valid value");
    req.headers_mut().insert("x-prompt", prompt);
    req
}

/// Whether an engine received a separate prefill.
pub fn is_prefill(received: &ReceivedRequest) -> bool {
    received.header("x-step") == Some("prefill")
}
