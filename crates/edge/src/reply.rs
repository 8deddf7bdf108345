//! Responses to callers: complete, or streamed in chunks.

use crate::caller_stream::Incomplete;
use crate::unwritten::UnwrittenGuard;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::Response;
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// A response to a caller.
pub type Reply = Response<ReplyBody>;

/// An item of a streamed response.
#[derive(Debug)]
pub enum Chunk {
    /// The next bytes.
    Data(Bytes),
    /// The response is complete.
    End,
}

/// The error that ends an incomplete response, so that the caller can detect the truncation.
#[derive(Debug)]
pub struct Unfinished;

impl fmt::Display for Unfinished {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the response is incomplete")
    }
}

impl std::error::Error for Unfinished {}

/// The receiving end of a streamed response. Dropping the sender without [`Chunk::End`]
/// ends the response as incomplete.
#[derive(Debug)]
pub struct ReplyStream {
    chunks: mpsc::Receiver<Chunk>,
    length: Option<u64>,
}

#[derive(Debug)]
enum Source {
    Whole(Option<Bytes>),
    Stream(ReplyStream),
}

/// The body of a response.
#[derive(Debug)]
pub struct ReplyBody {
    source: Source,
    ended: bool,
    /// Whether the sender was dropped without [`Chunk::End`].
    broken: bool,
    /// Counts the request as in progress until its body is written.
    pub(crate) busy: Option<UnwrittenGuard>,
    /// Cleared at [`Chunk::End`] if the response ends with its connection.
    pub(crate) incomplete: Option<Incomplete>,
}

impl ReplyBody {
    /// Creates a complete body.
    #[must_use]
    pub fn from_bytes(bytes: Bytes) -> Self {
        let bytes = Some(bytes).filter(|b| !b.is_empty());
        Self {
            ended: bytes.is_none(),
            source: Source::Whole(bytes),
            broken: false,
            busy: None,
            incomplete: None,
        }
    }

    /// Creates a streamed body and its sender. `length` is the number of bytes if it is known.
    #[must_use]
    pub fn channel(depth: usize, length: Option<u64>) -> (mpsc::Sender<Chunk>, Self) {
        let (sender, chunks) = mpsc::channel(depth);
        let body = Self {
            source: Source::Stream(ReplyStream { chunks, length }),
            ended: false,
            broken: false,
            busy: None,
            incomplete: None,
        };
        (sender, body)
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = Unfinished;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Unfinished>>> {
        let this = &mut *self;
        if this.ended {
            return Poll::Ready(None);
        }
        let next = match &mut this.source {
            Source::Whole(bytes) => {
                this.ended = true;
                return Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b))));
            }
            Source::Stream(stream) => std::task::ready!(stream.chunks.poll_recv(cx)),
        };
        match next {
            Some(Chunk::Data(bytes)) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            Some(Chunk::End) => {
                this.ended = true;
                if let Some(incomplete) = &this.incomplete {
                    incomplete.set(false);
                }
                Poll::Ready(None)
            }
            // The server flushes its buffer when the body is pending. Returning the error
            // immediately would discard the chunks before it.
            None if !this.broken => {
                this.broken = true;
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            None => {
                this.ended = true;
                Poll::Ready(Some(Err(Unfinished)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.ended
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Source::Stream(stream) => stream
                .length
                .map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}
