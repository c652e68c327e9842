//! Splits a stream of server-sent events into events.

use bytes::{Bytes, BytesMut};

/// A complete event with its original bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its `id` field, if it has a numeric one.
    pub id: Option<u64>,
    /// Its bytes, the terminating empty line included.
    pub bytes: Bytes,
}

/// Buffers bytes and returns complete events.
///
/// A stream may end in the middle of an event. Only complete events are forwarded, so that another upstream
/// can continue the stream after the last one.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Length of the buffer's start in which no end of an event was found.
    searched: usize,
}

impl EventSplitter {
    /// Appends bytes as received.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event, if there is one.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.find_end()?;
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(Event { id, bytes })
    }

    /// Whether the buffer holds bytes that [`EventSplitter::next_event`] has not returned.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Drops all buffered bytes.
    pub fn clear(&mut self) {
        self.buffer.clear();
        self.searched = 0;
    }

    /// End of the first complete event in the buffer.
    fn find_end(&mut self) -> Option<usize> {
        // The terminator may have arrived in parts.
        let from = self.searched.saturating_sub(3);
        let lf = end_of(&self.buffer, b"\n\n", from);
        let crlf = end_of(&self.buffer, b"\r\n\r\n", from);
        self.searched = self.buffer.len();
        match (lf, crlf) {
            (Some(lf), Some(crlf)) => Some(lf.min(crlf)),
            (one, other) => one.or(other),
        }
    }
}

/// Position after the first `terminator` at or after `from`.
fn end_of(bytes: &[u8], terminator: &[u8], from: usize) -> Option<usize> {
    let rest = bytes.get(from..)?;
    let at = rest
        .windows(terminator.len())
        .position(|window| window == terminator)?;
    Some(from + at + terminator.len())
}

fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|&byte| byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
