//! Framing of messages and validated reads of text fields.

use capnp::message::{Builder, HeapAllocator, ReaderOptions};
use capnp::serialize;

use crate::{Error, Result};

/// Maximum length of a text field other than the text of a bundle.
const MAX_TEXT_BYTES: usize = 512;

/// Limit on the 8-byte words that decoding one message may visit: 8 MiB, while frames have at most
/// 1 MiB. It bounds the work that a malicious message with overlapping pointers can cause.
const MAX_TRAVERSAL_WORDS: usize = 1024 * 1024;

/// Reads a text field of limited length.
pub(crate) fn read_text(
    field: &'static str,
    text: capnp::Result<capnp::text::Reader>,
) -> Result<String> {
    let text = read_unbounded_text(field, text)?;
    if text.len() > MAX_TEXT_BYTES {
        return Err(Error::Field {
            field,
            detail: format!("{} bytes, more than {MAX_TEXT_BYTES}", text.len()),
        });
    }
    Ok(text)
}

/// Reads a text field that is limited only by the size of its frame.
pub(crate) fn read_unbounded_text(
    field: &'static str,
    text: capnp::Result<capnp::text::Reader>,
) -> Result<String> {
    let text = text?.to_string().map_err(|error| Error::Field {
        field,
        detail: error.to_string(),
    })?;
    Ok(text)
}

/// Serializes a message with its segment table.
pub(crate) fn frame(message: &Builder<HeapAllocator>) -> Vec<u8> {
    serialize::write_message_to_words(message)
}

/// Reads a message with its segment table.
pub(crate) fn unframe(
    mut bytes: &[u8],
) -> Result<capnp::message::Reader<capnp::serialize::OwnedSegments>> {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_TRAVERSAL_WORDS));
    Ok(serialize::read_message(&mut bytes, options)?)
}
