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

/// Where in a stream a byte is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Position {
    /// At the start of a line, with no event begun.
    #[default]
    BetweenEvents,
    /// Within a comment that belongs to no event.
    InComment,
    /// Within a line of an event, or a comment in it.
    InLine,
    /// At the start of a further line of an event.
    AtLineStart,
}

/// Finds the ends of events in bytes as they arrive.
///
/// A line ends with LF, CR or CRLF, which a stream may mix, and an empty line ends an event.
#[derive(Debug, Default)]
struct EventScanner {
    position: Position,
    is_after_cr: bool,
    /// Events that were complete so far.
    events: u32,
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
            b'\n' | b'\r' => self.ends_empty_line(),
            _ => {
                self.position = match self.position {
                    Position::BetweenEvents if byte == b':' => Position::InComment,
                    Position::InComment => Position::InComment,
                    Position::BetweenEvents | Position::InLine | Position::AtLineStart => {
                        Position::InLine
                    }
                };
                false
            }
        }
    }

    /// Reads the end of a line; true if the line was empty.
    fn ends_empty_line(&mut self) -> bool {
        let (next, was_empty) = match self.position {
            Position::BetweenEvents | Position::AtLineStart => (Position::BetweenEvents, true),
            Position::InComment => (Position::BetweenEvents, false),
            Position::InLine => (Position::AtLineStart, false),
        };
        self.events += u32::from(self.position == Position::AtLineStart);
        self.position = next;
        was_empty
    }

    fn is_within_event(&self) -> bool {
        self.position != Position::BetweenEvents
    }
}

/// Buffers bytes and returns complete events, or all bytes as they arrived.
///
/// A stream may end in the middle of an event. Of a stream that another upstream can continue, only complete events
/// are forwarded; of any other, all bytes, and the end tells whether it was broken off.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Length of the buffer's start in which no end of an event was found.
    searched: usize,
    scanner: EventScanner,
    /// Bytes since the last complete event.
    unfinished_bytes: usize,
}

impl EventSplitter {
    /// Appends bytes as received.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
        self.unfinished_bytes += bytes.len();
    }

    /// Removes and returns the next complete event, if there is one.
    pub fn next_event(&mut self) -> Option<Event> {
        let Some(end) = self.scanner.find_end(&self.buffer[self.searched..]) else {
            self.searched = self.buffer.len();
            return None;
        };
        let bytes = self.buffer.split_to(self.searched + end).freeze();
        self.searched = 0;
        self.unfinished_bytes = self.buffer.len();
        let id = event_id(&bytes);
        Some(Event { id, bytes })
    }

    /// Removes and returns all bytes, also those of an event that is not complete.
    pub fn take_all(&mut self) -> Bytes {
        while let Some(end) = self.scanner.find_end(&self.buffer[self.searched..]) {
            self.searched += end;
            self.unfinished_bytes = self.buffer.len() - self.searched;
        }
        self.searched = 0;
        self.buffer.split().freeze()
    }

    /// Whether the bytes so far end within an event.
    pub fn is_within_event(&self) -> bool {
        self.scanner.is_within_event()
    }

    /// Bytes that arrived since the last event was complete.
    pub fn unfinished_bytes(&self) -> usize {
        self.unfinished_bytes
    }

    /// Number of events that were complete since the start or the last [`EventSplitter::clear`].
    pub fn event_count(&self) -> u32 {
        self.scanner.events
    }

    /// Whether one of them was complete.
    pub fn has_events(&self) -> bool {
        self.event_count() > 0
    }

    /// Drops all buffered bytes; what comes next is another stream.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|&byte| byte == b'\n' || byte == b'\r');
    lines.find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
