//! Cuts a stream of events at the ends of its events.

use bytes::{Bytes, BytesMut};

/// One whole event with the bytes that it came in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Its id, if it has one.
    pub id: Option<u64>,
    /// All its bytes, the empty line included.
    pub bytes: Bytes,
}

/// Collects bytes and gives out whole events.
///
/// An upstream may break off in the middle of an event. What is passed on ends with a whole one,
/// so that another upstream can go on after it without the caller seeing the seam.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    searched: usize,
}

impl EventSplitter {
    /// Takes in bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.end()?;
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = id(&bytes);
        Some(Event { id, bytes })
    }

    /// Whether bytes of an unfinished event are left.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Drops the bytes of an unfinished event.
    pub fn clear(&mut self) {
        self.buffer.clear();
        self.searched = 0;
    }

    fn end(&mut self) -> Option<usize> {
        let from = self.searched.saturating_sub(3);
        let lf = find(&self.buffer, b"\n\n", from);
        let crlf = find(&self.buffer, b"\r\n\r\n", from);
        self.searched = self.buffer.len();
        match (lf, crlf) {
            (Some(lf), Some(crlf)) => Some(lf.min(crlf)),
            (one, other) => one.or(other),
        }
    }
}

fn find(bytes: &[u8], mark: &[u8], from: usize) -> Option<usize> {
    let rest = bytes.get(from..)?;
    let at = rest.windows(mark.len()).position(|window| window == mark)?;
    Some(from + at + mark.len())
}

fn id(event: &[u8]) -> Option<u64> {
    event.split(|&byte| byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
