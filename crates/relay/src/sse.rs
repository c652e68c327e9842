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

/// Finds the ends of events in bytes as they arrive.
///
/// A line ends with LF, CR or CRLF, which a stream may mix, and an empty line ends an event.
#[derive(Debug, Clone, Copy)]
pub struct EventScanner {
    is_line_empty: bool,
    is_after_cr: bool,
    /// Whether a line of an event that has not ended was begun; a comment belongs to none.
    is_event_begun: bool,
    has_events: bool,
}

impl Default for EventScanner {
    fn default() -> Self {
        Self {
            is_line_empty: true,
            is_after_cr: false,
            is_event_begun: false,
            has_events: false,
        }
    }
}

impl EventScanner {
    /// Reads up to the first empty line and returns the position after it; reads all bytes if there is none.
    fn find_end(&mut self, bytes: &[u8]) -> Option<usize> {
        let end = bytes.iter().position(|&byte| self.ends_event(byte))? + 1;
        // The second half of a CRLF belongs to the same line if it has arrived.
        let has_lf = self.is_after_cr && bytes.get(end) == Some(&b'\n');
        if has_lf {
            self.is_after_cr = false;
        }
        Some(end + usize::from(has_lf))
    }

    /// Reads one byte; true if it ends an empty line.
    fn ends_event(&mut self, byte: u8) -> bool {
        let was_after_cr = std::mem::replace(&mut self.is_after_cr, byte == b'\r');
        match byte {
            b'\n' if was_after_cr => false,
            b'\n' | b'\r' => {
                let was_empty = std::mem::replace(&mut self.is_line_empty, true);
                if was_empty {
                    self.has_events |= std::mem::take(&mut self.is_event_begun);
                }
                was_empty
            }
            _ => {
                let begins_line = std::mem::replace(&mut self.is_line_empty, false);
                self.is_event_begun |= begins_line && byte != b':';
                false
            }
        }
    }

    /// Reads bytes as received.
    pub fn read(&mut self, mut bytes: &[u8]) {
        while let Some(end) = self.find_end(bytes) {
            bytes = &bytes[end..];
        }
    }

    /// Whether the bytes so far end within an event.
    pub fn is_within_event(&self) -> bool {
        self.is_event_begun || !self.is_line_empty
    }

    /// Whether an event was complete.
    pub fn has_events(&self) -> bool {
        self.has_events
    }
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
