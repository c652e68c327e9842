//! Requests that an instance sends to an upstream on its own behalf, and not for a caller.

use bytes::Bytes;
use http::{Method, Request, header};
use http_body_util::Full;

use crate::relay::Relay;
use crate::upstream::Upstream;

/// A request that only this incarnation of the upstream may accept.
pub fn own_request(
    relay: &Relay,
    upstream: &Upstream,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, upstream.address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(body.into()))?;
    relay
        .dialect
        .write_expected_instance(request.headers_mut(), &upstream.id);
    Ok(request)
}

/// A query for the upstream's report.
pub fn report_request(
    relay: &Relay,
    upstream: &Upstream,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let path = relay.dialect.report_path();
    own_request(relay, upstream, Method::GET, path, Vec::new())
}
