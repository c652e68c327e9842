//! Headers with which instances hand requests over and answer each other.

use http::{HeaderMap, HeaderName, HeaderValue, Response};
use hyper::body::Incoming;
use view::VersionKey;

use crate::answer::Refusal;
use crate::framing::UnmarkedEnd;

/// Header with which an instance hands a request over: what was spent on it, and the instance's name. An answer carries
/// it too, with the id of the upstream that it comes from: the answer of an instance that takes no requests over is not
/// passed on, and what an upstream announces in one holds here as well.
pub(super) const HANDOVER: HeaderName = HeaderName::from_static("relay-handover");

/// Header with the version that began a stream: the only one at which the peer may go on with it, or in an answer the one
/// of the engine that serves it.
pub(super) const VERSION: HeaderName = HeaderName::from_static("relay-version");

/// Header of an answer with which an instance refuses a request that was handed over to it, with the reason's label.
pub(super) const REFUSED: HeaderName = HeaderName::from_static("relay-refused");

/// Header of a refusal by which an instance tells that none of its own sends ran the request.
pub(super) const NOT_RUN: HeaderName = HeaderName::from_static("relay-unrun");

/// Header of an answer whose end its upstream marked only by the close of the connection. The end of what one instance
/// sends another is always marked.
pub(super) const UNMARKED: HeaderName = HeaderName::from_static("relay-unmarked-end");

/// What was spent on a request before it was handed over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Spent {
    /// Upstreams that it was sent to.
    pub attempts: u32,
    /// Its arrivals at the service, as the retry budget counts them.
    pub arrivals: u32,
    /// Sends that may have run.
    pub possible_runs: u32,
    /// Whether a separate prefill was accepted.
    pub is_prefill_accepted: bool,
    /// Whether its first send was counted for the retry budget.
    pub is_first_counted: bool,
}

/// A request that a peer hands over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Handover {
    /// What the peer spent on it.
    pub spent: Spent,
    /// Version that began the stream that the peer goes on with, if it is one and that is known.
    pub began_version: Option<VersionKey>,
    /// Name of the peer.
    pub from: String,
}

/// Error of a handover header that cannot be parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("header {HANDOVER}: malformed")]
pub struct MalformedHandover;

impl Handover {
    /// Takes the header out of a request's head; none if the request was not handed over.
    pub fn take(headers: &mut HeaderMap) -> Option<Result<Self, MalformedHandover>> {
        let value = headers.remove(HANDOVER)?;
        let began_version = take_version(headers);
        Some(Self::parse(&value, began_version).ok_or(MalformedHandover))
    }

    fn parse(value: &HeaderValue, began_version: Option<VersionKey>) -> Option<Self> {
        let mut parts = value.to_str().ok()?.splitn(6, ',');
        let mut number = || parts.next()?.parse::<u32>().ok();
        let spent = Spent {
            attempts: number()?,
            arrivals: number()?,
            possible_runs: number()?,
            is_prefill_accepted: number()? > 0,
            is_first_counted: number()? > 0,
        };
        let from = parts.next()?.to_owned();
        Some(Self {
            spent,
            began_version,
            from,
        })
    }

    pub(super) fn header(&self) -> Option<HeaderValue> {
        let spent = &self.spent;
        let text = format!(
            "{},{},{},{},{},{}",
            spent.attempts,
            spent.arrivals,
            spent.possible_runs,
            u32::from(spent.is_prefill_accepted),
            u32::from(spent.is_first_counted),
            self.from
        );
        HeaderValue::from_str(&text).ok()
    }
}

pub(super) fn take_version(headers: &mut HeaderMap) -> Option<VersionKey> {
    let value = headers.remove(VERSION)?;
    let number = u64::from_str_radix(value.to_str().ok()?, 16).ok()?;
    Some(VersionKey(number))
}

pub(super) fn write_version(headers: &mut HeaderMap, version: Option<VersionKey>) {
    let value = version.and_then(|it| HeaderValue::from_str(&format!("{:x}", it.0)).ok());
    if let Some(value) = value {
        headers.insert(VERSION, value);
    }
}

/// The upstream that an answer comes from, for a peer that handed the request over.
#[derive(Debug, Clone)]
pub(crate) struct ServedBy {
    /// Its id.
    pub id: String,
    /// Version of its software, if the answer is a stream.
    pub version: Option<VersionKey>,
}

/// Marks a refusal of a request of which no send of this instance has run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct NotRunHere;

/// Marks an answer for the peer that handed the request over, which has to know if this instance refused it.
pub(crate) fn mark_answer<B>(response: &mut Response<B>) {
    let served_by = response.extensions_mut().remove::<ServedBy>();
    let version = served_by.as_ref().and_then(|it| it.version);
    let upstream = served_by.and_then(|it| HeaderValue::from_str(&it.id).ok());
    let headers = response.headers_mut();
    write_version(headers, version);
    headers.insert(HANDOVER, upstream.unwrap_or(HeaderValue::from_static("")));
    if response.extensions_mut().remove::<UnmarkedEnd>().is_some() {
        let headers = response.headers_mut();
        headers.insert(UNMARKED, HeaderValue::from_static("1"));
    }
    let Some(refusal) = response.extensions().get::<Refusal>() else {
        return;
    };
    let label = HeaderValue::from_static(refusal.reason.label());
    response.headers_mut().insert(REFUSED, label);
    if response.extensions_mut().remove::<NotRunHere>().is_some() {
        let headers = response.headers_mut();
        headers.insert(NOT_RUN, HeaderValue::from_static("1"));
    }
}

/// Whether a peer refused a request and none of its sends has run it.
pub(super) fn is_not_run(response: &Response<Incoming>) -> bool {
    is_refusal(response) && response.headers().contains_key(NOT_RUN)
}

pub(super) fn is_refusal(response: &Response<Incoming>) -> bool {
    response.headers().contains_key(REFUSED)
}
