//! Answers to callers: forwarded answers of upstreams, and refusals by this instance.

use std::cell::Cell;
use std::future::ready;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use derive_more::{Display, Error};
use futures_util::Stream;
use futures_util::stream::once;
use http::{HeaderValue, Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use log::kv::ToValue;

use crate::connection::OnConnection;
use crate::handover::TakenOver;

/// Error of an answer that ends early. The caller's connection is closed, so that the answer does not
/// look complete.
#[derive(Debug, Display, Error)]
#[display("the answer broke off: {why}")]
pub struct TruncatedAnswer {
    /// Cause.
    pub why: String,
}

type Frames = Pin<Box<dyn Stream<Item = Result<Bytes, TruncatedAnswer>>>>;

enum Content {
    Whole(Bytes),
    Streamed(Frames),
}

/// Body of an answer to a caller.
pub struct AnswerBody {
    content: Content,
    active: Option<ActiveRequest>,
    taken_over: Option<TakenOver>,
    on_connection: Option<OnConnection>,
}

impl AnswerBody {
    /// A complete body.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self {
            content: Content::Whole(bytes.into()),
            active: None,
            taken_over: None,
            on_connection: None,
        }
    }

    /// A body whose chunks come from a stream.
    pub fn stream(frames: impl Stream<Item = Result<Bytes, TruncatedAnswer>> + 'static) -> Self {
        Self {
            content: Content::Streamed(Box::pin(frames)),
            active: None,
            taken_over: None,
            on_connection: None,
        }
    }

    /// A complete body that is written without its length, so that only the close of the connection ends it.
    pub fn until_close(bytes: Bytes) -> Self {
        Self::stream(once(ready(Ok(bytes))))
    }

    /// Keeps the request counted as active, and as taken over if it is, until the body has been sent.
    pub fn track(&mut self, active: ActiveRequest, taken_over: Option<TakenOver>) {
        self.active = Some(active);
        self.taken_over = taken_over;
    }

    /// Keeps a connection marked as occupied until the body has been sent.
    pub fn occupy(&mut self, on_connection: OnConnection) {
        self.on_connection = Some(on_connection);
    }
}

/// Guard that counts a request from its arrival until its answer has been sent.
///
/// A process that shuts down ends when no request is active. Idle connections do not delay it, since
/// callers may keep them open without ever using them again.
pub struct ActiveRequest {
    count: Rc<Cell<usize>>,
}

