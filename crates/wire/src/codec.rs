//! Checked reads of single fields and of whole frames.

use capnp::message::{Builder, HeapAllocator, ReaderOptions};
use capnp::serialize;

use crate::{Error, Result};

/// Longest text in any record but a bundle's, in bytes.
const NAME_BYTES: usize = 512;

/// Most words a reader walks through; a frame of ours has 1 MiB at most.
const TRAVERSAL_WORDS: usize = 1024 * 1024;

pub(crate) fn name(
    field: &'static str,
    text: capnp::Result<capnp::text::Reader>,
) -> Result<String> {
    let text = free(field, text)?;
    if text.len() > NAME_BYTES {
        return Err(Error::Field {
            field,
            detail: format!("{} bytes, more than {NAME_BYTES}", text.len()),
        });
    }
    Ok(text)
}

pub(crate) fn free(
    field: &'static str,
    text: capnp::Result<capnp::text::Reader>,
) -> Result<String> {
    let text = text?.to_string().map_err(|error| Error::Field {
        field,
        detail: error.to_string(),
    })?;
    Ok(text)
}

/// Wraps what fills a message into bytes with their segment table.
pub(crate) fn frame(message: &Builder<HeapAllocator>) -> Vec<u8> {
    serialize::write_message_to_words(message)
}

pub(crate) fn unframe(
    mut bytes: &[u8],
) -> Result<capnp::message::Reader<capnp::serialize::OwnedSegments>> {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(TRAVERSAL_WORDS));
    Ok(serialize::read_message(&mut bytes, options)?)
}
