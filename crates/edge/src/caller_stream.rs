//! A caller's connection, which is reset unless a response that ends with it is complete.

use crate::unwritten::Flushed;
use socket2::SockRef;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Sets whether closing a connection resets it. The system does that as well when it closes the
/// connections of a process that was killed.
pub(crate) fn set_reset_on_close(stream: &TcpStream, reset: bool) -> io::Result<()> {
    SockRef::from(stream).set_linger(reset.then_some(Duration::ZERO))
}

/// Whether a response that ends with its connection is incomplete. Its connection and its body
/// share the flag.
#[derive(Debug, Clone, Default)]
pub(crate) struct Incomplete(Arc<AtomicBool>);

impl Incomplete {
    pub(crate) fn set(&self, incomplete: bool) {
        self.0.store(incomplete, Ordering::Relaxed);
    }

    fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A caller's connection.
///
/// A caller that gets neither a length nor chunks takes the end of the connection for the end of
/// the response. From the first byte of such a response the connection is therefore set to be
/// reset when it is closed, until the complete response is written.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TcpStream,
    incomplete: Incomplete,
    resets: bool,
    flushed: Flushed,
}

impl CallerStream {
    pub(crate) fn new(stream: TcpStream, incomplete: Incomplete, flushed: Flushed) -> Self {
        Self {
            stream,
            incomplete,
            resets: false,
            flushed,
        }
    }

    pub(crate) fn into_inner(self) -> TcpStream {
        self.stream
    }

    fn set_resets(&mut self, resets: bool) -> io::Result<()> {
        if self.resets != resets {
            set_reset_on_close(&self.stream, resets)?;
            self.resets = resets;
        }
        Ok(())
    }

    /// Makes sure that the connection is reset if the response which is written breaks off. This is
    /// undone only by the shutdown, because buffered bytes can still be lost before it.
    fn before_write(&mut self) -> io::Result<()> {
        self.flushed.set(false);
        match self.incomplete.get() {
            true => self.set_resets(true),
            false => Ok(()),
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.before_write()?;
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.before_write()?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The library calls this once it has written all that it holds.
        let polled = Pin::new(&mut self.stream).poll_flush(cx);
        self.flushed.set(matches!(polled, Poll::Ready(Ok(()))));
        polled
    }

    /// Ends the connection after all bytes were written to it.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.incomplete.get() {
            // Dropping the stream resets the connection.
            return Poll::Ready(Ok(()));
        }
        self.set_resets(false)?;
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
