//! Answers to callers: those of upstreams passed on, and refusals of our own.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use derive_more::{Display, Error};
use futures_util::Stream;
use http::{HeaderValue, Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use log::kv::ToValue;

/// An answer that ends early. Its connection is closed, so that it does not look whole.
#[derive(Debug, Display, Error)]
#[display("the answer broke off: {why}")]
pub struct TruncatedAnswer {
    /// What happened.
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
    busy: Option<ActiveRequest>,
}

impl AnswerBody {
    /// A body that is all there.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self {
            content: Content::Whole(bytes.into()),
            busy: None,
        }
    }

    /// Passes on what a stream gives.
    pub fn stream(frames: impl Stream<Item = Result<Bytes, TruncatedAnswer>> + 'static) -> Self {
        Self {
            content: Content::Streamed(Box::pin(frames)),
            busy: None,
        }
    }

    /// Keeps the process counted as busy until the body has been sent.
    pub fn track(&mut self, busy: ActiveRequest) {
        self.busy = Some(busy);
    }
}

/// Counts a request from its arrival until its answer is out.
///
/// A process that leaves ends when none is left. Connections without a request do not hold it
/// up, since callers keep some open that they may never use again.
pub struct ActiveRequest {
    count: Rc<Cell<usize>>,
}

impl ActiveRequest {
    /// One more request.
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

/// Why a request was not served.
#[derive(Debug, Display, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// This instance knows no configuration yet.
    #[display("no configuration yet")]
    NoConfig,
    /// No route matches.
    #[display("no such route")]
    NoRoute,
    /// The caller has no key of a workspace.
    #[display("no valid key")]
    NoKey,
    /// The request cannot be read.
    #[display("the request is malformed")]
    Malformed,
    /// The body did not come in time.
    #[display("the request's body did not come in time")]
    BodyTimeout,
    /// The body is longer than allowed.
    #[display("the body is too long")]
    TooLong,
    /// No upstream may take it now.
    #[display("no upstream is free")]
    NoUpstream,
    /// It would come too late.
    #[display("no upstream would answer in time")]
    TooLate,
    /// An upstream rejected it without running it.
    #[display("an upstream rejected it unrun")]
    Rejected,
    /// Upstreams end under it.
    #[display("upstreams end under this request")]
    PoisonRequest,
    /// It was sent and no whole answer came.
    #[display("the upstream's answer was lost")]
    Lost,
    /// Its time ran out.
    #[display("out of time")]
    TimedOut,
}

impl ToValue for Reason {
    fn to_value(&self) -> log::kv::Value<'_> {
        log::kv::Value::from_display(self)
    }
}

impl Reason {
    /// Its name in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::NoConfig => "no_config",
            Self::NoRoute => "no_route",
            Self::NoKey => "no_key",
            Self::Malformed => "malformed",
            Self::BodyTimeout => "unread",
            Self::TooLong => "too_long",
            Self::NoUpstream => "no_upstream",
            Self::TooLate => "too_late",
            Self::Rejected => "rejected",
            Self::PoisonRequest => "poisonous",
            Self::Lost => "lost",
            Self::TimedOut => "timed_out",
        }
    }

    /// Whether the answer promises that the request has not run and never will.
    pub fn says_not_run(self) -> bool {
        matches!(
            self.status(),
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::REQUEST_TIMEOUT
        )
    }

    /// Status of the answer; 503 says that the request has not run and will not.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoConfig
            | Self::NoUpstream
            | Self::TooLate
            | Self::Rejected
            | Self::PoisonRequest => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoKey => StatusCode::UNAUTHORIZED,
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Lost => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// A refusal, or an error of our own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When to come back, where that may help.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// A refusal that coming back does not help.
    pub fn new(reason: Reason) -> Self {
        Self {
            reason,
            retry_after_ms: None,
        }
    }

    /// A refusal with the time after which another try may go better.
    pub fn with_retry_after(reason: Reason, retry_after_ms: u64) -> Self {
        Self {
            reason,
            retry_after_ms: Some(retry_after_ms),
        }
    }

    /// The answer.
    pub fn response(self, body: Vec<u8>) -> Response<AnswerBody> {
        let mut response = Response::new(AnswerBody::whole(body));
        *response.status_mut() = self.reason.status();
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
