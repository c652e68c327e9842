//! How the end of an answer's body is marked, and what the end of a stream says.

use http::{HeaderMap, StatusCode, header};

use crate::sse::EventSplitter;

/// How the end of an answer's body is marked on its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By a length in the head.
    Length,
    /// By a last chunk.
    Chunks,
    /// Only by the end of the connection, which an upstream that crashes closes, too.
    Close,
}

impl Framing {
    /// The framing that an answer's head announces.
    pub fn of(headers: &HeaderMap) -> Self {
        if headers.contains_key(header::TRANSFER_ENCODING) {
            Self::Chunks
        } else if headers.contains_key(header::CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::Close
        }
    }

    /// Label in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Close => "close",
        }
    }
}

/// An answer whose end its upstream marked only by the close of the connection: it is passed on as one, since nobody can
/// vouch for more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnmarkedEnd;

/// Whether an answer with this head has a body whose end only the close of its connection marks.
pub fn has_unmarked_end(status: StatusCode, headers: &HeaderMap) -> bool {
    let has_no_body = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&status);
    !has_no_body && Framing::of(headers) == Framing::Close
}

/// Where in its events a stream ended that its connection ended in an orderly way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamEnd {
    /// After a complete event.
    BetweenEvents,
    /// Within an event.
    WithinEvent,
    /// Before the first event.
    NoEvent,
}

impl StreamEnd {
    /// Where the stream ended whose bytes these are.
    pub fn of(events: &EventSplitter) -> Self {
        if events.is_within_event() {
            Self::WithinEvent
        } else if events.has_events() {
            Self::BetweenEvents
        } else {
            Self::NoEvent
        }
    }

    /// Why a stream that ended here was broken off; none if it is complete.
    ///
    /// A generation has an event at least. Only the rest of a stream whose events came before may have none, if its engine
    /// marked the end: a crash closes the connection, too.
    pub fn break_cause(self, framing: Framing, is_rest: bool) -> Option<&'static str> {
        match (self, framing) {
            (Self::WithinEvent, _) => Some("it ended within an event"),
            (Self::NoEvent, Framing::Length | Framing::Chunks) if is_rest => None,
            (Self::NoEvent, _) => Some("it ended without an event"),
            (Self::BetweenEvents, _) => None,
        }
    }

    /// Label in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::BetweenEvents => "between_events",
            Self::WithinEvent => "within_event",
            Self::NoEvent => "no_event",
        }
    }
}
