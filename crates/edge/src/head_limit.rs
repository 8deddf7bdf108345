//! Bounds what is read before the head of a response is complete.
//!
//! The HTTP library bounds a single head. It skips informational responses (1xx) one by one, so that
//! any number of them may precede a head; they are counted here, together with the head.

use crate::connection::BoxedConnection;
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The largest head of a response, with the informational responses before it. A usual head has
/// about 600 bytes; a hundred times that leaves room for any that is meant as a head.
pub const MAX_HEAD_BYTES: usize = 65_536;

/// How much has been read of the head that a connection waits for.
#[derive(Debug, Default)]
pub(crate) struct HeadProgress {
    /// Whether a head is awaited.
    awaited: Cell<bool>,
    read: Cell<usize>,
    exceeded: Cell<bool>,
}

impl HeadProgress {
    /// Begins to count, for the response to the next request.
    pub(crate) fn begin(&self) {
        self.awaited.set(true);
        self.read.set(0);
        self.exceeded.set(false);
    }

    /// Stops counting: the head is complete.
    pub(crate) fn end(&self) {
        self.awaited.set(false);
    }

    /// Whether the head was larger than its limit.
    pub(crate) fn is_exceeded(&self) -> bool {
        self.exceeded.get()
    }

    /// Whether nothing more may be read. The limit is checked before a read, not after it: a read
    /// may bring the beginning of the body along with the end of the head.
    fn check(&self) -> io::Result<()> {
        if self.awaited.get() && self.read.get() >= MAX_HEAD_BYTES {
            self.exceeded.set(true);
            return Err(io::Error::other("the head of the response is too large"));
        }
        Ok(())
    }

    fn add(&self, bytes: usize) {
        if self.awaited.get() {
            self.read.set(self.read.get() + bytes);
        }
    }
}

/// A connection on which the heads of responses are bounded.
pub(crate) struct HeadLimited {
    pub(crate) connection: BoxedConnection,
    pub(crate) progress: Rc<HeadProgress>,
}

impl AsyncRead for HeadLimited {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.progress.check()?;
        let before = buf.filled().len();
        let result = Pin::new(&mut self.connection).poll_read(cx, buf);
        self.progress.add(buf.filled().len() - before);
        result
    }
}

impl AsyncWrite for HeadLimited {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.connection).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.connection).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.connection).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.connection).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.connection.is_write_vectored()
    }
}