impl ActiveRequest {
    /// Counts one more request.
    pub fn enter(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self {
            count: Rc::clone(count),
        }
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.count.set(self.count.get().saturating_sub(1));
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = TruncatedAnswer;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedAnswer>>> {
        match &mut self.content {
            Content::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Content::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Content::Streamed(frames) => {
                let polled = frames.as_mut().poll_next(context);
                polled.map(|next| next.map(|frame| frame.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(&self.content, Content::Whole(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Content::Streamed(_) => SizeHint::default(),
        }
    }
}

/// Reason why a request was not served.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// This instance knows no configuration yet.
    #[display("no configuration yet")]
    NoConfig,
    /// No route matches.
    #[display("no such route")]
    NoRoute,
    /// The caller presented no valid key of a workspace.
    #[display("no valid key")]
    NoKey,
    /// The request cannot be parsed.
    #[display("the request is malformed")]
    Malformed,
    /// The body did not arrive in time.
    #[display("the request's body did not come in time")]
    BodyTimeout,
    /// The head is longer than allowed.
    #[display("the head is too long")]
    HeadTooLong,
    /// The body is longer than allowed.
    #[display("the body is too long")]
    TooLong,
    /// No upstream can take the request now.
    #[display("no upstream is free")]
    NoUpstream,
    /// The answer would come too late.
    #[display("no upstream would answer in time")]
    TooLate,
    /// All upstreams that could take the request asked this instance for rest.
    #[display("all upstreams asked for rest")]
    Resting,
    /// Its workspace requests more than its share while no engine has a free slot.
    #[display("the workspace is over its share")]
    OverShare,
    /// This instance is cut off from the upstreams, and no peer took the request.
    #[display("this instance reaches no upstream")]
    CutOff,
    /// This instance stops before the request would have ended.
    #[display("this instance stops")]
    Stopping,
    /// It takes a stream up, and nobody can tell which version began that.
    #[display("it is not known which version began the stream")]
    UnknownOrigin,
    /// This instance serves as many requests of peers as it may.
    #[display("too many requests of other instances")]
    HelperBusy,
    /// Upstreams rejected the request without running it.
    #[display("an upstream rejected it unrun")]
    Rejected,
    /// Poison request: it terminates the upstreams that run it.
    #[display("upstreams end under this request")]
    PoisonRequest,
    /// Upstreams ended under it, and its next trial is to tell whether it was the cause.
    #[display("upstreams ended under this request, which is tried again one at a time")]
    HeldRequest,
    /// It is not known yet whether upstreams that lost its answer have ended.
    #[display("upstreams may have ended under this request")]
    InDoubt,
    /// A part of its prompt may end upstreams, and another request is the trial that tells.
    #[display("upstreams may end under a part of the prompt")]
    HeldPart,
    /// The request was sent, and no complete answer came.
    #[display("the upstream's answer was lost")]
    Lost,
    /// The deadline passed.
    #[display("out of time")]
    TimedOut,
    /// Handling the request failed in this instance.
    #[display("the instance failed")]
    Panicked,
}

impl ToValue for Reason {
    fn to_value(&self) -> log::kv::Value<'_> {
        log::kv::Value::from_display(self)
    }
}

impl Reason {
    /// Label in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::NoConfig => "no_config",
            Self::NoRoute => "no_route",
            Self::NoKey => "no_key",
            Self::Malformed => "malformed",
            Self::BodyTimeout => "unread",
            Self::HeadTooLong => "head_too_long",
            Self::TooLong => "too_long",
            Self::NoUpstream => "no_upstream",
            Self::TooLate => "too_late",
            Self::Resting => "resting",
            Self::OverShare => "over_share",
            Self::CutOff => "cut_off",
            Self::Stopping => "stopping",
            Self::UnknownOrigin => "unknown_origin",
            Self::HelperBusy => "helper_busy",
            Self::Rejected => "rejected",
            Self::PoisonRequest => "poisonous",
            Self::HeldRequest => "held_request",
            Self::InDoubt => "in_doubt",
            Self::HeldPart => "held_part",
            Self::Lost => "lost",
            Self::TimedOut => "timed_out",
            Self::Panicked => "panicked",
        }
    }

    /// Whether the answer's status promises that the request has not run and never will.
    pub fn says_not_run(self) -> bool {
        matches!(
            self.status(),
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::REQUEST_TIMEOUT
        )
    }

    /// Status of the answer; 503 and 408 promise that the request has not run and never will.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoConfig
            | Self::NoUpstream
            | Self::TooLate
            | Self::Resting
            | Self::OverShare
            | Self::CutOff
            | Self::Stopping
            | Self::UnknownOrigin
            | Self::HelperBusy
            | Self::Rejected
            | Self::PoisonRequest
            | Self::HeldRequest
            | Self::InDoubt
            | Self::HeldPart => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoKey => StatusCode::UNAUTHORIZED,
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::HeadTooLong => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Lost => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Self::Panicked => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }
}

/// A refusal or an error that this instance answers itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Reason.
    pub reason: Reason,
    /// Delay after which a retry may succeed; empty if retrying does not help.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// A refusal without a retry delay.
    pub fn new(reason: Reason) -> Self {
        Self {
            reason,
            retry_after_ms: None,
        }
    }

    /// A refusal with the delay after which a retry may succeed.
    pub fn with_retry_after(reason: Reason, retry_after_ms: u64) -> Self {
        Self {
            reason,
            retry_after_ms: Some(retry_after_ms),
        }
    }

    /// Builds the answer with the given JSON body.
    pub fn response(self, body: Vec<u8>) -> Response<AnswerBody> {
        let mut response = Response::new(AnswerBody::whole(body));
        *response.status_mut() = self.reason.status();
        // A peer that handed the request over is told that this instance refused it.
        response.extensions_mut().insert(self);
        let headers = response.headers_mut();
        headers.insert(
            http::header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        if let Some(wait_ms) = self.retry_after_ms {
            let seconds = format!("{:.3}", wait_ms as f64 / 1_000.0);
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(http::header::RETRY_AFTER, value);
            }
        }
        response
    }
}
