//! Authentication of callers and operators, and access to request headers.

use actix_http::{HttpMessage, Request};
use conf::{BundleIndex, Tenant};
use keys::KeyHash;

use crate::app::App;
use crate::refusal::{Code, Refusal};

fn bearer(request: &Request) -> Option<&str> {
    let value = request.headers().get("authorization")?.to_str().ok()?;
    value.strip_prefix("Bearer ").map(str::trim)
}

fn bearer_hash(request: &Request) -> Result<KeyHash, Refusal> {
    let key = bearer(request)
        .ok_or_else(|| Refusal::new(Code::Unauthorized, "authorization: Bearer key expected"))?;
    Ok(KeyHash::of(key.as_bytes()))
}

/// The tenant whose API key the request carries.
pub(crate) fn tenant<'a>(
    bundle: &'a BundleIndex,
    request: &Request,
) -> Result<&'a Tenant, Refusal> {
    let hash = bearer_hash(request)?;
    let unknown = || Refusal::new(Code::Unauthorized, "authorization: unknown key");
    bundle.tenant(&hash).ok_or_else(unknown)
}

/// The operator whose key the request carries.
///
/// Keys are compared by their SHA-256 hashes, so the duration of the comparison reveals nothing
/// about the key.
pub(crate) fn operator(app: &App, request: &Request) -> Result<String, Refusal> {
    let hash = bearer_hash(request)?;
    let mut operators = app.settings.operator_key_sha256.iter();
    let known = operators.find(|known| known.sha256.parse() == Ok(hash));
    known
        .map(|known| known.operator.clone())
        .ok_or_else(|| Refusal::new(Code::Unauthorized, "authorization: unknown operator key"))
}

/// The value of a header, if it is valid text.
pub(crate) fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

/// The value of a numeric header; `None` if it is missing.
pub(crate) fn number(request: &Request, name: &str) -> Result<Option<u64>, Refusal> {
    let Some(text) = header(request, name) else {
        return Ok(None);
    };
    let parsed = text.parse().map(Some);
    parsed.map_err(|_| Refusal::new(Code::BadRequest, format!("{name}: a whole number expected")))
}
