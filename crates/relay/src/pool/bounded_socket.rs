//! The socket of a connection, which brings only so many bytes before the head of an answer is complete.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Most that is buffered of a connection, and so the longest head of an answer, in bytes.
pub const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// Bytes that may arrive after a request until the head of its answer is complete: interim answers, the head, and what
/// is read of the body beside it.
const MAX_HEAD_BYTES: usize = 8 * MAX_BUFFERED_BYTES;

/// Bytes that may still arrive on a connection before the head of an answer; shared with whoever waits for it.
#[derive(Debug, Clone)]
pub struct HeadAllowance(Rc<Cell<Option<usize>>>);

impl HeadAllowance {
    /// The allowance of a new connection.
    pub fn new() -> Self {
        Self(Rc::new(Cell::new(Some(MAX_HEAD_BYTES))))
    }

    /// A request is about to be sent.
    pub fn begin_head(&self) {
        self.0.set(Some(MAX_HEAD_BYTES));
    }

    /// The head has arrived; its body has bounds of its own.
    pub fn end_head(&self) {
        self.0.set(None);
    }

    /// Whether it is used up.
    pub fn is_used_up(&self) -> bool {
        self.0.get() == Some(0)
    }
}

/// A socket that fails once more bytes have arrived than its allowance has.
///
/// Without the bound an upstream could hold a request to its deadline by interim answers without end, which are skipped.
pub struct BoundedSocket {
    stream: TcpStream,
    allowance: HeadAllowance,
}

impl BoundedSocket {
    /// Bounds what `stream` brings.
    pub fn new(stream: TcpStream, allowance: HeadAllowance) -> Self {
        Self { stream, allowance }
    }
}

impl AsyncRead for BoundedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.allowance.is_used_up() {
            let why = format!("no head within {MAX_HEAD_BYTES} bytes");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, why)));
        }
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        let count = buffer.filled().len() - before;
        let left = &self.allowance.0;
        left.set(left.get().map(|left| left.saturating_sub(count)));
        polled
    }
}

impl AsyncWrite for BoundedSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
